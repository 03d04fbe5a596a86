//! Failures of discovery and of the workers on its list: nothing crashes or stalls, each request gets one response in time,
//! and no drain is lost.

mod common;

use common::stopwatch::Stopwatch;
use common::{RunningDaemon, Wire, chunk, header, lines, platform, post, within, worker};
use pebblepost::net::ListenerKind;
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

const LIMIT: Duration = Duration::from_secs(15);

fn serves(wire: &mut Wire, head: &[String]) {
    let id = header(head, "x-txn").expect("an id");
    lines(wire, &[json!({"id": id, "state": "done", "result": "text"})]);
}

/// A worker that must not get requests, and how many it got. Requests that it fails are retried elsewhere, so the responses
/// do not show them.
fn unwanted() -> (SocketAddr, Arc<AtomicUsize>) {
    let asked = Arc::new(AtomicUsize::new(0));
    let count = asked.clone();
    let address = worker(move |wire, _| {
        count.fetch_add(1, Ordering::Relaxed);
        wire.send("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
    });
    (address, asked)
}

fn host(name: &str, dial: SocketAddr, health: &str) -> Value {
    json!({"host": name, "dial": dial, "site": "a", "class": "m", "block": 0, "health": health, "born_ms": 0})
}

fn list(seq: u64, whole: bool, hosts: &[Value]) -> String {
    format!("{}\n", json!({"seq": seq, "whole": whole, "hosts": hosts}))
}

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A stand-in for discovery: what it does on the nth call for its list, from 0, after the head of its response. The
/// connection closes when it returns.
fn discovery(
    say: impl Fn(&mut Wire, usize) + Send + Sync + Clone + 'static,
) -> (SocketAddr, Receiver<Instant>) {
    raw_discovery(move |wire, n| {
        wire.send(HEAD);
        say(wire, n);
    })
}

/// The same, from the first byte on. Requests for anything but the list (of a daemon that takes the port for a worker's) are
/// not counted.
fn raw_discovery(
    say: impl Fn(&mut Wire, usize) + Send + Sync + Clone + 'static,
) -> (SocketAddr, Receiver<Instant>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let (address, (called, calls)) = (listener.local_addr().expect("bound"), channel());
    std::thread::spawn(move || {
        let callers = Arc::new(AtomicUsize::new(0));
        for stream in listener.incoming().map_while(Result::ok) {
            let (say, called, callers) = (say.clone(), called.clone(), callers.clone());
            std::thread::spawn(move || {
                let mut wire = Wire::new(stream);
                if wire.message().0.first().is_some_and(|line| line.starts_with("GET /v1/endpoints")) {
                    let n = callers.fetch_add(1, Ordering::Relaxed);
                    let _ = called.send(Instant::now());
                    say(&mut wire, n);
                }
            });
        }
    });
    (address, calls)
}

/// Keeps a watch open with empty lines as signs of life until the daemon disconnects.
fn stay(wire: &mut Wire) {
    while wire.try_send("1\r\n\n\r\n") {
        std::thread::sleep(Duration::from_millis(500));
    }
}

fn ask(daemon: &RunningDaemon, request: &str) -> (String, String) {
    let mut wire = daemon.connect(ListenerKind::Platform);
    wire.send(request);
    let (head, body) = wire.message();
    (head.first().cloned().unwrap_or_default(), body)
}

fn served_by(daemon: &RunningDaemon) -> bool {
    ask(daemon, &post("t", "", "")).1 == "text"
}

#[test]
fn half_a_list_changes_nothing_and_the_whole_one_that_follows_counts() {
    let ((old, _), new) = (unwanted(), worker(serves));
    let (address, calls) = discovery(move |wire, n| {
        let whole = list(9, true, &[host("s-new", new, "ready")]);
        if n == 0 {
            return wire.send(&format!("{:x}\r\n{}", whole.len(), &whole[..whole.len() / 2]));
        }
        chunk(wire, &whole);
        stay(wire);
    });
    let daemon = RunningDaemon::start(Some(platform(&[old], Some(address))), None);
    calls.recv_timeout(LIMIT).expect("a first call");
    calls.recv_timeout(LIMIT).expect("a second, after half of a list");
    within(LIMIT, "the whole list counts", || served_by(&daemon).then_some(()));
}

#[test]
fn an_older_version_takes_no_drain_back_and_a_newer_one_does() {
    let ((drained, asked), other) = (unwanted(), worker(serves));
    let go = Arc::new(AtomicBool::new(false));
    let went = go.clone();
    let (address, calls) = discovery(move |wire, n| {
        let both = |health| [host("s-0", drained, health), host("s-1", other, "ready")];
        if n == 0 {
            // A drain, then the watch ends.
            return chunk(wire, &list(7, true, &both("draining")));
        }
        // Discovery has come back with what it knew before the drain.
        chunk(wire, &list(5, true, &both("ready")));
        while !went.load(Ordering::Relaxed) && wire.try_send("1\r\n\n\r\n") {
            std::thread::sleep(Duration::from_millis(20));
        }
        chunk(wire, &list(6, false, &[host("s-0", drained, "ready"), host("s-1", other, "gone")]));
        stay(wire);
    });
    let daemon = RunningDaemon::start(Some(platform(&[drained, other], Some(address))), None);
    for _ in 0..2 {
        calls.recv_timeout(LIMIT).expect("a call");
    }
    std::thread::sleep(Duration::from_millis(200));
    for n in 0..20 {
        assert_eq!(ask(&daemon, &post(&format!("t{n}"), "", "")).1, "text");
    }
    assert_eq!(asked.load(Ordering::Relaxed), 0, "the drained one got work");
    go.store(true, Ordering::Relaxed);
    // Discovery counts on from its older version, and changes after that are applied.
    within(LIMIT, "only the one that is ready again is left", || {
        (!ask(&daemon, &post("u", "", "")).0.contains(" 200")).then_some(())
    });
}

#[test]
fn a_watch_that_ends_for_all_at_once_is_taken_up_again_by_all_and_not_at_once() {
    let good = worker(serves);
    let (address, calls) = discovery(move |wire, n| {
        chunk(wire, &list(3, true, &[host("s-0", good, "ready")]));
        match n {
            0..4 => std::thread::sleep(Duration::from_millis(2_500)),
            _ => stay(wire),
        }
    });
    let daemons: Vec<RunningDaemon> = (0..4)
        .map(|n| {
            let mut config = platform(&[good], Some(address));
            config["seed"] = json!(format!("{}", n + 1));
            config["settings"]["instances"] = json!(4);
            RunningDaemon::start(Some(config), None)
        })
        .collect();
    let mut at: Vec<Instant> = (0..8).map(|_| calls.recv_timeout(LIMIT).expect("a call")).collect();
    at.drain(..4);
    assert!(at[3] - at[0] > Duration::from_millis(20), "spread out: {:?}", at[3] - at[0]);
    assert!(daemons.iter().all(served_by));
}

#[test]
fn an_empty_or_very_old_list_is_none_to_rely_on_and_the_first_news_count() {
    // On an address of their own, so that no other test is given the ports while a daemon still asks there.
    let gone: Vec<SocketAddr> = (0..3)
        .map(|_| {
            TcpListener::bind("127.78.1.1:0").and_then(|listener| listener.local_addr()).expect("a free port")
        })
        .collect();
    for known in [vec![], gone] {
        let good = worker(serves);
        let (address, _calls) = discovery(move |wire, _| {
            chunk(wire, &list(90, true, &[host("s-new", good, "ready")]));
            stay(wire);
        });
        let daemon = RunningDaemon::start(Some(platform(&known, Some(address))), None);
        let start = Instant::now();
        let (status, _) = ask(&daemon, &post("t", "", ""));
        assert!(status.contains(" 503") || status.contains(" 200"), "{status}");
        assert!(start.elapsed() < Duration::from_secs(2), "answered in its time");
        within(LIMIT, "the news count", || served_by(&daemon).then_some(()));
    }
}

#[test]
fn a_worker_whose_connection_table_is_full_costs_nobody_an_answer() {
    // It accepts what it must and resets it at once.
    let full = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = full.local_addr().expect("bound");
    std::thread::spawn(move || {
        for stream in full.incoming().map_while(Result::ok) {
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
    });
    let daemon = RunningDaemon::start(Some(platform(&[address, worker(serves)], None)), None);
    for n in 0..30 {
        assert_eq!(ask(&daemon, &post(&format!("t{n}"), "", "")).1, "text", "request {n}");
    }
    let alone = RunningDaemon::start(Some(platform(&[address], None)), None);
    let start = Instant::now();
    assert!(ask(&alone, &post("t", "", "")).0.contains(" 503"), "refused: nothing can have run");
    assert!(start.elapsed() < Duration::from_secs(2));
}

#[test]
fn a_zone_that_falls_silent_with_jobs_out_leaves_each_request_its_answer() {
    let silent = || {
        worker(|wire, head| {
            let id = header(head, "x-txn").expect("an id");
            wire.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            chunk(wire, &format!("{}\n", json!({"id": id, "state": "started"})));
            assert!(wire.line().is_empty(), "until the attempt is given up");
        })
    };
    let mut config = platform(&[silent(), silent(), worker(serves)], None);
    config["known"]["hosts"][2]["site"] = json!("b");
    let daemon = RunningDaemon::start(Some(config), None);
    let start = Stopwatch::start();
    let mut wires: Vec<Wire> = (0..12)
        .map(|n| {
            let mut wire = daemon.connect(ListenerKind::Platform);
            wire.send(&post(&format!("t{n}"), "", ""));
            wire
        })
        .collect();
    let answers: Vec<String> = wires.iter_mut().map(|wire| wire.message().0.remove(0)).collect();
    assert!(answers.iter().all(|answer| answer.starts_with("HTTP/1.1 ")), "{answers:?}");
    assert!(
        start.elapsed() < Duration::from_millis(2_050),
        "before the clients give up: {:?}",
        start.elapsed()
    );
}

#[test]
fn all_workers_cold_at_once_serve_or_refuse_and_nothing_waits_for_its_deadline() {
    let mut config = platform(&[worker(serves), worker(serves), worker(serves)], None);
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
        let (status, body) = ask(&daemon, &post(&format!("t{n}"), "", ""));
        assert!(status.contains(" 200") || status.contains(" 503"), "{status}");
        assert!(start.elapsed() < Duration::from_millis(1_500), "{status} after {:?}", start.elapsed());
        served += usize::from(body == "text");
        std::thread::sleep(Duration::from_millis(30));
    }
    assert!(served > 0, "cold ones take their part");
}

/// Where lists are pushed the decision module never polls, so no change was ever read: a worker added after the start got no
/// requests, and a drain was never applied.
#[test]
fn where_lists_are_pushed_the_watch_is_kept_up_without_being_asked_for() {
    let ((drained, asked), next) = (unwanted(), worker(serves));
    let (address, calls) = discovery(move |wire, n| match n {
        // Its connection ends at once, as an agent's does that is restarted.
        0 => chunk(wire, &list(2, true, &[host("s-drained", drained, "ready")])),
        _ => {
            let news = [host("s-drained", drained, "draining"), host("s-next", next, "ready")];
            chunk(wire, &list(3, false, &news));
            stay(wire);
        }
    });
    let mut config = platform(&[], Some(address));
    config["settings"]["discovery"] = json!("push");
    let daemon = RunningDaemon::start(Some(config), None);
    for _ in 0..2 {
        calls.recv_timeout(LIMIT).expect("the watch is taken up, and again after its end");
    }
    within(LIMIT, "the worker that was added serves", || served_by(&daemon).then_some(()));
    let before = asked.load(Ordering::Relaxed);
    (0..20).for_each(|_| assert!(served_by(&daemon)));
    assert_eq!(asked.load(Ordering::Relaxed), before, "nothing new to a drained worker");
}

const REFUSED: &str = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";

/// How a watch falls silent after its first list, and how the next call fails: the call after that reports a drain, which
/// has to be in force 6 s after the last sign of life.
#[test]
fn a_change_is_in_force_six_seconds_after_the_watch_fell_silent_whatever_fails() {
    let silences: [fn(&mut Wire); 3] = [
        |wire| assert!(wire.line().is_empty()),
        // Half an object, and its rest byte by byte.
        |wire| {
            let mut drops = "{\"seq\":3,".chars().chain(std::iter::repeat(' '));
            while wire.try_send(&format!("1\r\n{}\r\n", drops.next().expect("endless"))) {
                std::thread::sleep(Duration::from_millis(200));
            }
        },
        // A chunk that is never filled.
        |wire| {
            wire.send("ffff\r\n{");
            assert!(wire.line().is_empty());
        },
    ];
    let failures: [fn(&mut Wire); 3] = [
        |_| {},
        |wire| {
            std::thread::sleep(Duration::from_secs(2));
            let _ = wire.try_send(REFUSED);
        },
        |wire| {
            let _ = wire.try_send("HTTP/1.1 200 OK\r\nTransfer-");
        },
    ];
    let pairs =
        silences.into_iter().flat_map(|silence| failures.into_iter().map(move |failure| (silence, failure)));
    let plays: Vec<_> = pairs
        .map(|(silence, failure)| {
            std::thread::spawn(move || {
                // It serves requests, or it would be ejected.
                let asked = Arc::new(AtomicUsize::new(0));
                let count = asked.clone();
                let drained = worker(move |wire, head| {
                    count.fetch_add(1, Ordering::Relaxed);
                    serves(wire, head);
                });
                let other = worker(serves);
                let both = move |health| [host("s-0", drained, health), host("s-1", other, "ready")];
                let (address, calls) = raw_discovery(move |wire, n| match n {
                    0 => {
                        wire.send(HEAD);
                        chunk(wire, &list(2, true, &both("ready")));
                        silence(wire);
                    }
                    1 => failure(wire),
                    _ => {
                        wire.send(HEAD);
                        chunk(wire, &list(3, false, &both("draining")));
                        stay(wire);
                    }
                });
                let daemon = RunningDaemon::start(Some(platform(&[drained, other], Some(address))), None);
                let alive = calls.recv_timeout(LIMIT).expect("a first call");
                while alive.elapsed() < Duration::from_secs(6) {
                    served_by(&daemon);
                    std::thread::sleep(Duration::from_millis(50));
                }
                let before = asked.load(Ordering::Relaxed);
                assert!(before > 0, "it had work before");
                (0..40).for_each(|_| assert!(served_by(&daemon)));
                assert_eq!(asked.load(Ordering::Relaxed), before, "nothing new to a drained worker");
            })
        })
        .collect();
    plays.into_iter().for_each(|play| play.join().expect("in force in time"));
}

/// A complete list over many lines, as an operator's tool may indent it, in small chunks; then a change in the same form.
#[test]
fn lists_may_be_indented() {
    let (old, new) = (worker(serves), worker(serves));
    let (address, _calls) = discovery(move |wire, _| {
        let pretty = |value: Value| format!("{}\n", serde_json::to_string_pretty(&value).expect("JSON"));
        let pieces = |wire: &mut Wire, text: &str| {
            text.as_bytes()
                .chunks(7)
                .for_each(|piece| chunk(wire, std::str::from_utf8(piece).expect("ASCII")));
        };
        pieces(wire, &pretty(json!({"seq": 2, "whole": true, "hosts": [host("s-0", old, "ready")]})));
        chunk(wire, "\n");
        let hosts = [host("s-0", old, "draining"), host("s-new", new, "ready")];
        pieces(wire, &pretty(json!({"seq": 3, "whole": false, "hosts": hosts})));
        stay(wire);
    });
    // The known worker is closed: only the list brings one that serves.
    let daemon = RunningDaemon::start(Some(platform(&[], Some(address))), None);
    within(Duration::from_secs(2), "the list counts", || served_by(&daemon).then_some(()));
}

/// A new process is given a list that may be outdated. It sends nothing by that list before discovery has responded: changes
/// made long ago are in force from the process's start.
#[test]
fn a_new_process_sends_nothing_by_the_list_it_was_given_while_discovery_answers() {
    let ((drained, asked), other) = (unwanted(), worker(serves));
    let (go, wait) = channel::<()>();
    let wait = Arc::new(std::sync::Mutex::new(wait));
    let (address, calls) = discovery(move |wire, _| {
        let _ = wait.lock().expect("no panic").recv_timeout(LIMIT);
        chunk(wire, &list(9, false, &[host("s-0", drained, "draining"), host("s-1", other, "ready")]));
        stay(wire);
    });
    let daemon = RunningDaemon::start(Some(platform(&[drained, other], Some(address))), None);
    calls.recv_timeout(Duration::from_secs(1)).expect("a call at once");
    let ready = || ask(&daemon, "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n").0.contains(" 200 ");
    assert!(!ready(), "not before it knows");
    let (status, _) = ask(&daemon, &post("t", "", ""));
    assert!(status.contains(" 503 "), "refused at once, with when to come back: {status}");
    go.send(()).expect("a waiting call");
    within(Duration::from_secs(1), "ready with the list", || ready().then_some(()));
    (0..20).for_each(|_| assert!(served_by(&daemon)));
    assert_eq!(asked.load(Ordering::Relaxed), 0, "the drained one got work");
}

/// Processes that have all just started, with discovery down, refusing each call as late as it may, or answering in turn
/// and too slowly for all: nine in ten are ready within 10 s, and the rest within 30 s.
#[test]
fn restarted_processes_are_ready_in_time_whatever_discovery_does() {
    let good = worker(serves);
    let closed =
        TcpListener::bind("127.78.1.3:0").and_then(|listener| listener.local_addr()).expect("a free port");
    let (refuses, _calls) = raw_discovery(|wire, _| {
        std::thread::sleep(Duration::from_secs(2));
        let _ = wire.try_send(REFUSED);
    });
    let turn = Arc::new(std::sync::Mutex::new(()));
    let (busy, _calls) = raw_discovery(move |wire, _| {
        let asked = Instant::now();
        let turn = turn.lock().expect("no panic");
        if asked.elapsed() > Duration::from_secs(2) {
            drop(turn);
            let _ = wire.try_send(REFUSED);
            return;
        }
        std::thread::sleep(Duration::from_millis(400));
        drop(turn);
        if wire.try_send(HEAD) {
            chunk(wire, &list(3, true, &[host("s-0", good, "ready")]));
            stay(wire);
        }
    });
    let plays: Vec<_> = [closed, refuses, busy]
        .into_iter()
        .map(|address| {
            std::thread::spawn(move || {
                let start = Instant::now();
                let daemons = (0..10).map(|n| {
                    let mut config = platform(&[good], Some(address));
                    config["seed"] = json!(format!("{n}"));
                    config["settings"]["instances"] = json!(10);
                    RunningDaemon::start(Some(config), None)
                });
                let daemons: Vec<RunningDaemon> = daemons.collect();
                let mut took: Vec<Duration> = daemons
                    .iter()
                    .map(|daemon| {
                        within(Duration::from_secs(30), "ready", || {
                            let ready =
                                ask(daemon, "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n").0.contains(" 200 ");
                            ready.then(|| start.elapsed())
                        })
                    })
                    .collect();
                took.sort();
                assert!(took[8] < Duration::from_secs(10), "{took:?}");
            })
        })
        .collect();
    plays.into_iter().for_each(|play| play.join().expect("ready in time"));
}

/// A discovery that answers each call with the list and then ends it is called with the same backoff as one that fails.
#[test]
fn a_watch_that_ends_at_once_is_not_taken_up_in_a_rush() {
    for (mode, most) in [("ask", 5), ("push", 30)] {
        let good = worker(serves);
        let (address, calls) =
            discovery(move |wire, _| chunk(wire, &list(3, true, &[host("s-0", good, "ready")])));
        let mut config = platform(&[good], Some(address));
        config["settings"]["discovery"] = json!(mode);
        let daemon = RunningDaemon::start(Some(config), None);
        let first = calls.recv_timeout(LIMIT).expect("a first call");
        let more = std::iter::from_fn(|| {
            calls.recv_timeout(Duration::from_secs(1).saturating_sub(first.elapsed())).ok()
        });
        let n = more.count();
        assert!((1..most).contains(&n), "{mode}: {n} more calls within a second");
        assert!(served_by(&daemon));
    }
}

/// An agent without an update begins to respond at once; its first line comes after two seconds.
#[test]
fn an_agent_without_news_is_not_taken_for_one_that_is_down() {
    let good = worker(serves);
    let (address, calls) = discovery(|wire, _| {
        std::thread::sleep(Duration::from_secs(2));
        stay(wire);
    });
    let mut config = platform(&[good], Some(address));
    config["settings"]["discovery"] = json!("push");
    let daemon = RunningDaemon::start(Some(config), None);
    calls.recv_timeout(LIMIT).expect("a call");
    within(Duration::from_secs(3), "its line says that the list is current", || {
        served_by(&daemon).then_some(())
    });
    assert!(calls.try_recv().is_err(), "called once");
}
