//! Load orders: which node sends them, when, and with which fencing token. A new holder of the order lease waits until
//! the former lease has expired, so that orders of two holders never overlap.

use crate::support::cluster::{Cluster, SentOrder};
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

/// Runs the cluster for some time, while a transcriber with version 1 loaded sends heartbeats.
fn run_with_heartbeats(cluster: &mut Cluster, sequence: &mut u64, time: Duration) {
    let until = cluster.now + time;
    while cluster.now < until {
        *sequence += 1;
        if !cluster.acting_nodes().is_empty() {
            put(cluster, "/instances/i-1", registration("10.9.0.1:8080", "ready", *sequence));
        }
        cluster.run(Duration::from_millis(300));
    }
}

/// Returns a cluster whose primary has just sent load orders, and the sequence number of the last heartbeat.
fn cluster_with_orders() -> (Cluster, u64) {
    let mut cluster = Cluster::with_primary();
    let mut sequence = 0;
    run_with_heartbeats(&mut cluster, &mut sequence, Duration::from_secs(6));
    name_version(&mut cluster, 2);
    run_with_heartbeats(&mut cluster, &mut sequence, Duration::from_secs(1));
    assert!(!cluster.orders.is_empty());
    (cluster, sequence)
}

#[rstest]
fn primary_sends_a_load_order_for_a_named_version() {
    let mut cluster = Cluster::with_primary();
    let mut sequence = 0;
    run_with_heartbeats(&mut cluster, &mut sequence, Duration::from_millis(600));
    name_version(&mut cluster, 2);
    run_with_heartbeats(&mut cluster, &mut sequence, Duration::from_secs(6));
    let SentOrder { node, order, body, .. } = cluster.orders.first().cloned().expect("an order");
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
fn new_order_lease_holder_waits_until_the_former_lease_expires() {
    let (mut cluster, mut sequence) = cluster_with_orders();
    let former = cluster.primary();
    cluster.kill(former);
    let killed_at = cluster.now;
    cluster.run_until_primary_acts();
    run_with_heartbeats(&mut cluster, &mut sequence, Duration::from_secs(12));
    let (former_orders, new_orders): (Vec<_>, Vec<_>) =
        cluster.orders.iter().partition(|sent| sent.node == former);
    assert!(!former_orders.is_empty(), "the former holder sent orders");
    let SentOrder { sent_at, body, .. } = new_orders.first().expect("an order of the new holder");
    assert!(
        *sent_at >= killed_at + Duration::from_millis(3000),
        "sent {:?} after the kill",
        *sent_at - killed_at
    );
    let epoch = cluster.node(cluster.primary()).record().epoch;
    assert!(epoch > 1);
    let fencing_token: u64 = body
        .split("\"fence_token\":")
        .nth(1)
        .and_then(|rest| rest.split(|character: char| !character.is_ascii_digit()).next())
        .and_then(|number| number.parse().ok())
        .expect("a fencing token");
    assert!(fencing_token > 1);
}

#[rstest]
fn new_order_lease_holder_waits_for_the_expiry_again_after_its_restart() {
    let (mut cluster, mut sequence) = cluster_with_orders();
    let former = cluster.primary();
    cluster.kill(former);
    let killed_at = cluster.now;
    cluster.run_until_primary_acts();
    cluster.run(Duration::from_millis(300));
    let new_holder = cluster.primary();
    cluster.kill(new_holder);
    cluster.start(new_holder);
    cluster.run_until_primary_acts();
    assert_eq!(cluster.primary(), new_holder, "the restarted primary acts again");
    assert!(
        cluster.now < killed_at + Duration::from_millis(2500),
        "the former order lease has not expired yet"
    );
    run_with_heartbeats(&mut cluster, &mut sequence, Duration::from_secs(12));
    let new_orders = cluster.orders.iter().filter(|sent| sent.sent_at > killed_at);
    let first = new_orders.map(|sent| sent.sent_at).next().expect("an order after the expiry");
    assert!(first >= killed_at + Duration::from_millis(3000), "sent {:?} after the kill", first - killed_at);
}

#[rstest]
fn restarted_order_lease_holder_sends_orders_at_once() {
    let (mut cluster, mut sequence) = cluster_with_orders();
    let holder = cluster.primary();
    cluster.kill(holder);
    let killed_at = cluster.now;
    cluster.start(holder);
    cluster.run_until_primary_acts();
    assert_eq!(cluster.primary(), holder);
    run_with_heartbeats(&mut cluster, &mut sequence, Duration::from_secs(2));
    let new_orders = cluster.orders.iter().filter(|sent| sent.sent_at > killed_at);
    let first = new_orders.map(|sent| sent.sent_at).next().expect("an order");
    assert!(first < killed_at + Duration::from_millis(1500), "sent {:?} after the kill", first - killed_at);
}

#[rstest]
fn successor_of_a_wiped_primary_waits_until_the_former_order_lease_expires() {
    let (mut cluster, mut sequence) = cluster_with_orders();
    let former = cluster.primary();
    (0..3).for_each(|node| cluster.kill(node));
    let killed_at = cluster.now;
    cluster.wipe(former);
    (0..3).for_each(|node| cluster.start(node));
    cluster.run_until_primary_acts();
    let took = cluster.now - killed_at;
    assert!(
        took < Duration::from_millis(700),
        "all processes restarted, so no primary lease has to expire, but the election took {took:?}"
    );
    assert_ne!(cluster.primary(), former);
    run_with_heartbeats(&mut cluster, &mut sequence, Duration::from_secs(12));
    let new_orders = cluster.orders.iter().filter(|sent| sent.sent_at > killed_at);
    let first = new_orders.map(|sent| sent.sent_at).next().expect("an order of the new holder");
    assert!(first >= killed_at + Duration::from_millis(3000), "sent {:?} after the kill", first - killed_at);
}

#[rstest]
#[case(LoadMode::Wait, "wait")]
#[case(LoadMode::Retain, "retain")]
#[case(LoadMode::Truncate, "truncate")]
fn load_order_body_has_the_expected_fields(#[case] mode: LoadMode, #[case] name: &str) {
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
fn transcriber_that_has_seen_a_higher_fencing_token_gets_no_further_orders() {
    let (mut cluster, mut sequence) = cluster_with_orders();
    let primary = cluster.primary();
    let SentOrder { order, .. } = cluster.orders.pop().expect("an order");
    cluster.orders.clear();
    let fenced = order.instance.clone();
    cluster.answer_order(primary, order, OrderOutcome::Fenced);
    for _ in 0..60 {
        run_with_heartbeats(&mut cluster, &mut sequence, Duration::from_millis(300));
        if cluster.report_requests.pop().is_some() {
            let models = vec![("m".into(), 1)];
            cluster.deliver_load_report(
                primary,
                &fenced,
                TranscriberReport { is_loading: false, models, running: 0 },
            );
        }
    }
    let orders_to_fenced = cluster.orders.iter().filter(|sent| sent.order.instance == fenced).count();
    assert_eq!(orders_to_fenced, 0);
}
