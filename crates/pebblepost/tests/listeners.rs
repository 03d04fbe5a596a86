//! Random cuts of valid exchanges and random garbage at every listener of a running daemon, from a fixed seed.

mod common;

use common::{RunningDaemon, header, lines, platform, post, worker};
use pebblepost::net::ListenerKind;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use serde_json::json;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

const LISTENERS: [ListenerKind; 4] =
    [ListenerKind::Platform, ListenerKind::Faktory, ListenerKind::AgentCheck, ListenerKind::Health];

fn start() -> RunningDaemon {
    let serves = worker(|wire, head| {
        let id = header(head, "x-txn");
        lines(wire, &[json!({"id": id, "state": "done", "result": "text"})]);
    });
    let listen = json!({"listen": "127.0.0.1:0"});
    let operator = json!({"faktory": listen, "agent_check": listen, "health": listen, "fleet": {"control": "127.0.0.1:0"}});
    RunningDaemon::start(Some(platform(&[serves], None)), Some(operator))
}

fn runner(cases: u32) -> TestRunner {
    TestRunner::new(Config {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..Config::with_cases(cases)
    })
}

#[test]
fn garbage_at_any_listener_leaves_the_daemon_serving() {
    let daemon = start();
    let starts =
        ["", "HELLO {\"v\":2,\"wid\":\"w\"}\r\nFETCH default\r\n", "{\"drain\":", "POST /api HTTP/1.1\r\n"];
    let garbage = (
        0..=LISTENERS.len(),
        prop::sample::select(starts.to_vec()),
        prop::collection::vec(any::<u8>(), 0..300),
    );
    let ran = runner(150).run(&garbage, |(listener, start, bytes)| {
        // The last is the agent's, which is no listener of the loop.
        let address = LISTENERS
            .get(listener)
            .map_or_else(|| daemon.control.expect("set"), |kind| daemon.address(*kind));
        let mut stream = TcpStream::connect(address).expect("a listener");
        // The daemon may have closed in the middle of it.
        let _ = stream.write_all(&[start.as_bytes(), &bytes].concat());
        let _ = stream.shutdown(Shutdown::Write);
        Ok(())
    });
    ran.expect("no failure");
    let mut wire = daemon.connect(ListenerKind::Platform);
    wire.send(&post("t", "", ""));
    assert_eq!(wire.message().1, "text");
}

#[test]
fn cuts_change_nothing_at_any_listener() {
    let daemon = start();
    let talks = [
        (ListenerKind::Platform, post("t", "Connection: close\r\n", "body"), "HTTP/1.1 200 OK\r\n"),
        (
            ListenerKind::Health,
            "GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n".to_owned(),
            "HTTP/1.1 200 OK\r\n",
        ),
        (
            ListenerKind::Faktory,
            "HELLO {\"v\":2}\r\nBEAT {}\r\nEND\r\n".to_owned(),
            "+HI {\"v\":2}\r\n+OK\r\n-ERR unknown worker\r\n+OK\r\n",
        ),
    ];
    let cuts = (0..talks.len(), prop::collection::vec(any::<prop::sample::Index>(), 0..4));
    let ran = runner(30).run(&cuts, |(talk, cuts)| {
        let (listener, words, reply) = &talks[talk];
        let mut stream = TcpStream::connect(daemon.address(*listener)).expect("a listener");
        stream.set_nodelay(true).expect("TCP");
        stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a sound time-out");
        let mut at: Vec<usize> =
            cuts.iter().map(|cut| cut.index(words.len())).chain([0, words.len()]).collect();
        at.sort_unstable();
        for piece in at.windows(2) {
            stream.write_all(&words.as_bytes()[piece[0]..piece[1]]).expect("an open connection");
            std::thread::sleep(Duration::from_millis(1));
        }
        let mut said = String::new();
        stream.read_to_string(&mut said).expect("an orderly end");
        prop_assert!(said.starts_with(reply), "{}", said);
        Ok(())
    });
    ran.expect("no failure");
}
