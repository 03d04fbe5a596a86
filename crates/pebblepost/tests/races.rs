//! Races in a connection's lifetime, with real connections: two events are brought into one iteration of the event loop,
//! which is held meanwhile, or a connection is established late, as its listener's backlog is full. The cases are those of
//! docs/history/races.md.

mod common;

use common::{
    Connection, RunningDaemon, header, job_request, platform_config, send_lines, start_worker, wait_for,
};
use pebblepost::net::ListenerKind;
use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

const LIMIT: Duration = Duration::from_secs(5);

fn serve_job(connection: &mut Connection, head: &[String]) {
    let id = header(head, "x-txn").expect("an X-Txn header");
    send_lines(connection, &[json!({"id": id, "state": "done", "result": format!("for {id}")})]);
}

fn send_request(connection: &mut Connection, txn: &str) -> (String, String) {
    connection.send(&job_request(txn, "", ""));
    let (head, body) = connection.read_message();
    (head.first().cloned().unwrap_or_default(), body)
}

const PROBE_BODY: &str = "{\"util\":0.1,\"eps\":0.0,\"x0\":4}";

fn probe_response(options: &str) -> String {
    format!("HTTP/1.1 200 OK\r\n{options}Content-Length: {}\r\n\r\n{PROBE_BODY}", PROBE_BODY.len())
}

/// Starts a worker whose probes the test answers. Returns its address, the connections of its probes, and the heads of its
/// jobs.
fn start_worker_with_held_probes() -> (SocketAddr, Receiver<Connection>, Receiver<Vec<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound listener");
    let ((probe, probes), (job, jobs)) = (channel(), channel());
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let (probe, job): (Sender<Connection>, Sender<Vec<String>>) = (probe.clone(), job.clone());
            std::thread::spawn(move || {
                let mut connection = Connection::new(stream);
                match connection.read_message().0 {
                    head if head.is_empty() => {}
                    head if head[0].starts_with("GET ") => drop(probe.send(connection)),
                    head => drop(job.send(head)),
                }
            });
        }
    });
    (address, probes, jobs)
}

/// A client disconnects in the turn of the probe response that would have its request sent, in either order: nothing is sent.
#[test]
fn a_client_disconnection_in_the_turn_of_the_probe_response_prevents_the_attempt() {
    for close_first in [true, false] {
        let (address, probes, jobs) = start_worker_with_held_probes();
        let mut config = platform_config(&[address], None);
        config["settings"]["tick"] = json!(100_000_000); // The probe time-out must exceed the time for which the loop is held.
        let mut daemon = RunningDaemon::start(Some(config), None);
        let mut client = daemon.connect(ListenerKind::Platform);
        client.send(&job_request("t", "", ""));
        let mut probe = probes.recv_timeout(LIMIT).expect("a probe");
        daemon.hold_event_loop(|_| {
            if close_first {
                client.close();
                probe.send(&probe_response(""));
            } else {
                probe.send(&probe_response(""));
                client.close();
            }
        });
        // The job would be sent on the connection of the probe: nothing may come on it before it closes.
        daemon.stop();
        let mut rest = Vec::new();
        let _ = probe.read_to_end(&mut rest);
        assert!(rest.is_empty(), "request sent to the worker: {:?}", String::from_utf8_lossy(&rest));
        assert!(jobs.try_recv().is_err());
    }
}

/// A worker that answers one probe and then establishes no connection until [`LateWorker::accept_connections`], as its listen
/// backlog is full.
struct LateWorker {
    listener: Socket,
    filler: TcpStream,
    probe: Connection,
}

impl LateWorker {
    fn listen() -> (Socket, SocketAddr) {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a free port");
        listener.listen(0).expect("a listener");
        let address = listener.local_addr().expect("a bound listener").as_socket().expect("TCP");
        (listener, address)
    }

    /// Accepts the daemon's probe, fills the backlog, then answers the probe so that its connection is not reused.
    fn answer_probe_with_full_backlog(listener: Socket, address: SocketAddr) -> Self {
        let mut probe = Connection::new(listener.accept().expect("a probe").0.into());
        assert!(probe.read_message().0[0].starts_with("GET "));
        // The backlog holds one connection; any later one waits until its SYN is sent again.
        let filler = TcpStream::connect(address).expect("room for one");
        probe.send(&probe_response("Connection: close\r\n"));
        Self { listener, filler, probe }
    }

    /// Accepts the daemon's connections for 3 s. Returns how many were established, and the header lines of the first job sent
    /// on one of them, if any.
    fn accept_connections(self) -> (usize, Option<Vec<String>>) {
        let Self { listener, filler, mut probe } = self;
        drop(probe.read_line());
        listener.accept().expect("the filler");
        drop(filler);
        listener.set_nonblocking(true).expect("a socket");
        let (start, mut established) = (Instant::now(), 0);
        while start.elapsed() < Duration::from_secs(3) {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(Duration::from_millis(5));
                continue;
            };
            established += 1;
            stream.set_nonblocking(false).expect("a socket");
            let mut connection = Connection::new(stream.into());
            // The daemon may also send a probe, as the job has not started.
            let line = connection.read_line();
            if line.starts_with("POST ") {
                let rest =
                    std::iter::from_fn(|| Some(connection.read_line()).filter(|line| !line.is_empty()));
                return (established, Some(rest.collect()));
            }
        }
        (established, None)
    }
}

fn config_with_long_connect_timeout(workers: &[SocketAddr], discovery: Option<SocketAddr>) -> Value {
    let mut config = platform_config(workers, discovery);
    config["settings"]["caps"]["connectTimeout"] = json!(5e9);
    config
}

/// Starts a discovery whose watch sends the texts that come over the returned channel.
fn start_discovery() -> (SocketAddr, Sender<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let (address, (sender, receiver)) =
        (listener.local_addr().expect("a bound listener"), channel::<String>());
    std::thread::spawn(move || {
        let Some(Ok(stream)) = listener.incoming().next() else { return };
        let mut connection = Connection::new(stream);
        connection.read_message();
        connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
        loop {
            let text = receiver.recv_timeout(Duration::from_secs(1)).unwrap_or_else(|_| "\n".to_owned());
            if !connection.try_send(&format!("{:x}\r\n{text}\r\n", text.len())) {
                return;
            }
        }
    });
    (address, sender)
}

/// The worker is drained while a connection to it is being established: no attempt is sent, and the client gets a response.
#[test]
fn a_worker_drained_while_its_connection_is_established_gets_no_attempt() {
    let (listener, address) = LateWorker::listen();
    let (discovery, lists) = start_discovery();
    let daemon =
        RunningDaemon::start(Some(config_with_long_connect_timeout(&[address], Some(discovery))), None);
    let mut client = daemon.connect(ListenerKind::Platform);
    client.send(&job_request("t", "", "").replace("X-Remaining-Ms: 2000", "X-Remaining-Ms: 4000"));
    let late = LateWorker::answer_probe_with_full_backlog(listener, address);
    let host = json!({"host": "s-0", "dial": address, "site": "a", "class": "m", "block": 0, "health": "draining", "born_ms": 0});
    lists.send(format!("{}\n", json!({"seq": 2, "whole": false, "hosts": [host]}))).expect("a watch");
    // The drain has been applied once no worker is left.
    let mut balancer = daemon.connect(ListenerKind::Platform);
    wait_for(LIMIT, "the drain was not applied", || {
        balancer.send("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
        balancer.read_message().0[0].contains(" 503 ").then_some(())
    });
    let (established, job) = late.accept_connections();
    assert!(established > 0, "no connection was established");
    assert_eq!(job, None, "an attempt was sent to a drained worker");
    assert!(client.read_message().0[0].contains(" 503 "), "the request never ran and must be rejected");
}

/// A request on a connection that is established late carries the time left when it is sent, not when the worker was chosen.
#[test]
fn the_forwarded_time_left_is_taken_when_the_request_is_sent() {
    let (listener, address) = LateWorker::listen();
    let daemon = RunningDaemon::start(Some(config_with_long_connect_timeout(&[address], None)), None);
    let mut client = daemon.connect(ListenerKind::Platform);
    let start = Instant::now();
    client.send(&job_request("t", "", "").replace("X-Remaining-Ms: 2000", "X-Remaining-Ms: 4000"));
    let late = LateWorker::answer_probe_with_full_backlog(listener, address);
    std::thread::sleep(Duration::from_millis(300)); // The least delay; the SYN is sent again only after 1 s.
    let head = late.accept_connections().1.expect("the job");
    let passed = start.elapsed().as_millis() as u64;
    let left: u64 = header(&head, "x-remaining-ms").and_then(|n| n.parse().ok()).expect("a time");
    assert!(left + 300 <= 4_000, "{left} ms left were forwarded after {passed} ms");
}

/// On a reused connection the response to an earlier job comes in place of that to the current one.
#[test]
fn a_response_with_the_id_of_another_request_is_discarded() {
    let bad = start_worker(|connection, head| match header(head, "x-txn").as_deref() {
        Some("t1") => serve_job(connection, head),
        _ => send_lines(connection, &[json!({"id": "t1", "state": "done", "result": "for t1"})]),
    });
    let daemon = RunningDaemon::start(Some(platform_config(&[bad], None)), None);
    let mut client = daemon.connect(ListenerKind::Platform);
    assert_eq!(send_request(&mut client, "t1").1, "for t1");
    let (status, body) = send_request(&mut client, "t2");
    assert!(!status.contains(" 200 ") && body.is_empty(), "{status} {body}");
}

/// A late second response and the next request come in one turn: the connection with the response is not reused.
#[test]
fn a_connection_with_an_unexpected_second_response_is_not_reused() {
    let (events, observed) = channel();
    let twice = start_worker(move |connection, head| {
        serve_job(connection, head);
        let _ = events.send(connection.clone_stream());
    });
    let mut daemon = RunningDaemon::start(Some(platform_config(&[twice], None)), None);
    let mut client = daemon.connect(ListenerKind::Platform);
    for n in 0..10 {
        assert_eq!(send_request(&mut client, &format!("t{n}")).1, format!("for t{n}"));
        let mut worker_connection: TcpStream = observed.recv_timeout(LIMIT).expect("a job");
        daemon.hold_event_loop(|_| {
            client.send(&job_request(&format!("u{n}"), "", ""));
            let late = format!("{}\n", json!({"id": format!("u{n}"), "state": "done", "result": "stray"}));
            let late = format!(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{late}\r\n0\r\n\r\n",
                late.len()
            );
            worker_connection.write_all(late.as_bytes()).expect("an open link");
        });
        let (_, body) = client.read_message();
        assert_eq!(body, format!("for u{n}"), "the response must be the one to this request");
        observed.recv_timeout(LIMIT).expect("the job");
    }
}

/// A malformed chunk after the result does not fail the request, and the next one gets a new connection.
#[test]
fn a_malformed_chunk_after_the_result_closes_only_the_connection() {
    let bad = start_worker(|connection, head| {
        let id = header(head, "x-txn").expect("an X-Txn header");
        let line = format!("{}\n", json!({"id": id, "state": "done", "result": format!("for {id}")}));
        connection.send(&format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{line}\r\nno chunk\r\n",
            line.len()
        ));
    });
    let daemon = RunningDaemon::start(Some(platform_config(&[bad], None)), None);
    let mut client = daemon.connect(ListenerKind::Platform);
    for txn in ["t", "u", "v"] {
        assert_eq!(send_request(&mut client, txn).1, format!("for {txn}"));
    }
}

/// The worker closes an idle connection in the turn in which a request would be sent on it.
#[test]
fn a_request_survives_the_worker_closing_the_idle_connection_in_the_same_turn() {
    let (events, observed) = channel();
    let closes = start_worker(move |connection, head| {
        serve_job(connection, head);
        let _ = events.send(connection.clone_stream());
    });
    let mut daemon = RunningDaemon::start(Some(platform_config(&[closes], None)), None);
    let mut client = daemon.connect(ListenerKind::Platform);
    for n in 0..5 {
        assert_eq!(send_request(&mut client, &format!("t{n}")).1, format!("for t{n}"));
        let worker_connection: TcpStream = observed.recv_timeout(LIMIT).expect("a job");
        daemon.hold_event_loop(|_| {
            client.send(&job_request(&format!("u{n}"), "", ""));
            worker_connection.shutdown(std::net::Shutdown::Both).expect("an open link");
        });
        assert_eq!(client.read_message().1, format!("for u{n}"));
        observed.recv_timeout(LIMIT).expect("the job");
    }
}

/// Hundreds of clients send many requests and disconnect, send endless heads or stay idle: other clients are served.
#[test]
fn well_behaved_clients_are_served_during_floods() {
    let mut config = platform_config(&[start_worker(serve_job)], None);
    config["limits"]["sockets"] = json!(128);
    let daemon = RunningDaemon::start(Some(config), None);
    let address = daemon.address(ListenerKind::Platform);
    let floods: Vec<_> = (0..4)
        .map(|kind| {
            std::thread::spawn(move || {
                for n in 0..75 {
                    let Ok(mut stream) = TcpStream::connect(address) else { continue };
                    let _ = stream.set_write_timeout(Some(Duration::from_millis(20)));
                    let much = job_request(&format!("f{kind}-{n}"), "", "").repeat(400);
                    let _ = match kind {
                        0 | 1 => stream.write_all(much.as_bytes()),
                        2 => stream
                            .write_all(format!("POST /api HTTP/1.1\r\nX: {}", "x".repeat(30_000)).as_bytes()),
                        _ => Ok(()),
                    };
                }
            })
        })
        .collect();
    let mut closed_unread = 0;
    for n in 0..100 {
        // A client whose connection is closed unread, as descriptors run out, retries on a new one. A client that is rejected,
        // as the first requests of the flood also take slots, retries after the advised delay.
        let start = Instant::now();
        loop {
            let mut client = daemon.connect(ListenerKind::Platform);
            client.send(&job_request(&format!("t{n}"), "", ""));
            let (head, body) = client.read_message();
            match head.first() {
                None => closed_unread += 1,
                Some(status) if status.contains(" 503 ") => {
                    let after = header(&head, "retry-after")
                        .and_then(|seconds| seconds.parse().ok())
                        .expect("seconds");
                    std::thread::sleep(Duration::from_secs_f64(after));
                }
                Some(status) => {
                    assert_eq!(body, format!("for t{n}"), "{status}");
                    break;
                }
            }
            assert!(start.elapsed() < LIMIT, "client {n} was not served within {LIMIT:?}");
        }
    }
    assert!(closed_unread <= 5, "{closed_unread} of 100 connections were closed unread");
    floods.into_iter().for_each(|f| f.join().expect("no thread has panicked"));
}

/// SIGHUP moves the daemon to another discovery, and back before the watch there is established. The first watch stays in
/// force throughout, and what it reports after the return is applied.
#[test]
fn the_original_watch_stays_in_force_when_discovery_is_changed_and_changed_back() {
    let (first, lists) = start_discovery();
    // The other discovery accepts the connection and sends nothing.
    let other = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let (old, new) = (
        start_worker(|connection, _| connection.send("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")),
        start_worker(serve_job),
    );
    let config = platform_config(&[old], Some(first));
    let mut daemon = RunningDaemon::start(Some(config.clone()), None);
    let mut balancer = daemon.connect(ListenerKind::Platform);
    wait_for(LIMIT, "the watch is confirmed", || {
        balancer.send("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
        balancer.read_message().0[0].contains(" 200 ").then_some(())
    });
    let mut moved = config.clone();
    moved["discovery"] = json!(other.local_addr().expect("a bound listener"));
    daemon.reload(&moved.to_string());
    let _half_open = other.accept().expect("a connection to the other discovery");
    daemon.reload(&config.to_string());
    let host = |name, dial: SocketAddr, health| json!({"host": name, "dial": dial, "site": "a", "class": "m", "block": 0, "health": health, "born_ms": 0});
    let hosts = [host("s-0", old, "draining"), host("s-1", new, "ready")];
    lists.send(format!("{}\n", json!({"seq": 2, "whole": false, "hosts": hosts}))).expect("a watch");
    let mut client = daemon.connect(ListenerKind::Platform);
    wait_for(Duration::from_secs(2), "the update of the original watch was not applied", || {
        send_request(&mut client, "t").1.eq("for t").then_some(())
    });
}

/// All descriptors are in use, and a new connection and a request of the longest idle client come in one turn: that client
/// is not closed.
#[test]
fn an_idle_client_with_an_unread_request_is_not_closed_for_a_new_one() {
    let mut config = platform_config(&[start_worker(serve_job)], None);
    config["limits"]["sockets"] = json!(48);
    let mut daemon = RunningDaemon::start(Some(config), None);
    let mut idle_clients: Vec<Connection> = (0..6).map(|_| daemon.connect(ListenerKind::Platform)).collect();
    for (n, connection) in idle_clients.iter_mut().enumerate() {
        assert_eq!(send_request(connection, &format!("t{n}")).1, format!("for t{n}"));
    }
    let mut new_clients = Vec::new();
    daemon.hold_event_loop(|daemon| {
        new_clients.extend((0..4).map(|_| daemon.connect(ListenerKind::Platform)));
        idle_clients.iter_mut().take(3).for_each(|connection| connection.send(&job_request("u", "", "")));
    });
    for connection in idle_clients.iter_mut().take(3) {
        assert_eq!(connection.read_message().1, "for u");
    }
}

/// The listener is closed with connections and requests in its backlog: each gets its response.
#[test]
fn requests_in_the_listen_backlog_get_a_response_when_the_listener_closes() {
    let mut daemon = RunningDaemon::start(Some(platform_config(&[start_worker(serve_job)], None)), None);
    assert_eq!(send_request(&mut daemon.connect(ListenerKind::Platform), "t").1, "for t");
    daemon.stop();
    let mut late = Vec::new();
    daemon.hold_event_loop(|daemon| {
        // More connections than one turn of the loop accepts.
        late.extend((0..100).map(|_| daemon.connect(ListenerKind::Platform)));
        late.iter_mut()
            .enumerate()
            .for_each(|(n, connection)| connection.send(&job_request(&format!("t{n}"), "", "")));
        std::thread::sleep(Duration::from_millis(600)); // The grace period ends meanwhile.
    });
    for (n, connection) in late.iter_mut().enumerate() {
        let (head, _) = connection.read_message();
        assert!(head.first().is_some_and(|line| line.starts_with("HTTP/1.1 ")), "client {n}: {head:?}");
    }
    daemon.join();
}

/// After SIGTERM a request arrives on an idle connection in the turn in which idle connections are closed.
#[test]
fn a_request_in_the_turn_that_closes_idle_clients_after_sigterm_gets_a_response() {
    let mut daemon = RunningDaemon::start(Some(platform_config(&[start_worker(serve_job)], None)), None);
    let mut client = daemon.connect(ListenerKind::Platform);
    assert_eq!(send_request(&mut client, "t").1, "for t");
    daemon.stop();
    daemon.hold_event_loop(|_| {
        std::thread::sleep(Duration::from_millis(600));
        client.send(&job_request("u", "", ""));
    });
    assert_eq!(client.read_message().1, "for u");
    drop(client);
    daemon.join();
}

/// Idle clients take all client descriptors while discovery is down. Once discovery is back, the daemon connects to it and
/// serves requests.
#[test]
fn idle_clients_do_not_take_the_descriptors_of_discovery_and_workers() {
    let place = TcpListener::bind("127.78.1.9:0").expect("a free port");
    let address = place.local_addr().expect("a bound listener");
    drop(place);
    let mut config = platform_config(&[start_worker(serve_job)], Some(address));
    config["limits"]["sockets"] = json!(64);
    let daemon = RunningDaemon::start(Some(config), None);
    // Clients beyond the limit wait in the backlog, or have a client closed that has been idle for longer.
    let _idle: Vec<Connection> = (0..100).map(|_| daemon.connect(ListenerKind::Platform)).collect();
    std::thread::sleep(Duration::from_millis(100));
    let back = TcpListener::bind(address).expect("its own port");
    let (call, called) = channel();
    std::thread::spawn(move || {
        for stream in back.incoming().map_while(Result::ok) {
            let _ = call.send(Connection::new(stream));
        }
    });
    let mut watch = called.recv_timeout(Duration::from_secs(2)).expect("a connection to discovery");
    assert!(watch.read_message().0[0].starts_with("GET /v1/endpoints?watch=1"));
    watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
    let mut client = daemon.connect(ListenerKind::Platform);
    assert_eq!(send_request(&mut client, "t").1, "for t");
}
