//! The status for operators: how many further losses are tolerated, and what the group waits for.

use crate::support::cluster::Cluster;
use pebblepost_control::node::ControlNode;
use rstest::rstest;
use simd_json::OwnedValue;
use simd_json::prelude::{ValueAsScalar, ValueObjectAccess, ValueObjectAccessAsScalar};
use std::time::Duration;

/// Returns the fields `losses_left` and `waits_for` of the status of a node.
fn redundancy(cluster: &Cluster, node: &ControlNode) -> (u64, String) {
    let mut status = node.status(cluster.now).into_bytes();
    let status: OwnedValue = simd_json::to_owned_value(&mut status).expect("JSON");
    let losses_left = status.get("losses_left").and_then(|losses| losses.as_u64()).expect("a number");
    (losses_left, status.get_str("waits_for").expect("a text").to_owned())
}

#[rstest]
fn status_reports_losses_left_and_waits_for() {
    let mut cluster = Cluster::with_primary();
    cluster.run(Duration::from_secs(3));
    let primary = cluster.primary();
    assert_eq!(redundancy(&cluster, cluster.node(primary)), (2, "nothing".into()));
    let standbys: Vec<usize> = (0..3).filter(|node| *node != primary).collect();
    cluster.kill(standbys[0]);
    cluster.run(Duration::from_secs(2));
    assert_eq!(redundancy(&cluster, cluster.node(primary)), (1, "nothing".into()));
    cluster.start(standbys[0]);
    cluster.run(Duration::from_secs(3));
    assert_eq!(redundancy(&cluster, cluster.node(primary)).0, 2);
}
