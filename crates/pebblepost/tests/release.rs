//! Permits with three replicas of the fleet store that crash, dispatchers, and an operator's commands. Many dispatchers as
//! processes, with faults between all of them, are tested in the harness.

mod common;

use common::replicas::{LIMIT, Replicas};
use common::{
    CHUNKED_HEAD, LAST_CHUNK, RunningDaemon, Wire, chunk, header, lines, platform, post, within, worker,
};
use pebblepost::net::ListenerKind;
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::Output;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

fn dispatcher(name: &str, zone: &str, version: &str, replicas: &Replicas) -> RunningDaemon {
    let one = worker(|_, _| {});
    let mut config = platform(&[one], None);
    config["name"] = json!(name);
    let fleet = json!({"keepers": replicas.addresses_json(), "zone": zone, "version": version});
    RunningDaemon::start(Some(config), Some(json!({"fleet": fleet})))
}

/// A worker that serves requests until it is marked dead.
fn serves(dead: Arc<AtomicBool>) -> SocketAddr {
    common::worker_while(
        move || !dead.load(Ordering::Relaxed),
        |wire, head| {
            let id = header(head, "x-txn");
            lines(wire, &[json!({"id": id, "state": "done", "result": "text"})]);
        },
    )
}

/// A discovery that lists these hosts and no changes.
fn discovery_of(hosts: Value) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let hosts = hosts.clone();
            std::thread::spawn(move || {
                let mut wire = Wire::new(stream);
                if wire.message().0.is_empty() {
                    return;
                }
                let list = format!("{}\n", json!({"seq": 2, "whole": true, "hosts": hosts}));
                wire.send(&format!(
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{list}\r\n",
                    list.len()
                ));
                while wire.try_send("1\r\n\n\r\n") {
                    std::thread::sleep(Duration::from_millis(500));
                }
            });
        }
    });
    address
}

fn ends(node: &mut RunningDaemon) {
    within(LIMIT, "it ends itself", || node.has_ended().then_some(()));
}

#[test]
fn a_dispatcher_ends_itself_once_it_is_permitted_and_the_next_waits_until_it_is_back() {
    let mut replicas = Replicas::start(8);
    let mut first = dispatcher("a", "x", "1", &replicas);
    let mut second = dispatcher("b", "x", "1", &replicas);
    within(LIMIT, "both are ready members", || {
        (replicas.fleet_until(&["members"]).matches(", ready").count() == 2).then_some(())
    });
    replicas.fleet_until(&["budget", "dispatcher", "--most", "1"]);
    let plan = ["release", "plan", "2", "--waves", "1,100%", "--pause-s", "60", "--restart-s", "10"];
    let printed = replicas.fleet_until(&plan);
    assert!(printed.contains("wave 2: 70 to 80 s, 1 go, at most 1 out: b"), "{printed}");
    assert!(printed.contains("2 dispatchers in 80 s"), "{printed}");
    // A request that can never be granted is rejected with the cause; one made before there is a budget waits.
    let ask = ["permit", "ask", "dispatcher/a", "dispatcher/b", "--want", "2", "--why", "release 2"];
    replicas.fleet_until(&["budget", "dispatcher", "--most", "0"]);
    let refused = replicas.fleet(&ask);
    assert_eq!(refused.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&refused.stderr).contains("lets none of 2 out"));
    replicas.fleet_until(&["budget", "dispatcher", "--most", "1", "--least", "1"]);
    replicas.fleet_until(&["halt", "dispatcher", "--why", "not yet"]);
    replicas.fleet_until(&ask);
    let shown = replicas.fleet_until(&["budget", "dispatcher"]);
    assert!(shown.contains("0 of 2 out") && shown.contains("waits  a\t1 in the queue: halted"), "{shown}");
    // The leader is killed while the first permit is granted: exactly one dispatcher stops.
    let (leader, _) = replicas.leader_and_revisions();
    replicas.fleet_until(&["resume", "dispatcher"]);
    replicas.kill(leader);
    ends(&mut first);
    std::thread::sleep(Duration::from_millis(500));
    assert!(!second.has_ended(), "the second went while the first was out");
    let shown = replicas.fleet_until(&["budget", "dispatcher"]);
    assert!(shown.contains("out    a\tby a permit") && shown.contains("waits  b"), "{shown}");
    let taken_back = replicas.fleet(&["permit", "withdraw", "dispatcher/a"]);
    assert_eq!(taken_back.status.code(), Some(1), "it is going already");
    // Back with the wrong version it counts as unavailable and stops again; with the right one the next may stop.
    let mut first = dispatcher("a", "x", "1", &replicas);
    ends(&mut first);
    std::thread::sleep(Duration::from_millis(500));
    assert!(!second.has_ended(), "the second went though the first was not back as wanted");
    let _first = dispatcher("a", "x", "2", &replicas);
    ends(&mut second);
    let _second = dispatcher("b", "x", "2", &replicas);
    within(LIMIT, "no permit is left", || {
        replicas.fleet_until(&["budget", "dispatcher"]).contains("0 of 2 out").then_some(())
    });
    assert!(!replicas.fleet_until(&["show"]).contains("permit/"));
}

#[test]
fn a_worker_that_goes_by_a_permit_is_drained_until_it_is_back() {
    let replicas = Replicas::start(9);
    replicas.fleet_until(&["budget", "worker", "--most", "1"]);
    replicas.fleet_until(&["permit", "ask", "worker/w-1", "worker/w-2", "--why", "new fans"]);
    let shown = replicas.fleet_until(&["budget", "worker"]);
    assert!(shown.contains("out    w-1\tby a permit") && shown.contains("waits  w-2"), "{shown}");
    assert!(replicas.fleet_until(&["show"]).contains("drain/w-1\tby tester"));
    assert_eq!(replicas.fleet(&["undrain", "w-1"]).status.code(), Some(1), "its permit ends that");
    replicas.fleet_until(&["permit", "back", "worker/w-1"]);
    let shown = replicas.fleet_until(&["show"]);
    assert!(!shown.contains("drain/w-1") && shown.contains("drain/w-2"), "{shown}");
    let silent = replicas.fleet(&["permit", "force", "worker/w-2"]);
    assert!(String::from_utf8_lossy(&silent.stderr).contains("needs a reason"));
    replicas.fleet_until(&["permit", "force", "worker/w-2", "--why", "it was never switched off"]);
    assert!(!replicas.fleet_until(&["show"]).contains("drain/"));
    assert!(replicas.fleet_until(&["history"]).contains("permit/worker/w-2 is gone"));
}

#[test]
fn a_worker_may_be_switched_off_only_when_each_dispatcher_is_done_there_and_a_silent_one_is_none() {
    let mut replicas = Replicas::start(10);
    let (go, asked) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let slow = {
        let (go, asked) = (go.clone(), asked.clone());
        worker(move |wire, head| {
            asked.fetch_add(1, Ordering::Relaxed);
            // Reports its start: a job that has not started is retried after 225 ms, while its worker is not drained.
            wire.send(CHUNKED_HEAD);
            chunk(wire, &format!("{}\n", json!({"id": header(head, "x-txn"), "state": "started"})));
            within(LIMIT, "the job may end", || go.load(Ordering::Relaxed).then_some(()));
            chunk(
                wire,
                &format!("{}\n", json!({"id": header(head, "x-txn"), "state": "done", "result": "text"})),
            );
            wire.send(LAST_CHUNK);
        })
    };
    let named = replicas.addresses_json();
    let with = |name: &str, copy: Option<PathBuf>| {
        let mut config = platform(&[slow], None);
        config["name"] = json!(name);
        let fleet = json!({"keepers": named, "zone": "x", "version": "1", "copy": copy});
        RunningDaemon::start(Some(config), Some(json!({"fleet": fleet})))
    };
    let (first, second) = (with("a", None), with("b", None));
    within(LIMIT, "both are members", || {
        (replicas.fleet_until(&["members"]).matches(", ready").count() == 2).then_some(())
    });
    // A long job runs there when the worker's permit is granted.
    let mut wire = first.connect(ListenerKind::Platform);
    wire.send(&post("t", "", "").replace("X-Remaining-Ms: 2000", "X-Remaining-Ms: 60000"));
    within(LIMIT, "it runs", || (asked.load(Ordering::Relaxed) == 1).then_some(()));
    replicas.fleet_until(&["budget", "worker", "--most", "1"]);
    replicas.fleet_until(&["permit", "ask", "worker/s-0", "--why", "new fans"]);
    let off = |replicas: &Replicas, within: &str| replicas.fleet(&["--within", within, "off", "s-0"]);
    let printed = |out: &Output| String::from_utf8_lossy(&out.stdout).into_owned();
    within(LIMIT, "one is done, one is not", || {
        let said = printed(&off(&replicas, "1"));
        (said.contains("1 dispatchers confirmed: may not") && said.contains("a\thas attempts out"))
            .then_some(())
    });
    // The leader crashes: its successor has had no heartbeat, and reports that until it has.
    let (leader, _) = replicas.leader_and_revisions();
    replicas.kill(leader);
    within(LIMIT, "heard again", || {
        printed(&off(&replicas, "2")).contains("a\thas attempts out").then_some(())
    });
    go.store(true, Ordering::Relaxed);
    assert_eq!(wire.message().1, "text");
    within(LIMIT, "both are done", || off(&replicas, "2").status.success().then_some(()));
    // A missing dispatcher may be partitioned only: an operator has to confirm that it sends nothing.
    drop(second);
    within(LIMIT, "b is lost", || {
        let out = off(&replicas, "0.5");
        (out.status.code() == Some(1) && printed(&out).contains("b\tis cut off")).then_some(())
    });
    replicas.fleet_until(&["dismiss", "b"]);
    within(LIMIT, "a's word is enough", || off(&replicas, "2").status.success().then_some(()));
    // A dispatcher that cannot save its snapshot would lose the drain over a restart: it applies it and confirms nothing.
    let nowhere = replicas.folder.join("no such folder").join("copy");
    let _c = with("c", Some(nowhere));
    within(LIMIT, "c is there", || replicas.fleet_until(&["members"]).contains("member/c").then_some(()));
    let out = off(&replicas, "3");
    assert_eq!(out.status.code(), Some(1));
    assert!(printed(&out).contains("c\tacts by revision 0"), "{}", printed(&out));
    assert_eq!(asked.load(Ordering::Relaxed), 1, "nothing more went there");
}

#[test]
fn a_worker_that_most_dispatchers_see_dead_is_out_and_others_wait_until_it_is_back() {
    let replicas = Replicas::start(11);
    // Two workers, each of which can be made to answer no probe.
    let dead = [false; 2].map(|dead| Arc::new(AtomicBool::new(dead)));
    let at: Vec<_> = dead.iter().map(|dead| serves(dead.clone())).collect();
    let with = |name: &str| {
        let host = |n: usize| {
            let (host, dial) = (format!("s-{n}"), at[n]);
            json!({"host": host, "dial": dial, "site": "a", "class": "m", "block": 0, "health": "ready", "born_ms": 0})
        };
        let mut config = platform(&at, Some(discovery_of(json!([host(0), host(1)]))));
        config["name"] = json!(name);
        let fleet = json!({"keepers": replicas.addresses_json(), "zone": "x", "version": "1"});
        RunningDaemon::start(Some(config), Some(json!({"fleet": fleet})))
    };
    let nodes: Vec<RunningDaemon> = ["a", "b", "c"].map(with).into_iter().collect();
    // Requests keep the probes going: a worker without any is not observed.
    let (over, asked) = (Arc::new(AtomicBool::new(false)), AtomicUsize::new(0));
    std::thread::scope(|scope| {
        for node in &nodes {
            let (over, asked) = (over.clone(), &asked);
            scope.spawn(move || {
                while !over.load(Ordering::Relaxed) {
                    let mut wire = node.connect(ListenerKind::Platform);
                    wire.send(&post(&format!("t{}", asked.fetch_add(1, Ordering::Relaxed)), "", ""));
                    wire.message();
                    std::thread::sleep(Duration::from_millis(50));
                }
            });
        }
        let shows = |what: &str, part: &str| {
            within(LIMIT, what, || replicas.fleet_until(&["budget", "worker"]).contains(part).then_some(()));
        };
        replicas.fleet_until(&["budget", "worker", "--most", "1"]);
        shows("both are on the agreed list", "0 of 2 out");
        dead[0].store(true, Ordering::Relaxed);
        shows("the dead one is out", "out    s-0\twithout a permit");
        replicas.fleet_until(&["permit", "ask", "worker/s-1", "--why", "new fans"]);
        shows("the other waits", "waits  s-1\t1 in the queue: 1 others are out");
        dead[0].store(false, Ordering::Relaxed);
        shows("and goes once that one answers again", "out    s-1\tby a permit");
        over.store(true, Ordering::Relaxed);
    });
}
