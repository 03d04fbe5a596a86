//! Load orders: who sends them, when, and with which fencing token.

use crate::support::cluster::Cluster;
use crate::support::documents::registration;
use pebblepost_control::api::HttpRequest;
use pebblepost_control::load_order;
use pebblepost_rollout::{LoadMode, LoadOrder, OrderOutcome, TranscriberReport};
use rstest::rstest;
use std::time::Duration;

fn put(cluster: &mut Cluster, path: &str, body: Vec<u8>) {
    let primary = cluster.primary();
    let request = HttpRequest { method: "PUT".into(), path: path.into(), if_match: None, body };
    assert_eq!(cluster.request(primary, request).map(|answer| answer.status), Some(200));
}

fn name_version(cluster: &mut Cluster, generation: u64) {
    let primary = cluster.primary();
    let body = format!("{{\"model\":\"m\",\"generation\":{generation}}}").into_bytes();
    let request = HttpRequest { method: "POST".into(), path: "/version-put".into(), if_match: None, body };
    assert_eq!(cluster.request(primary, request).map(|answer| answer.status), Some(200));
}

/// Heartbeats of a transcriber with version 1 loaded, for some time.
fn run(cluster: &mut Cluster, sequence: &mut u64, time: Duration) {
    let until = cluster.now + time;
    while cluster.now < until {
        *sequence += 1;
        if !cluster.acting_nodes().is_empty() {
            put(cluster, "/instances/i-1", registration("10.9.0.1:8080", "ready", 1, *sequence));
        }
        cluster.run(Duration::from_millis(300));
    }
}

/// A cluster whose primary has just sent load orders, and the number of the last heartbeat.
fn cluster_with_orders() -> (Cluster, u64) {
    let mut cluster = Cluster::acting();
    let mut sequence = 0;
    run(&mut cluster, &mut sequence, Duration::from_secs(6));
    name_version(&mut cluster, 2);
    run(&mut cluster, &mut sequence, Duration::from_secs(1));
    assert!(!cluster.orders.is_empty());
    (cluster, sequence)
}

#[rstest]
fn primary_orders_a_named_version() {
    let mut cluster = Cluster::acting();
    let mut sequence = 0;
    run(&mut cluster, &mut sequence, Duration::from_millis(600));
    name_version(&mut cluster, 2);
    run(&mut cluster, &mut sequence, Duration::from_secs(6));
    let (_, node, order, body) = cluster.orders.first().cloned().expect("an order");
    assert_eq!(node, cluster.primary());
    assert_eq!((order.instance.as_str(), order.generation), ("i-1", 2));
    let epoch = cluster.node(node).record().epoch;
    assert!(body.contains(&format!("\"fence_token\":{epoch}")), "{body}");
    assert!(body.contains(&format!("\"holder\":\"core-{node}\"")), "{body}");
    cluster.answer_order(node, order, OrderOutcome::AlreadyLoaded);
    let loaded = cluster.node(node).registry().instance("i-1").map(|known| known.models[0].generation);
    assert_eq!(loaded, Some(2));
}

#[rstest]
fn new_holder_waits_for_the_expiry_of_the_former_lease() {
    let (mut cluster, mut sequence) = cluster_with_orders();
    let former = cluster.primary();
    cluster.kill(former);
    let killed_at = cluster.now;
    cluster.run_until_acting();
    run(&mut cluster, &mut sequence, Duration::from_secs(12));
    let (former_orders, new_orders): (Vec<_>, Vec<_>) =
        cluster.orders.iter().partition(|(_, node, _, _)| *node == former);
    assert!(!former_orders.is_empty(), "the former holder had ordered");
    let (at, _, _, body) = new_orders.first().expect("the new holder orders as well");
    assert!(*at >= killed_at + Duration::from_millis(3000), "{:?} after the kill", *at - killed_at);
    let epoch = cluster.node(cluster.primary()).record().epoch;
    assert!(epoch > 1);
    let fence: u64 = body
        .split("\"fence_token\":")
        .nth(1)
        .and_then(|rest| rest.split(|character: char| !character.is_ascii_digit()).next())
        .and_then(|number| number.parse().ok())
        .expect("a fence");
    assert!(fence > 1);
}

#[rstest]
fn restarted_new_holder_waits_for_the_expiry_again() {
    let (mut cluster, mut sequence) = cluster_with_orders();
    let former = cluster.primary();
    cluster.kill(former);
    let killed_at = cluster.now;
    cluster.run_until_acting();
    cluster.run(Duration::from_millis(300));
    let waiting = cluster.primary();
    cluster.kill(waiting);
    cluster.start(waiting);
    cluster.run_until_acting();
    assert_eq!(cluster.primary(), waiting, "it goes on at once");
    assert!(cluster.now < killed_at + Duration::from_millis(2500), "while the other's orders are new");
    run(&mut cluster, &mut sequence, Duration::from_secs(12));
    let new_orders = cluster.orders.iter().filter(|(at, ..)| *at > killed_at);
    let first = new_orders.map(|(at, ..)| *at).next().expect("it orders in the end");
    assert!(first >= killed_at + Duration::from_millis(3000), "{:?} after the kill", first - killed_at);
}

#[rstest]
fn restarted_holder_orders_at_once() {
    let (mut cluster, mut sequence) = cluster_with_orders();
    let holder = cluster.primary();
    cluster.kill(holder);
    let killed_at = cluster.now;
    cluster.start(holder);
    cluster.run_until_acting();
    assert_eq!(cluster.primary(), holder);
    run(&mut cluster, &mut sequence, Duration::from_secs(2));
    let new_orders = cluster.orders.iter().filter(|(at, ..)| *at > killed_at);
    let first = new_orders.map(|(at, ..)| *at).next().expect("an order");
    assert!(first < killed_at + Duration::from_millis(1500), "{:?} after the kill", first - killed_at);
}

#[rstest]
fn successor_of_a_wiped_primary_waits_for_the_expiry() {
    let (mut cluster, mut sequence) = cluster_with_orders();
    let former = cluster.primary();
    (0..3).for_each(|node| cluster.kill(node));
    let killed_at = cluster.now;
    cluster.wipe(former);
    (0..3).for_each(|node| cluster.start(node));
    cluster.run_until_acting();
    let took = cluster.now - killed_at;
    assert!(took < Duration::from_millis(700), "no lease has to be waited for, but it took {took:?}");
    assert_ne!(cluster.primary(), former);
    run(&mut cluster, &mut sequence, Duration::from_secs(12));
    let new_orders = cluster.orders.iter().filter(|(at, ..)| *at > killed_at);
    let first = new_orders.map(|(at, ..)| *at).next().expect("the new holder orders");
    assert!(first >= killed_at + Duration::from_millis(3000), "{:?} after the kill", first - killed_at);
}

#[rstest]
#[case(LoadMode::Wait, "wait")]
#[case(LoadMode::Retain, "retain")]
#[case(LoadMode::Truncate, "truncate")]
fn body_of_a_load_order(#[case] mode: LoadMode, #[case] name: &str) {
    let order = LoadOrder {
        instance: "i-1".into(),
        address: "10.9.0.1:8080".into(),
        model: "m".into(),
        generation: 2,
        mode,
    };
    let mut body = load_order::encode_body(&order, "node-7", 41);
    let value = simd_json::to_owned_value(&mut body).expect("JSON");
    let expected = simd_json::json!({
        "op": "generation", "model": "m", "generation": 2, "mode": name, "holder": "node-7", "fence_token": 41
    });
    assert_eq!(value, expected);
}

#[rstest]
fn a_transcriber_that_has_seen_a_higher_token_gets_no_further_order_with_this_one() {
    let (mut cluster, mut sequence) = cluster_with_orders();
    let primary = cluster.primary();
    let (_, _, order, _) = cluster.orders.pop().expect("an order");
    cluster.orders.clear();
    let fenced = order.instance.clone();
    cluster.answer_order(primary, order, OrderOutcome::Fenced);
    for _ in 0..60 {
        run(&mut cluster, &mut sequence, Duration::from_millis(300));
        if cluster.report_requests.pop().is_some() {
            let models = vec![("m".into(), 1)];
            cluster.report(primary, &fenced, TranscriberReport { is_loading: false, models, running: 0 });
        }
    }
    let again = cluster.orders.iter().filter(|(_, _, order, _)| order.instance == fenced).count();
    assert_eq!(again, 0);
}
