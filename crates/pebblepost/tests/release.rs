//! Permits and budgets with dispatchers, operator commands and three replicas of the fleet store that crash. The harness tests
//! many dispatcher processes with faults between all of them.

mod common;

use common::replicas::{LIMIT, Replicas};
use common::{
    CHUNKED_HEAD, Connection, LAST_CHUNK, RunningDaemon, header, job_request, platform_config, send_chunk,
    send_lines, start_worker, wait_for,
};
use pebblepost::net::ListenerKind;
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::Output;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

fn start_dispatcher(name: &str, zone: &str, version: &str, replicas: &Replicas) -> RunningDaemon {
    let one = start_worker(|_, _| {});
    let mut config = platform_config(&[one], None);
    config["name"] = json!(name);
    let fleet = json!({"keepers": replicas.addresses_json(), "zone": zone, "version": version});
    RunningDaemon::start(Some(config), Some(json!({"fleet": fleet})))
}

/// Starts a worker that serves requests except while `dead` is set, when it closes every connection without a response.
fn start_stoppable_worker(dead: Arc<AtomicBool>) -> SocketAddr {
    common::start_worker_while(
        move || !dead.load(Ordering::Relaxed),
        |connection, head| {
            let id = header(head, "x-txn");
            send_lines(connection, &[json!({"id": id, "state": "done", "result": "text"})]);
        },
    )
}

/// Starts a discovery that sends these hosts as its complete list, and no changes.
fn start_discovery(hosts: Value) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound listener");
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let hosts = hosts.clone();
            std::thread::spawn(move || {
                let mut connection = Connection::new(stream);
                if connection.read_message().0.is_empty() {
                    return;
                }
                let list = format!("{}\n", json!({"seq": 2, "whole": true, "hosts": hosts}));
                connection.send(&format!(
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{list}\r\n",
                    list.len()
                ));
                while connection.try_send("1\r\n\n\r\n") {
                    std::thread::sleep(Duration::from_millis(500));
                }
            });
        }
    });
    address
}

fn wait_until_exited(node: &mut RunningDaemon) {
    wait_for(LIMIT, "the dispatcher did not exit", || node.has_ended().then_some(()));
}

#[test]
fn dispatchers_stop_one_at_a_time_when_granted_a_permit() {
    let mut replicas = Replicas::start(8);
    let mut first = start_dispatcher("a", "x", "1", &replicas);
    let mut second = start_dispatcher("b", "x", "1", &replicas);
    wait_for(LIMIT, "the dispatchers did not both become ready members", || {
        (replicas.fleet_command_until_success(&["members"]).matches(", ready").count() == 2).then_some(())
    });
    replicas.fleet_command_until_success(&["budget", "dispatcher", "--most", "1"]);
    let plan = ["release", "plan", "2", "--waves", "1,100%", "--pause-s", "60", "--restart-s", "10"];
    let printed = replicas.fleet_command_until_success(&plan);
    assert!(printed.contains("wave 2: 70 to 80 s, 1 go, at most 1 out: b"), "{printed}");
    assert!(printed.contains("2 dispatchers in 80 s"), "{printed}");
    // A permit request that the budget can never grant is rejected with the cause. One made while releases are halted waits.
    let permit_request =
        ["permit", "ask", "dispatcher/a", "dispatcher/b", "--want", "2", "--why", "release 2"];
    replicas.fleet_command_until_success(&["budget", "dispatcher", "--most", "0"]);
    let rejected = replicas.fleet_command(&permit_request);
    assert_eq!(rejected.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&rejected.stderr).contains("lets none of 2 out"));
    replicas.fleet_command_until_success(&["budget", "dispatcher", "--most", "1", "--least", "1"]);
    replicas.fleet_command_until_success(&["halt", "dispatcher", "--why", "not yet"]);
    replicas.fleet_command_until_success(&permit_request);
    let shown = replicas.fleet_command_until_success(&["budget", "dispatcher"]);
    assert!(shown.contains("0 of 2 out") && shown.contains("waits  a\t1 in the queue: halted"), "{shown}");
    // The leader is killed while the first permit is granted: exactly one dispatcher stops.
    let (leader, _) = replicas.leader_and_revisions();
    replicas.fleet_command_until_success(&["resume", "dispatcher"]);
    replicas.kill(leader);
    wait_until_exited(&mut first);
    std::thread::sleep(Duration::from_millis(500));
    assert!(!second.has_ended(), "the second dispatcher stopped while the first was out");
    let shown = replicas.fleet_command_until_success(&["budget", "dispatcher"]);
    assert!(shown.contains("out    a\tby a permit") && shown.contains("waits  b"), "{shown}");
    let withdrawn = replicas.fleet_command(&["permit", "withdraw", "dispatcher/a"]);
    assert_eq!(withdrawn.status.code(), Some(1), "a granted permit was withdrawn");
    // Restarted with the wrong version, the dispatcher counts as unavailable and stops again. With the right version it counts
    // as back, and the next one may stop.
    let mut first = start_dispatcher("a", "x", "1", &replicas);
    wait_until_exited(&mut first);
    std::thread::sleep(Duration::from_millis(500));
    assert!(
        !second.has_ended(),
        "the second dispatcher stopped although the first was back with the wrong version"
    );
    let _first = start_dispatcher("a", "x", "2", &replicas);
    wait_until_exited(&mut second);
    let _second = start_dispatcher("b", "x", "2", &replicas);
    wait_for(LIMIT, "permits were not all returned", || {
        replicas.fleet_command_until_success(&["budget", "dispatcher"]).contains("0 of 2 out").then_some(())
    });
    assert!(!replicas.fleet_command_until_success(&["show"]).contains("permit/"));
}

#[test]
fn a_worker_is_drained_while_it_holds_a_permit() {
    let replicas = Replicas::start(9);
    replicas.fleet_command_until_success(&["budget", "worker", "--most", "1"]);
    replicas.fleet_command_until_success(&["permit", "ask", "worker/w-1", "worker/w-2", "--why", "new fans"]);
    let shown = replicas.fleet_command_until_success(&["budget", "worker"]);
    assert!(shown.contains("out    w-1\tby a permit") && shown.contains("waits  w-2"), "{shown}");
    assert!(replicas.fleet_command_until_success(&["show"]).contains("drain/w-1\tby tester"));
    assert_eq!(
        replicas.fleet_command(&["undrain", "w-1"]).status.code(),
        Some(1),
        "a drain that belongs to a permit was removed by hand"
    );
    replicas.fleet_command_until_success(&["permit", "back", "worker/w-1"]);
    let shown = replicas.fleet_command_until_success(&["show"]);
    assert!(!shown.contains("drain/w-1") && shown.contains("drain/w-2"), "{shown}");
    let silent = replicas.fleet_command(&["permit", "force", "worker/w-2"]);
    assert!(String::from_utf8_lossy(&silent.stderr).contains("needs a reason"));
    replicas.fleet_command_until_success(&[
        "permit",
        "force",
        "worker/w-2",
        "--why",
        "it was never switched off",
    ]);
    assert!(!replicas.fleet_command_until_success(&["show"]).contains("drain/"));
    assert!(replicas.fleet_command_until_success(&["history"]).contains("permit/worker/w-2 is gone"));
}

#[test]
fn a_worker_may_be_switched_off_only_after_every_dispatcher_confirms_no_attempts_in_flight() {
    let mut replicas = Replicas::start(10);
    let (may_finish, request_count) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let slow = {
        let (may_finish, request_count) = (may_finish.clone(), request_count.clone());
        start_worker(move |connection, head| {
            request_count.fetch_add(1, Ordering::Relaxed);
            // The worker reports the start, as a job that has not started is retried after 225 ms while its worker is not
            // drained.
            connection.send(CHUNKED_HEAD);
            send_chunk(
                connection,
                &format!("{}\n", json!({"id": header(head, "x-txn"), "state": "started"})),
            );
            wait_for(LIMIT, "the test did not release the job", || {
                may_finish.load(Ordering::Relaxed).then_some(())
            });
            send_chunk(
                connection,
                &format!("{}\n", json!({"id": header(head, "x-txn"), "state": "done", "result": "text"})),
            );
            connection.send(LAST_CHUNK);
        })
    };
    let addresses = replicas.addresses_json();
    let start_named_dispatcher = |name: &str, copy: Option<PathBuf>| {
        let mut config = platform_config(&[slow], None);
        config["name"] = json!(name);
        let fleet = json!({"keepers": addresses, "zone": "x", "version": "1", "copy": copy});
        RunningDaemon::start(Some(config), Some(json!({"fleet": fleet})))
    };
    let (first, second) = (start_named_dispatcher("a", None), start_named_dispatcher("b", None));
    wait_for(LIMIT, "the dispatchers did not both become members", || {
        (replicas.fleet_command_until_success(&["members"]).matches(", ready").count() == 2).then_some(())
    });
    // A long job runs at the worker when its permit is granted.
    let mut connection = first.connect(ListenerKind::Platform);
    connection.send(&job_request("t", "", "").replace("X-Remaining-Ms: 2000", "X-Remaining-Ms: 60000"));
    wait_for(LIMIT, "the job did not start", || (request_count.load(Ordering::Relaxed) == 1).then_some(()));
    replicas.fleet_command_until_success(&["budget", "worker", "--most", "1"]);
    replicas.fleet_command_until_success(&["permit", "ask", "worker/s-0", "--why", "new fans"]);
    let confirm_off =
        |replicas: &Replicas, limit_s: &str| replicas.fleet_command(&["--within", limit_s, "off", "s-0"]);
    let printed = |out: &Output| String::from_utf8_lossy(&out.stdout).into_owned();
    wait_for(LIMIT, "the report did not show one dispatcher done and one with attempts in flight", || {
        let report = printed(&confirm_off(&replicas, "1"));
        (report.contains("1 dispatchers confirmed: may not") && report.contains("a\thas attempts out"))
            .then_some(())
    });
    // The leader crashes. Its successor has no heartbeats yet, and reports that until they arrive.
    let (leader, _) = replicas.leader_and_revisions();
    replicas.kill(leader);
    wait_for(LIMIT, "the new leader did not report the attempts in flight", || {
        printed(&confirm_off(&replicas, "2")).contains("a\thas attempts out").then_some(())
    });
    may_finish.store(true, Ordering::Relaxed);
    assert_eq!(connection.read_message().1, "text");
    wait_for(LIMIT, "the dispatchers did not both confirm", || {
        confirm_off(&replicas, "2").status.success().then_some(())
    });
    // A missing dispatcher may merely be partitioned, so an operator has to confirm that it sends nothing.
    drop(second);
    wait_for(LIMIT, "b was not reported as cut off", || {
        let out = confirm_off(&replicas, "0.5");
        (out.status.code() == Some(1) && printed(&out).contains("b\tis cut off")).then_some(())
    });
    replicas.fleet_command_until_success(&["dismiss", "b"]);
    wait_for(LIMIT, "the confirmation of a alone did not suffice", || {
        confirm_off(&replicas, "2").status.success().then_some(())
    });
    // A dispatcher that cannot save its snapshot would lose the drain in a restart, so it applies the drain but confirms
    // nothing.
    let missing_directory = replicas.folder.join("no such folder").join("copy");
    let _c = start_named_dispatcher("c", Some(missing_directory));
    wait_for(LIMIT, "c did not become a member", || {
        replicas.fleet_command_until_success(&["members"]).contains("member/c").then_some(())
    });
    let out = confirm_off(&replicas, "3");
    assert_eq!(out.status.code(), Some(1));
    assert!(printed(&out).contains("c\tacts by revision 0"), "{}", printed(&out));
    assert_eq!(request_count.load(Ordering::Relaxed), 1, "the drained worker got another request");
}

#[test]
fn a_worker_that_most_dispatchers_find_dead_uses_up_the_budget_until_it_recovers() {
    let replicas = Replicas::start(11);
    // Two workers, each of which can be made to stop responding.
    let dead = [false; 2].map(|dead| Arc::new(AtomicBool::new(dead)));
    let worker_addresses: Vec<_> = dead.iter().map(|dead| start_stoppable_worker(dead.clone())).collect();
    let start_named_dispatcher = |name: &str| {
        let host = |n: usize| {
            let (host, dial) = (format!("s-{n}"), worker_addresses[n]);
            json!({"host": host, "dial": dial, "site": "a", "class": "m", "block": 0, "health": "ready", "born_ms": 0})
        };
        let mut config = platform_config(&worker_addresses, Some(start_discovery(json!([host(0), host(1)]))));
        config["name"] = json!(name);
        let fleet = json!({"keepers": replicas.addresses_json(), "zone": "x", "version": "1"});
        RunningDaemon::start(Some(config), Some(json!({"fleet": fleet})))
    };
    let nodes: Vec<RunningDaemon> = ["a", "b", "c"].map(start_named_dispatcher).into_iter().collect();
    // Workers are probed only while there are requests, so requests are sent throughout.
    let (is_done, request_count) = (Arc::new(AtomicBool::new(false)), AtomicUsize::new(0));
    std::thread::scope(|scope| {
        for node in &nodes {
            let (is_done, request_count) = (is_done.clone(), &request_count);
            scope.spawn(move || {
                while !is_done.load(Ordering::Relaxed) {
                    let mut connection = node.connect(ListenerKind::Platform);
                    connection.send(&job_request(
                        &format!("t{}", request_count.fetch_add(1, Ordering::Relaxed)),
                        "",
                        "",
                    ));
                    connection.read_message();
                    std::thread::sleep(Duration::from_millis(50));
                }
            });
        }
        let wait_for_budget = |what: &str, part: &str| {
            wait_for(LIMIT, what, || {
                replicas.fleet_command_until_success(&["budget", "worker"]).contains(part).then_some(())
            });
        };
        replicas.fleet_command_until_success(&["budget", "worker", "--most", "1"]);
        wait_for_budget("the workers were not both committed to the list", "0 of 2 out");
        dead[0].store(true, Ordering::Relaxed);
        wait_for_budget("the dead worker did not count as out", "out    s-0\twithout a permit");
        replicas.fleet_command_until_success(&["permit", "ask", "worker/s-1", "--why", "new fans"]);
        wait_for_budget(
            "the permit of the other worker did not wait",
            "waits  s-1\t1 in the queue: 1 others are out",
        );
        dead[0].store(false, Ordering::Relaxed);
        wait_for_budget(
            "the permit was not granted after the first worker recovered",
            "out    s-1\tby a permit",
        );
        is_done.store(true, Ordering::Relaxed);
    });
}
