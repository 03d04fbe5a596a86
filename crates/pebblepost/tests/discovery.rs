//! Failures of discovery and of the workers on its list: nothing crashes or stalls, each request gets one response in time,
//! and no drain is lost.

mod common;

use common::stopwatch::Stopwatch;
use common::{
    Connection, RunningDaemon, header, job_request, platform_config, send_chunk, send_lines, start_worker,
    wait_for,
};
use pebblepost::net::ListenerKind;
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

const LIMIT: Duration = Duration::from_secs(15);

fn serve_job(connection: &mut Connection, head: &[String]) {
    let id = header(head, "x-txn").expect("an X-Txn header");
    send_lines(connection, &[json!({"id": id, "state": "done", "result": "text"})]);
}

/// Starts a worker that fails every request. Returns its address and the number of requests that it got: they are retried
/// elsewhere, so the responses do not show them.
fn start_failing_worker() -> (SocketAddr, Arc<AtomicUsize>) {
    let request_count = Arc::new(AtomicUsize::new(0));
    let count = request_count.clone();
    let address = start_worker(move |connection, _| {
        count.fetch_add(1, Ordering::Relaxed);
        connection.send("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
    });
    (address, request_count)
}

fn host(name: &str, dial: SocketAddr, health: &str) -> Value {
    json!({"host": name, "dial": dial, "site": "a", "class": "m", "block": 0, "health": health, "born_ms": 0})
}

fn list(seq: u64, whole: bool, hosts: &[Value]) -> String {
    format!("{}\n", json!({"seq": seq, "whole": whole, "hosts": hosts}))
}

const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Starts a stand-in for discovery that sends the head of its response and then requests `respond`, with the number of the
/// request for its list, from 0. The connection closes when `respond` returns. Returns the address and the times of the
/// requests.
fn start_discovery(
    respond: impl Fn(&mut Connection, usize) + Send + Sync + Clone + 'static,
) -> (SocketAddr, Receiver<Instant>) {
    start_raw_discovery(move |connection, n| {
        connection.send(CHUNKED_HEAD);
        respond(connection, n);
    })
}

/// Starts a discovery as [`start_discovery`] does, but `respond` also sends the head. Requests for anything but the list are
/// not counted: a daemon of another test may take the port for that of a worker.
fn start_raw_discovery(
    respond: impl Fn(&mut Connection, usize) + Send + Sync + Clone + 'static,
) -> (SocketAddr, Receiver<Instant>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let (address, (request_sender, requests)) = (listener.local_addr().expect("a bound listener"), channel());
    std::thread::spawn(move || {
        let list_request_count = Arc::new(AtomicUsize::new(0));
        for stream in listener.incoming().map_while(Result::ok) {
            let (respond, request_sender, list_request_count) =
                (respond.clone(), request_sender.clone(), list_request_count.clone());
            std::thread::spawn(move || {
                let mut connection = Connection::new(stream);
                if connection
                    .read_message()
                    .0
                    .first()
                    .is_some_and(|line| line.starts_with("GET /v1/endpoints"))
                {
                    let n = list_request_count.fetch_add(1, Ordering::Relaxed);
                    let _ = request_sender.send(Instant::now());
                    respond(&mut connection, n);
                }
            });
        }
    });
    (address, requests)
}

/// Keeps a watch open with empty lines as heartbeats until the daemon disconnects.
fn keep_watch_open(connection: &mut Connection) {
    while connection.try_send("1\r\n\n\r\n") {
        std::thread::sleep(Duration::from_millis(500));
    }
}

fn send_request(daemon: &RunningDaemon, request: &str) -> (String, String) {
    let mut connection = daemon.connect(ListenerKind::Platform);
    connection.send(request);
    let (head, body) = connection.read_message();
    (head.first().cloned().unwrap_or_default(), body)
}

fn is_served(daemon: &RunningDaemon) -> bool {
    send_request(daemon, &job_request("t", "", "")).1 == "text"
}

#[test]
fn a_truncated_list_is_ignored_and_the_next_complete_list_applied() {
    let ((old, _), new) = (start_failing_worker(), start_worker(serve_job));
    let (address, requests) = start_discovery(move |connection, n| {
        let whole = list(9, true, &[host("s-new", new, "ready")]);
        if n == 0 {
            return connection.send(&format!("{:x}\r\n{}", whole.len(), &whole[..whole.len() / 2]));
        }
        send_chunk(connection, &whole);
        keep_watch_open(connection);
    });
    let daemon = RunningDaemon::start(Some(platform_config(&[old], Some(address))), None);
    requests.recv_timeout(LIMIT).expect("a first request to discovery");
    requests.recv_timeout(LIMIT).expect("a second request, after the truncated list");
    wait_for(LIMIT, "the complete list was not applied", || is_served(&daemon).then_some(()));
}

#[test]
fn an_older_list_does_not_revert_a_drain_but_a_newer_change_does() {
    let ((drained, request_count), other) = (start_failing_worker(), start_worker(serve_job));
    let go = Arc::new(AtomicBool::new(false));
    let went = go.clone();
    let (address, requests) = start_discovery(move |connection, n| {
        let both = |health| [host("s-0", drained, health), host("s-1", other, "ready")];
        if n == 0 {
            // A drain, then the watch ends.
            return send_chunk(connection, &list(7, true, &both("draining")));
        }
        // Discovery comes back with its state from before the drain.
        send_chunk(connection, &list(5, true, &both("ready")));
        while !went.load(Ordering::Relaxed) && connection.try_send("1\r\n\n\r\n") {
            std::thread::sleep(Duration::from_millis(20));
        }
        send_chunk(connection, &list(6, false, &[host("s-0", drained, "ready"), host("s-1", other, "gone")]));
        keep_watch_open(connection);
    });
    let daemon = RunningDaemon::start(Some(platform_config(&[drained, other], Some(address))), None);
    for _ in 0..2 {
        requests.recv_timeout(LIMIT).expect("a request to discovery");
    }
    std::thread::sleep(Duration::from_millis(200));
    for n in 0..20 {
        assert_eq!(send_request(&daemon, &job_request(&format!("t{n}"), "", "")).1, "text");
    }
    assert_eq!(request_count.load(Ordering::Relaxed), 0, "the drained worker got requests");
    go.store(true, Ordering::Relaxed);
    // Discovery continues from its older version, and its further changes are applied.
    wait_for(LIMIT, "the changes after the older list were not applied", || {
        (!send_request(&daemon, &job_request("u", "", "")).0.contains(" 200")).then_some(())
    });
}

#[test]
fn daemons_that_lose_their_watch_together_reconnect_with_jitter() {
    let good = start_worker(serve_job);
    let (address, requests) = start_discovery(move |connection, n| {
        send_chunk(connection, &list(3, true, &[host("s-0", good, "ready")]));
        match n {
            0..4 => std::thread::sleep(Duration::from_millis(2_500)),
            _ => keep_watch_open(connection),
        }
    });
    let daemons: Vec<RunningDaemon> = (0..4)
        .map(|n| {
            let mut config = platform_config(&[good], Some(address));
            config["seed"] = json!(format!("{}", n + 1));
            config["settings"]["instances"] = json!(4);
            RunningDaemon::start(Some(config), None)
        })
        .collect();
    let mut at: Vec<Instant> =
        (0..8).map(|_| requests.recv_timeout(LIMIT).expect("a request to discovery")).collect();
    at.drain(..4);
    assert!(at[3] - at[0] > Duration::from_millis(20), "the daemons reconnected within {:?}", at[3] - at[0]);
    assert!(daemons.iter().all(is_served));
}

#[test]
fn an_empty_or_outdated_cached_list_is_replaced_by_the_first_update() {
    // These have an address of their own, so that no other test gets the ports while a daemon still connects to them.
    let gone: Vec<SocketAddr> = (0..3)
        .map(|_| {
            TcpListener::bind("127.78.1.1:0").and_then(|listener| listener.local_addr()).expect("a free port")
        })
        .collect();
    for known in [vec![], gone] {
        let good = start_worker(serve_job);
        let (address, _requests) = start_discovery(move |connection, _| {
            send_chunk(connection, &list(90, true, &[host("s-new", good, "ready")]));
            keep_watch_open(connection);
        });
        let daemon = RunningDaemon::start(Some(platform_config(&known, Some(address))), None);
        let start = Instant::now();
        let (status, _) = send_request(&daemon, &job_request("t", "", ""));
        assert!(status.contains(" 503") || status.contains(" 200"), "{status}");
        assert!(start.elapsed() < Duration::from_secs(2), "no response within 2 s");
        wait_for(LIMIT, "the update was not applied", || is_served(&daemon).then_some(()));
    }
}

#[test]
fn a_worker_that_resets_all_connections_costs_no_response() {
    // It resets each connection that it accepts.
    let full = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = full.local_addr().expect("a bound listener");
    std::thread::spawn(move || {
        for stream in full.incoming().map_while(Result::ok) {
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
    });
    let daemon = RunningDaemon::start(Some(platform_config(&[address, start_worker(serve_job)], None)), None);
    for n in 0..30 {
        assert_eq!(send_request(&daemon, &job_request(&format!("t{n}"), "", "")).1, "text", "request {n}");
    }
    let alone = RunningDaemon::start(Some(platform_config(&[address], None)), None);
    let start = Instant::now();
    assert!(
        send_request(&alone, &job_request("t", "", "")).0.contains(" 503"),
        "the request cannot have run and must be rejected"
    );
    assert!(start.elapsed() < Duration::from_secs(2));
}

#[test]
fn each_request_gets_a_response_when_a_zone_stops_responding_to_started_jobs() {
    let silent = || {
        start_worker(|connection, head| {
            let id = header(head, "x-txn").expect("an X-Txn header");
            connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            send_chunk(connection, &format!("{}\n", json!({"id": id, "state": "started"})));
            assert!(
                connection.read_line().is_empty(),
                "the daemon abandons the attempt by closing the connection"
            );
        })
    };
    let mut config = platform_config(&[silent(), silent(), start_worker(serve_job)], None);
    config["known"]["hosts"][2]["site"] = json!("b");
    let daemon = RunningDaemon::start(Some(config), None);
    let start = Stopwatch::start();
    let mut connections: Vec<Connection> = (0..12)
        .map(|n| {
            let mut connection = daemon.connect(ListenerKind::Platform);
            connection.send(&job_request(&format!("t{n}"), "", ""));
            connection
        })
        .collect();
    let answers: Vec<String> =
        connections.iter_mut().map(|connection| connection.read_message().0.remove(0)).collect();
    assert!(answers.iter().all(|answer| answer.starts_with("HTTP/1.1 ")), "{answers:?}");
    assert!(
        start.elapsed() < Duration::from_millis(2_050),
        "the responses took {:?}, longer than the clients wait",
        start.elapsed()
    );
}

#[test]
fn requests_are_served_or_rejected_before_their_deadline_while_all_workers_are_cold() {
    let mut config =
        platform_config(&[start_worker(serve_job), start_worker(serve_job), start_worker(serve_job)], None);
    let now = std::time::UNIX_EPOCH.elapsed().expect("a clock").as_millis() as u64;
    for n in 0..3 {
        config["known"]["hosts"][n]["born_ms"] = json!(now);
    }
    config["settings"]["invariants"]["coldFrom"] = json!(0.12);
    config["settings"]["invariants"]["warmUp"] = json!(23e9);
    config["settings"]["invariants"]["tipMultiple"] = json!(3.0);
    config["settings"]["invariants"]["fall"] = json!(3e9);
    let daemon = RunningDaemon::start(Some(config), None);
    let mut served = 0;
    for n in 0..20 {
        let start = Instant::now();
        let (status, body) = send_request(&daemon, &job_request(&format!("t{n}"), "", ""));
        assert!(status.contains(" 200") || status.contains(" 503"), "{status}");
        assert!(start.elapsed() < Duration::from_millis(1_500), "{status} after {:?}", start.elapsed());
        served += usize::from(body == "text");
        std::thread::sleep(Duration::from_millis(30));
    }
    assert!(served > 0, "no request was served by a cold worker");
}

/// Regression: in push mode the decision module never polls, so the daemon read no change. A worker added after the start got
/// no requests, and a drain was never applied.
#[test]
fn in_push_mode_the_watch_is_kept_open_without_polls() {
    let ((drained, request_count), next) = (start_failing_worker(), start_worker(serve_job));
    let (address, requests) = start_discovery(move |connection, n| match n {
        // The connection closes at once, as that of an agent that restarts.
        0 => send_chunk(connection, &list(2, true, &[host("s-drained", drained, "ready")])),
        _ => {
            let news = [host("s-drained", drained, "draining"), host("s-next", next, "ready")];
            send_chunk(connection, &list(3, false, &news));
            keep_watch_open(connection);
        }
    });
    let mut config = platform_config(&[], Some(address));
    config["settings"]["discovery"] = json!("push");
    let daemon = RunningDaemon::start(Some(config), None);
    for _ in 0..2 {
        requests.recv_timeout(LIMIT).expect("the watch is opened, and reopened after it ended");
    }
    wait_for(LIMIT, "the added worker did not serve", || is_served(&daemon).then_some(()));
    let before = request_count.load(Ordering::Relaxed);
    (0..20).for_each(|_| assert!(is_served(&daemon)));
    assert_eq!(request_count.load(Ordering::Relaxed), before, "the drained worker got new requests");
}

const UNAVAILABLE: &str = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";

/// A watch falls silent after its first list in one of three ways, and the next connection fails in one of three ways. The
/// connection after that reports a drain, which must be in force 6 s after the last heartbeat.
#[test]
fn a_drain_applies_within_six_seconds_of_the_watch_falling_silent() {
    let silences: [fn(&mut Connection); 3] = [
        |connection| assert!(connection.read_line().is_empty()),
        // Half an object, and then one byte at a time.
        |connection| {
            let mut drops = "{\"seq\":3,".chars().chain(std::iter::repeat(' '));
            while connection.try_send(&format!("1\r\n{}\r\n", drops.next().expect("endless"))) {
                std::thread::sleep(Duration::from_millis(200));
            }
        },
        // A chunk that is never completed.
        |connection| {
            connection.send("ffff\r\n{");
            assert!(connection.read_line().is_empty());
        },
    ];
    let failures: [fn(&mut Connection); 3] = [
        |_| {},
        |connection| {
            std::thread::sleep(Duration::from_secs(2));
            let _ = connection.try_send(UNAVAILABLE);
        },
        |connection| {
            let _ = connection.try_send("HTTP/1.1 200 OK\r\nTransfer-");
        },
    ];
    let pairs =
        silences.into_iter().flat_map(|silence| failures.into_iter().map(move |failure| (silence, failure)));
    let cases: Vec<_> = pairs
        .map(|(silence, failure)| {
            std::thread::spawn(move || {
                // The worker serves requests, as it would be ejected otherwise.
                let request_count = Arc::new(AtomicUsize::new(0));
                let count = request_count.clone();
                let drained = start_worker(move |connection, head| {
                    count.fetch_add(1, Ordering::Relaxed);
                    serve_job(connection, head);
                });
                let other = start_worker(serve_job);
                let both = move |health| [host("s-0", drained, health), host("s-1", other, "ready")];
                let (address, requests) = start_raw_discovery(move |connection, n| match n {
                    0 => {
                        connection.send(CHUNKED_HEAD);
                        send_chunk(connection, &list(2, true, &both("ready")));
                        silence(connection);
                    }
                    1 => failure(connection),
                    _ => {
                        connection.send(CHUNKED_HEAD);
                        send_chunk(connection, &list(3, false, &both("draining")));
                        keep_watch_open(connection);
                    }
                });
                let daemon =
                    RunningDaemon::start(Some(platform_config(&[drained, other], Some(address))), None);
                let alive = requests.recv_timeout(LIMIT).expect("a first request to discovery");
                while alive.elapsed() < Duration::from_secs(6) {
                    is_served(&daemon);
                    std::thread::sleep(Duration::from_millis(50));
                }
                let before = request_count.load(Ordering::Relaxed);
                assert!(before > 0, "the worker got no requests before the drain");
                (0..40).for_each(|_| assert!(is_served(&daemon)));
                assert_eq!(
                    request_count.load(Ordering::Relaxed),
                    before,
                    "the drained worker got new requests"
                );
            })
        })
        .collect();
    cases.into_iter().for_each(|case| case.join().expect("the drain is in force in time"));
}

/// A complete list and then a change come over many lines, as an operator's tool may indent them, and in small chunks.
#[test]
fn indented_lists_are_accepted() {
    let (old, new) = (start_worker(serve_job), start_worker(serve_job));
    let (address, _requests) = start_discovery(move |connection, _| {
        let pretty = |value: Value| format!("{}\n", serde_json::to_string_pretty(&value).expect("JSON"));
        let pieces = |connection: &mut Connection, text: &str| {
            text.as_bytes()
                .chunks(7)
                .for_each(|piece| send_chunk(connection, std::str::from_utf8(piece).expect("ASCII")));
        };
        pieces(connection, &pretty(json!({"seq": 2, "whole": true, "hosts": [host("s-0", old, "ready")]})));
        send_chunk(connection, "\n");
        let hosts = [host("s-0", old, "draining"), host("s-new", new, "ready")];
        pieces(connection, &pretty(json!({"seq": 3, "whole": false, "hosts": hosts})));
        keep_watch_open(connection);
    });
    // The cached list is empty: only the new list holds a worker that serves.
    let daemon = RunningDaemon::start(Some(platform_config(&[], Some(address))), None);
    wait_for(Duration::from_secs(2), "the indented list was not applied", || {
        is_served(&daemon).then_some(())
    });
}

/// The cached list of a new process may be outdated. The process sends nothing by that list before discovery has responded, so
/// that changes made long ago are in force from its start.
#[test]
fn a_new_process_waits_for_discovery_before_using_its_cached_list() {
    let ((drained, request_count), other) = (start_failing_worker(), start_worker(serve_job));
    let (go, wait) = channel::<()>();
    let wait = Arc::new(std::sync::Mutex::new(wait));
    let (address, requests) = start_discovery(move |connection, _| {
        let _ = wait.lock().expect("no thread has panicked").recv_timeout(LIMIT);
        send_chunk(
            connection,
            &list(9, false, &[host("s-0", drained, "draining"), host("s-1", other, "ready")]),
        );
        keep_watch_open(connection);
    });
    let daemon = RunningDaemon::start(Some(platform_config(&[drained, other], Some(address))), None);
    requests.recv_timeout(Duration::from_secs(1)).expect("a request to discovery at once");
    let ready = || send_request(&daemon, "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n").0.contains(" 200 ");
    assert!(!ready(), "ready before discovery has responded");
    let (status, _) = send_request(&daemon, &job_request("t", "", ""));
    assert!(status.contains(" 503 "), "the request must be rejected at once: {status}");
    go.send(()).expect("a waiting request");
    wait_for(Duration::from_secs(1), "not ready after the list", || ready().then_some(()));
    (0..20).for_each(|_| assert!(is_served(&daemon)));
    assert_eq!(request_count.load(Ordering::Relaxed), 0, "the drained worker got requests");
}

/// Ten processes start together while discovery is down, rejects each request as late as it may, or responds one by one and
/// too slowly for all: nine in ten are ready within 10 s, and the rest within 30 s.
#[test]
fn restarted_processes_become_ready_in_time_despite_discovery_failures() {
    let good = start_worker(serve_job);
    let closed =
        TcpListener::bind("127.78.1.3:0").and_then(|listener| listener.local_addr()).expect("a free port");
    let (refuses, _requests) = start_raw_discovery(|connection, _| {
        std::thread::sleep(Duration::from_secs(2));
        let _ = connection.try_send(UNAVAILABLE);
    });
    let turn = Arc::new(std::sync::Mutex::new(()));
    let (busy, _requests) = start_raw_discovery(move |connection, _| {
        let arrived = Instant::now();
        let turn = turn.lock().expect("no thread has panicked");
        if arrived.elapsed() > Duration::from_secs(2) {
            drop(turn);
            let _ = connection.try_send(UNAVAILABLE);
            return;
        }
        std::thread::sleep(Duration::from_millis(400));
        drop(turn);
        if connection.try_send(CHUNKED_HEAD) {
            send_chunk(connection, &list(3, true, &[host("s-0", good, "ready")]));
            keep_watch_open(connection);
        }
    });
    let cases: Vec<_> = [closed, refuses, busy]
        .into_iter()
        .map(|address| {
            std::thread::spawn(move || {
                let start = Instant::now();
                let daemons = (0..10).map(|n| {
                    let mut config = platform_config(&[good], Some(address));
                    config["seed"] = json!(format!("{n}"));
                    config["settings"]["instances"] = json!(10);
                    RunningDaemon::start(Some(config), None)
                });
                let daemons: Vec<RunningDaemon> = daemons.collect();
                let mut took: Vec<Duration> = daemons
                    .iter()
                    .map(|daemon| {
                        wait_for(Duration::from_secs(30), "the process did not become ready", || {
                            let ready = send_request(daemon, "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")
                                .0
                                .contains(" 200 ");
                            ready.then(|| start.elapsed())
                        })
                    })
                    .collect();
                took.sort();
                assert!(took[8] < Duration::from_secs(10), "{took:?}");
            })
        })
        .collect();
    cases.into_iter().for_each(|case| case.join().expect("ready in time"));
}

/// A discovery that answers each request with the list and then closes is contacted with the same backoff as one that fails.
#[test]
fn a_watch_that_ends_at_once_is_reopened_with_backoff() {
    for (mode, most) in [("ask", 5), ("push", 30)] {
        let good = start_worker(serve_job);
        let (address, requests) = start_discovery(move |connection, _| {
            send_chunk(connection, &list(3, true, &[host("s-0", good, "ready")]))
        });
        let mut config = platform_config(&[good], Some(address));
        config["settings"]["discovery"] = json!(mode);
        let daemon = RunningDaemon::start(Some(config), None);
        let first = requests.recv_timeout(LIMIT).expect("a first request to discovery");
        let more = std::iter::from_fn(|| {
            requests.recv_timeout(Duration::from_secs(1).saturating_sub(first.elapsed())).ok()
        });
        let n = more.count();
        assert!((1..most).contains(&n), "{mode}: {n} more requests within 1 s");
        assert!(is_served(&daemon));
    }
}

/// An agent that has no update sends the head of its response at once, and its first line after 2 s.
#[test]
fn an_agent_without_updates_does_not_count_as_down() {
    let good = start_worker(serve_job);
    let (address, requests) = start_discovery(|connection, _| {
        std::thread::sleep(Duration::from_secs(2));
        keep_watch_open(connection);
    });
    let mut config = platform_config(&[good], Some(address));
    config["settings"]["discovery"] = json!("push");
    let daemon = RunningDaemon::start(Some(config), None);
    requests.recv_timeout(LIMIT).expect("a request to discovery");
    wait_for(Duration::from_secs(3), "the heartbeat did not confirm the cached list", || {
        is_served(&daemon).then_some(())
    });
    assert!(requests.try_recv().is_err(), "discovery was contacted more than once");
}
