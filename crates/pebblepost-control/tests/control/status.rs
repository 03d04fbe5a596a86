//! The operator's status: how much redundancy is left, and what it waits for.

use crate::support::cluster::Cluster;
use pebblepost_control::node::ControlNode;
use rstest::rstest;
use simd_json::OwnedValue;
use simd_json::prelude::{ValueAsScalar, ValueObjectAccess, ValueObjectAccessAsScalar};
use std::time::Duration;

/// The losses that are left, and what is waited for.
fn redundancy(cluster: &Cluster, node: &ControlNode) -> (u64, String) {
    let mut status = node.status(cluster.now).into_bytes();
    let status: OwnedValue = simd_json::to_owned_value(&mut status).expect("JSON");
    let losses_left = status.get("losses_left").and_then(|losses| losses.as_u64()).expect("a number");
    (losses_left, status.get_str("waits_for").expect("a text").to_owned())
}

#[rstest]
fn status_tells_how_many_losses_are_left_and_what_is_waited_for() {
    let mut cluster = Cluster::acting();
    cluster.run(Duration::from_secs(3));
    let primary = cluster.primary();
    assert_eq!(redundancy(&cluster, cluster.node(primary)), (2, "nothing".into()));
    let others: Vec<usize> = (0..3).filter(|node| *node != primary).collect();
    cluster.kill(others[0]);
    cluster.run(Duration::from_secs(2));
    assert_eq!(redundancy(&cluster, cluster.node(primary)), (1, "nothing".into()));
    cluster.start(others[0]);
    cluster.run(Duration::from_secs(3));
    assert_eq!(redundancy(&cluster, cluster.node(primary)).0, 2);
}
