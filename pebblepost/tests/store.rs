//! The store: merging, keeping, and three nodes of which one is away for a while.

mod common;

use common::{Running, platform, post, worker};
use pebblepost::net::Door;
use pebblepost::store::{Registers, StoreError};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..Config::with_cases(100) })]

    #[test]
    fn nodes_agree_whatever_the_order_of_exchanges(
        steps in prop::collection::vec((0_usize..3, 0_usize..3, 0_u8..4, any::<bool>()), 0..40),
    ) {
        let mut nodes = ["a", "b", "c"].map(Registers::new);
        for (i, j, key, value) in steps {
            if i == j {
                let done = nodes[i].set(&format!("drain/{key}"), json!(value));
                prop_assert!(done.is_ok());
            } else {
                let theirs = Registers::read(&nodes[j].to_json()).expect("registers");
                nodes[i].merge(theirs);
            }
        }
        // Two full rounds reach everybody from everybody.
        for (i, j) in [(0, 1), (1, 2), (2, 0), (0, 1), (1, 2), (2, 0)] {
            let theirs = Registers::read(&nodes[j].to_json()).expect("registers");
            nodes[i].merge(theirs);
        }
        let all = nodes.map(|n| n.to_json()["registers"].clone());
        prop_assert!(all[0] == all[1] && all[1] == all[2]);
    }
}

#[test]
fn what_is_kept_comes_back_and_a_torn_file_is_refused() {
    let path = common::path("store");
    let mut registers = Registers::new("a");
    assert!(registers.set("drain/s-1", json!(true)).is_ok());
    assert!(registers.set("setting/faktory.heartbeat_s", json!(5)).is_ok());
    for (key, value) in
        [("drain/s-1", json!(7)), ("drain/", json!(true)), ("setting/other", json!(1)), ("x", json!(1))]
    {
        assert!(registers.set(key, value).is_err(), "{key}");
    }
    registers.save(&path).expect("a writable folder");
    assert_eq!(Registers::load("a", &path).expect("whole"), registers);
    let whole = std::fs::read(&path).expect("it is there");
    for cut in [0, 10, whole.len() / 2, whole.len() - 1] {
        std::fs::write(&path, &whole[..cut]).expect("a writable folder");
        assert!(matches!(Registers::load("a", &path), Err(StoreError::Torn(_))), "cut at {cut}");
    }
    std::fs::remove_file(&path).expect("it is there");
    assert_eq!(Registers::load("a", &path).expect("none is empty"), Registers::new("a"));
}

fn say(address: SocketAddr, line: Value) -> Value {
    let mut wire = common::Wire::new(std::net::TcpStream::connect(address).expect("a listener"));
    wire.say(&format!("{line}\n"));
    serde_json::from_str(&wire.line()).expect("JSON")
}

#[test]
fn three_nodes_agree_after_one_was_away_and_a_drain_mark_reaches_the_decisions() {
    let served = worker(|wire, head| {
        let id = common::header(head, "x-txn");
        common::lines(wire, &[json!({"id": id, "state": "done", "result": "text"})]);
    });
    // Peers must know each other's ports before they start. On an address that nothing else here uses, one
    // that was free a moment ago still is.
    let free: Vec<TcpListener> =
        (0..3).map(|_| TcpListener::bind("127.77.3.1:0").expect("a free port")).collect();
    let at: Vec<SocketAddr> = free.iter().map(|l| l.local_addr().expect("bound")).collect();
    drop(free);
    let file = common::path("replica");
    let start = |i: usize| {
        let peers: Vec<SocketAddr> = (0..3).filter(|j| *j != i).map(|j| at[j]).collect();
        let mut store = json!({"listen": at[i], "peers": peers});
        if i == 2 {
            store["file"] = json!(file);
        }
        let mut platform = platform(&[served], None);
        platform["name"] = json!(format!("n{i}"));
        Running::start(Some(platform), Some(json!({"store": store})))
    };
    let serves = |node: &Running| {
        let mut wire = node.connect(Door::Platform);
        wire.say(&post("t", "", ""));
        wire.message().1 == "text"
    };
    let shows = |i: usize| say(at[i], json!({"show": true}))["registers"].clone();
    let limit = Duration::from_secs(8);

    let (a, b, c) = (start(0), start(1), start(2));
    assert!(serves(&a) && serves(&b) && serves(&c));
    assert_eq!(say(at[2], json!({"set": {"drain/s-9": true}})), json!({"ok": true}));
    common::within(limit, "the others hear of it", || {
        (shows(0)["drain/s-9"][0] == true && shows(1)["drain/s-9"][0] == true).then_some(())
    });
    drop(c);
    // One is away: a drain works all the same.
    assert_eq!(say(at[0], json!({"set": {"drain/s-0": true, "drain/s-9": null}})), json!({"ok": true}));
    assert!(!serves(&a), "at once where it was said");
    common::within(limit, "the drain at the other node", || (!serves(&b)).then_some(()));
    let c = start(2);
    common::within(limit, "the drain at the node that was away", || (!serves(&c)).then_some(()));
    common::within(limit, "all agree", || (shows(0) == shows(1) && shows(1) == shows(2)).then_some(()));
    assert_eq!(shows(2)["drain/s-9"][0], Value::Null);
    assert_eq!(say(at[1], json!({"set": {"drain/s-0": null}})), json!({"ok": true}));
    common::within(limit, "the mark is taken back", || (serves(&a) && serves(&c)).then_some(()));
    assert!(say(at[1], json!({"set": {"nonsense": 1}}))["error"].is_string());
    drop((a, b, c));
    let _ = std::fs::remove_file(file);
}
