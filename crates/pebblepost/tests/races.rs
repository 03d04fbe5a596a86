//! Races in a connection's lifetime, with real connections: two events are brought into one iteration of the event loop,
//! which is held meanwhile, or a connection is established late, as its listener's backlog is full. The cases are those of
//! docs/history/races.md.

mod common;

use common::{RunningDaemon, Wire, header, lines, platform, post, within, worker};
use pebblepost::net::ListenerKind;
use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

const LIMIT: Duration = Duration::from_secs(5);

fn serves(wire: &mut Wire, head: &[String]) {
    let id = header(head, "x-txn").expect("an id");
    lines(wire, &[json!({"id": id, "state": "done", "result": format!("for {id}")})]);
}

fn ask(wire: &mut Wire, txn: &str) -> (String, String) {
    wire.send(&post(txn, "", ""));
    let (head, body) = wire.message();
    (head.first().cloned().unwrap_or_default(), body)
}

const REPORT: &str = "{\"util\":0.1,\"eps\":0.0,\"x0\":4}";

fn report(options: &str) -> String {
    format!("HTTP/1.1 200 OK\r\n{options}Content-Length: {}\r\n\r\n{REPORT}", REPORT.len())
}

/// A worker whose probes the test answers itself: it gets the connection of each probe, and the head of each job.
fn held_worker() -> (SocketAddr, Receiver<Wire>, Receiver<Vec<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    let ((probe, probes), (job, jobs)) = (channel(), channel());
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let (probe, job): (Sender<Wire>, Sender<Vec<String>>) = (probe.clone(), job.clone());
            std::thread::spawn(move || {
                let mut wire = Wire::new(stream);
                match wire.message().0 {
                    head if head.is_empty() => {}
                    head if head[0].starts_with("GET ") => drop(probe.send(wire)),
                    head => drop(job.send(head)),
                }
            });
        }
    });
    (address, probes, jobs)
}

/// A client's disconnection and the probe response that would have its request sent, in one turn and in either order.
#[test]
fn a_client_that_leaves_in_the_turn_of_the_probes_answer_has_nothing_sent() {
    for close_first in [true, false] {
        let (address, probes, jobs) = held_worker();
        let mut config = platform(&[address], None);
        config["settings"]["tick"] = json!(100_000_000); // A probe is waited for longer than the loop is held.
        let mut daemon = RunningDaemon::start(Some(config), None);
        let mut client = daemon.connect(ListenerKind::Platform);
        client.send(&post("t", "", ""));
        let mut probe = probes.recv_timeout(LIMIT).expect("a probe");
        daemon.hold(|_| {
            if close_first {
                client.close();
                probe.send(&report(""));
            } else {
                probe.send(&report(""));
                client.close();
            }
        });
        // The link of the probe would carry the job: all that comes on it is its end, or nothing.
        daemon.stop();
        let mut rest = Vec::new();
        let _ = probe.read_to_end(&mut rest);
        assert!(rest.is_empty(), "sent on: {:?}", String::from_utf8_lossy(&rest));
        assert!(jobs.try_recv().is_err());
    }
}

/// A worker that answers one probe and then has no connection established until it is released: its backlog is full.
struct Late {
    listener: Socket,
    filler: TcpStream,
    probe: Wire,
}

impl Late {
    fn listen() -> (Socket, SocketAddr) {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a free port");
        listener.listen(0).expect("a listener");
        let address = listener.local_addr().expect("bound").as_socket().expect("TCP");
        (listener, address)
    }

    /// Takes the probe of the daemon, then fills the backlog, then answers so that its link is not used again.
    fn after_the_probe(listener: Socket, address: SocketAddr) -> Self {
        let mut probe = Wire::new(listener.accept().expect("a probe").0.into());
        assert!(probe.message().0[0].starts_with("GET "));
        // Its backlog holds one; whoever comes after that waits for its SYN to be sent again.
        let filler = TcpStream::connect(address).expect("room for one");
        probe.send(&report("Connection: close\r\n"));
        Self { listener, filler, probe }
    }

    /// Lets the daemon's connections come up: how many did, and the job that was sent on one of them, if any was.
    fn let_up(self) -> (usize, Option<Vec<String>>) {
        let Self { listener, filler, mut probe } = self;
        drop(probe.line());
        listener.accept().expect("the filler");
        drop(filler);
        listener.set_nonblocking(true).expect("a socket");
        let (start, mut up) = (Instant::now(), 0);
        while start.elapsed() < Duration::from_secs(3) {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(Duration::from_millis(5));
                continue;
            };
            up += 1;
            stream.set_nonblocking(false).expect("a socket");
            let mut wire = Wire::new(stream.into());
            // The daemon also asks whether there is room, as the job has not started.
            let line = wire.line();
            if line.starts_with("POST ") {
                let rest = std::iter::from_fn(|| Some(wire.line()).filter(|line| !line.is_empty()));
                return (up, Some(rest.collect()));
            }
        }
        (up, None)
    }
}

fn patient(workers: &[SocketAddr], discovery: Option<SocketAddr>) -> Value {
    let mut config = platform(workers, discovery);
    config["settings"]["caps"]["connectTimeout"] = json!(5e9);
    config
}

/// A discovery whose watch says what the test sends.
fn discovery_that_sends() -> (SocketAddr, Sender<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let (address, (say, said)) = (listener.local_addr().expect("bound"), channel::<String>());
    std::thread::spawn(move || {
        let Some(Ok(stream)) = listener.incoming().next() else { return };
        let mut wire = Wire::new(stream);
        wire.message();
        wire.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
        loop {
            let text = said.recv_timeout(Duration::from_secs(1)).unwrap_or_else(|_| "\n".to_owned());
            if !wire.try_send(&format!("{:x}\r\n{text}\r\n", text.len())) {
                return;
            }
        }
    });
    (address, say)
}

/// The worker drains while a connection to it is established: nothing is sent there, and the client gets its response.
#[test]
fn a_worker_that_drains_while_its_connection_comes_up_gets_nothing() {
    let (listener, address) = Late::listen();
    let (discovery, say) = discovery_that_sends();
    let daemon = RunningDaemon::start(Some(patient(&[address], Some(discovery))), None);
    let mut client = daemon.connect(ListenerKind::Platform);
    client.send(&post("t", "", "").replace("X-Remaining-Ms: 2000", "X-Remaining-Ms: 4000"));
    let late = Late::after_the_probe(listener, address);
    let host = json!({"host": "s-0", "dial": address, "site": "a", "class": "m", "block": 0, "health": "draining", "born_ms": 0});
    say.send(format!("{}\n", json!({"seq": 2, "whole": false, "hosts": [host]}))).expect("a watch");
    // It has been taken in once there is no worker any more.
    let mut balancer = daemon.connect(ListenerKind::Platform);
    within(LIMIT, "the drain is told", || {
        balancer.send("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
        balancer.message().0[0].contains(" 503 ").then_some(())
    });
    let (up, job) = late.let_up();
    assert!(up > 0, "the connection does come up");
    assert_eq!(job, None, "sent on");
    assert!(client.message().0[0].contains(" 503 "), "it never ran, so it is refused");
}

/// A connection that is established late carries the time left at that moment, not at the decision.
#[test]
fn time_left_is_that_at_the_first_byte() {
    let (listener, address) = Late::listen();
    let daemon = RunningDaemon::start(Some(patient(&[address], None)), None);
    let mut client = daemon.connect(ListenerKind::Platform);
    let start = Instant::now();
    client.send(&post("t", "", "").replace("X-Remaining-Ms: 2000", "X-Remaining-Ms: 4000"));
    let late = Late::after_the_probe(listener, address);
    std::thread::sleep(Duration::from_millis(300)); // So late at least; the SYN is sent again after a second.
    let head = late.let_up().1.expect("the job");
    let passed = start.elapsed().as_millis() as u64;
    let left: u64 = header(&head, "x-remaining-ms").and_then(|n| n.parse().ok()).expect("a time");
    assert!(left + 300 <= 4_000, "{left} ms were told after {passed} ms");
}

/// The response to an earlier job comes on a reused connection before that to the present one.
#[test]
fn an_answer_with_another_requests_id_serves_nobody() {
    let bad = worker(|wire, head| match header(head, "x-txn").as_deref() {
        Some("t1") => serves(wire, head),
        _ => lines(wire, &[json!({"id": "t1", "state": "done", "result": "for t1"})]),
    });
    let daemon = RunningDaemon::start(Some(platform(&[bad], None)), None);
    let mut client = daemon.connect(ListenerKind::Platform);
    assert_eq!(ask(&mut client, "t1").1, "for t1");
    let (status, body) = ask(&mut client, "t2");
    assert!(!status.contains(" 200 ") && body.is_empty(), "{status} {body}");
}

/// A late second response and the next request come in one turn: the connection with the response is not reused.
#[test]
fn a_link_with_a_late_second_answer_on_it_is_not_used_again() {
    let (events, observed) = channel();
    let twice = worker(move |wire, head| {
        serves(wire, head);
        let _ = events.send(wire.peer());
    });
    let mut daemon = RunningDaemon::start(Some(platform(&[twice], None)), None);
    let mut client = daemon.connect(ListenerKind::Platform);
    for n in 0..10 {
        assert_eq!(ask(&mut client, &format!("t{n}")).1, format!("for t{n}"));
        let mut link: TcpStream = observed.recv_timeout(LIMIT).expect("a job");
        daemon.hold(|_| {
            client.send(&post(&format!("u{n}"), "", ""));
            let late = format!("{}\n", json!({"id": format!("u{n}"), "state": "done", "result": "stray"}));
            let late = format!(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{late}\r\n0\r\n\r\n",
                late.len()
            );
            link.write_all(late.as_bytes()).expect("an open link");
        });
        let (_, body) = client.message();
        assert_eq!(body, format!("for u{n}"), "what the worker made for this one");
        observed.recv_timeout(LIMIT).expect("the job");
    }
}

/// A malformed chunk after the result does not fail the request, and the next one gets a new connection.
#[test]
fn a_wrong_chunk_after_done_ends_the_link_only() {
    let bad = worker(|wire, head| {
        let id = header(head, "x-txn").expect("an id");
        let line = format!("{}\n", json!({"id": id, "state": "done", "result": format!("for {id}")}));
        wire.send(&format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{line}\r\nno chunk\r\n",
            line.len()
        ));
    });
    let daemon = RunningDaemon::start(Some(platform(&[bad], None)), None);
    let mut client = daemon.connect(ListenerKind::Platform);
    for txn in ["t", "u", "v"] {
        assert_eq!(ask(&mut client, txn).1, format!("for {txn}"));
    }
}

/// The worker closes an idle connection in the turn in which a request would be sent on it.
#[test]
fn an_idle_link_that_the_worker_closes_in_that_turn_costs_no_answer() {
    let (events, observed) = channel();
    let closes = worker(move |wire, head| {
        serves(wire, head);
        let _ = events.send(wire.peer());
    });
    let mut daemon = RunningDaemon::start(Some(platform(&[closes], None)), None);
    let mut client = daemon.connect(ListenerKind::Platform);
    for n in 0..5 {
        assert_eq!(ask(&mut client, &format!("t{n}")).1, format!("for t{n}"));
        let link: TcpStream = observed.recv_timeout(LIMIT).expect("a job");
        daemon.hold(|_| {
            client.send(&post(&format!("u{n}"), "", ""));
            link.shutdown(std::net::Shutdown::Both).expect("an open link");
        });
        assert_eq!(client.message().1, format!("for u{n}"));
        observed.recv_timeout(LIMIT).expect("the job");
    }
}

/// Hundreds of clients send much and disconnect, others send endless heads, others stay idle: usual clients are served.
#[test]
fn floods_leave_the_usual_clients_served() {
    let mut config = platform(&[worker(serves)], None);
    config["limits"]["sockets"] = json!(128);
    let daemon = RunningDaemon::start(Some(config), None);
    let address = daemon.address(ListenerKind::Platform);
    let floods: Vec<_> = (0..4)
        .map(|kind| {
            std::thread::spawn(move || {
                for n in 0..75 {
                    let Ok(mut stream) = TcpStream::connect(address) else { continue };
                    let _ = stream.set_write_timeout(Some(Duration::from_millis(20)));
                    let much = post(&format!("f{kind}-{n}"), "", "").repeat(400);
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
    let mut shut = 0;
    for n in 0..100 {
        // As usual clients do: one that is closed unread for want of descriptors retries on a new connection, and one that is
        // rejected, as the first requests of the flood take slots as well, retries after the advised delay.
        let start = Instant::now();
        loop {
            let mut client = daemon.connect(ListenerKind::Platform);
            client.send(&post(&format!("t{n}"), "", ""));
            let (head, body) = client.message();
            match head.first() {
                None => shut += 1,
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
            assert!(start.elapsed() < LIMIT, "not served in time");
        }
    }
    assert!(shut <= 5, "{shut} of 100 were shut unread");
    floods.into_iter().for_each(|f| f.join().expect("no panic"));
}

/// SIGHUP to another discovery and back while the watch there is not established: the first watch counts throughout, and
/// what it reports after the return is in force.
#[test]
fn a_move_of_discovery_and_back_ends_where_it_began() {
    let (first, say) = discovery_that_sends();
    // The other accepts the connection and sends nothing.
    let other = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let (old, new) =
        (worker(|wire, _| wire.send("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")), worker(serves));
    let config = platform(&[old], Some(first));
    let mut daemon = RunningDaemon::start(Some(config.clone()), None);
    let mut balancer = daemon.connect(ListenerKind::Platform);
    within(LIMIT, "the watch is confirmed", || {
        balancer.send("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
        balancer.message().0[0].contains(" 200 ").then_some(())
    });
    let mut moved = config.clone();
    moved["discovery"] = json!(other.local_addr().expect("bound"));
    daemon.reload(&moved.to_string());
    let _half_open = other.accept().expect("a call there");
    daemon.reload(&config.to_string());
    let host = |name, dial: SocketAddr, health| json!({"host": name, "dial": dial, "site": "a", "class": "m", "block": 0, "health": health, "born_ms": 0});
    let hosts = [host("s-0", old, "draining"), host("s-1", new, "ready")];
    say.send(format!("{}\n", json!({"seq": 2, "whole": false, "hosts": hosts}))).expect("a watch");
    let mut client = daemon.connect(ListenerKind::Platform);
    within(Duration::from_secs(2), "its word counts", || ask(&mut client, "t").1.eq("for t").then_some(()));
}

/// All descriptors are in use, and a new connection and a request of the longest idle client come in one turn: that client
/// is not closed.
#[test]
fn a_resting_client_whose_request_lies_unread_is_not_the_one_to_close() {
    let mut config = platform(&[worker(serves)], None);
    config["limits"]["sockets"] = json!(48);
    let mut daemon = RunningDaemon::start(Some(config), None);
    let mut resting: Vec<Wire> = (0..6).map(|_| daemon.connect(ListenerKind::Platform)).collect();
    for (n, wire) in resting.iter_mut().enumerate() {
        assert_eq!(ask(wire, &format!("t{n}")).1, format!("for t{n}"));
    }
    let mut newcomers = Vec::new();
    daemon.hold(|daemon| {
        newcomers.extend((0..4).map(|_| daemon.connect(ListenerKind::Platform)));
        resting.iter_mut().take(3).for_each(|wire| wire.send(&post("u", "", "")));
    });
    for wire in resting.iter_mut().take(3) {
        assert_eq!(wire.message().1, "for u");
    }
}

/// The listener is closed with connections and requests in its backlog: each gets its response.
#[test]
fn requests_in_the_backlog_are_answered_when_the_listener_ends() {
    let mut daemon = RunningDaemon::start(Some(platform(&[worker(serves)], None)), None);
    assert_eq!(ask(&mut daemon.connect(ListenerKind::Platform), "t").1, "for t");
    daemon.stop();
    let mut late = Vec::new();
    daemon.hold(|daemon| {
        // More than one iteration accepts.
        late.extend((0..100).map(|_| daemon.connect(ListenerKind::Platform)));
        late.iter_mut().enumerate().for_each(|(n, wire)| wire.send(&post(&format!("t{n}"), "", "")));
        std::thread::sleep(Duration::from_millis(600)); // The grace period ends meanwhile.
    });
    for (n, wire) in late.iter_mut().enumerate() {
        let (head, _) = wire.message();
        assert!(head.first().is_some_and(|line| line.starts_with("HTTP/1.1 ")), "client {n}: {head:?}");
    }
    daemon.wait();
}

/// After SIGTERM a request on an idle connection comes in the turn in which idle ones are closed.
#[test]
fn a_request_that_meets_the_close_after_sigterm_is_answered() {
    let mut daemon = RunningDaemon::start(Some(platform(&[worker(serves)], None)), None);
    let mut client = daemon.connect(ListenerKind::Platform);
    assert_eq!(ask(&mut client, "t").1, "for t");
    daemon.stop();
    daemon.hold(|_| {
        std::thread::sleep(Duration::from_millis(600));
        client.send(&post("u", "", ""));
    });
    assert_eq!(client.message().1, "for u");
    drop(client);
    daemon.wait();
}

/// Idle clients hold all descriptors, and discovery has been down: once it is back it is called, and requests are served.
#[test]
fn discovery_and_jobs_have_a_descriptor_though_idle_clients_fill_them() {
    let place = TcpListener::bind("127.78.1.9:0").expect("a free port");
    let address = place.local_addr().expect("bound");
    drop(place);
    let mut config = platform(&[worker(serves)], Some(address));
    config["limits"]["sockets"] = json!(64);
    let daemon = RunningDaemon::start(Some(config), None);
    // Those beyond the budget wait in the backlog, or have a longer idle one closed.
    let _idle: Vec<Wire> = (0..100).map(|_| daemon.connect(ListenerKind::Platform)).collect();
    std::thread::sleep(Duration::from_millis(100));
    let back = TcpListener::bind(address).expect("its own port");
    let (call, called) = channel();
    std::thread::spawn(move || {
        for stream in back.incoming().map_while(Result::ok) {
            let _ = call.send(Wire::new(stream));
        }
    });
    let mut watch = called.recv_timeout(Duration::from_secs(2)).expect("a call");
    assert!(watch.message().0[0].starts_with("GET /v1/endpoints?watch=1"));
    watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
    let mut client = daemon.connect(ListenerKind::Platform);
    assert_eq!(ask(&mut client, "t").1, "for t");
}
