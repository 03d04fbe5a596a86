//! Sends valid requests split at random points, and random bytes, to every listener of a running daemon, from a fixed seed.

mod common;

use common::{RunningDaemon, header, job_request, platform_config, send_lines, start_worker};
use pebblepost::net::ListenerKind;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use serde_json::json;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

const LISTENERS: [ListenerKind; 4] =
    [ListenerKind::Platform, ListenerKind::Faktory, ListenerKind::AgentCheck, ListenerKind::Health];

fn start_daemon() -> RunningDaemon {
    let serving = start_worker(|connection, head| {
        let id = header(head, "x-txn");
        send_lines(connection, &[json!({"id": id, "state": "done", "result": "text"})]);
    });
    let listen = json!({"listen": "127.0.0.1:0"});
    let operator = json!({"faktory": listen, "agent_check": listen, "health": listen, "fleet": {"control": "127.0.0.1:0"}});
    RunningDaemon::start(Some(platform_config(&[serving], None)), Some(operator))
}

fn runner(cases: u32) -> TestRunner {
    TestRunner::new(Config {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..Config::with_cases(cases)
    })
}

#[test]
fn arbitrary_bytes_at_any_listener_leave_the_daemon_serving() {
    let daemon = start_daemon();
    let starts =
        ["", "HELLO {\"v\":2,\"wid\":\"w\"}\r\nFETCH default\r\n", "{\"drain\":", "POST /api HTTP/1.1\r\n"];
    let random_input = (
        0..=LISTENERS.len(),
        prop::sample::select(starts.to_vec()),
        prop::collection::vec(any::<u8>(), 0..300),
    );
    let ran = runner(150).run(&random_input, |(listener, start, bytes)| {
        // The index after the last one stands for the agent's listener, which is not one of the event loop's.
        let address = LISTENERS.get(listener).map_or_else(
            || daemon.control_address.expect("a control listener is configured"),
            |kind| daemon.address(*kind),
        );
        let mut stream = TcpStream::connect(address).expect("a listener");
        // The daemon may close the connection before all of the input is sent.
        let _ = stream.write_all(&[start.as_bytes(), &bytes].concat());
        let _ = stream.shutdown(Shutdown::Write);
        Ok(())
    });
    ran.expect("no failure");
    let mut connection = daemon.connect(ListenerKind::Platform);
    connection.send(&job_request("t", "", ""));
    assert_eq!(connection.read_message().1, "text");
}

#[test]
fn replies_do_not_depend_on_write_boundaries_at_any_listener() {
    let daemon = start_daemon();
    let exchanges = [
        (ListenerKind::Platform, job_request("t", "Connection: close\r\n", "body"), "HTTP/1.1 200 OK\r\n"),
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
    let split_points = (0..exchanges.len(), prop::collection::vec(any::<prop::sample::Index>(), 0..4));
    let ran = runner(30).run(&split_points, |(exchange, split_points)| {
        let (listener, request, reply) = &exchanges[exchange];
        let mut stream = TcpStream::connect(daemon.address(*listener)).expect("a listener");
        stream.set_nodelay(true).expect("TCP");
        stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a valid time-out");
        let mut bounds: Vec<usize> =
            split_points.iter().map(|point| point.index(request.len())).chain([0, request.len()]).collect();
        bounds.sort_unstable();
        for piece in bounds.windows(2) {
            stream.write_all(&request.as_bytes()[piece[0]..piece[1]]).expect("an open connection");
            std::thread::sleep(Duration::from_millis(1));
        }
        let mut received = String::new();
        stream.read_to_string(&mut received).expect("an orderly end");
        prop_assert!(received.starts_with(reply), "{}", received);
        Ok(())
    });
    ran.expect("no failure");
}
