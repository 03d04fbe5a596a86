//! Transcribers that leave: what was acknowledged to them is known to every later primary.

mod support;

use pebblepost_control::node::ControlNode;
use pebblepost_messages::feed::InstanceState;
use rstest::rstest;
use std::time::Duration;
use support::cluster::Cluster;
use support::documents::announcement;
use support::{call, status};

fn announce(cluster: &mut Cluster, node: usize, instance: u8, state: &str, sequence: u64) -> u16 {
    let body = announcement(&format!("10.9.0.{instance}:8080"), state, 1, sequence);
    status(cluster.call(node, call("PUT", &format!("/instances/i-{instance}"), None, body)))
}

fn remove(cluster: &mut Cluster, node: usize, instance: u8) -> u16 {
    status(cluster.call(node, call("DELETE", &format!("/instances/i-{instance}"), None, Vec::new())))
}

/// Identities and states of the transcribers that a process takes for alive.
fn alive(core: &ControlNode) -> Vec<(String, InstanceState)> {
    core.registry().live().map(|known| (known.id.clone(), known.state)).collect()
}

#[rstest]
fn what_leaves_stays_known_when_all_control_processes_are_killed() {
    let mut cluster = Cluster::acting();
    cluster.run(Duration::from_secs(1));
    let former = cluster.primary();
    for instance in 1..=3 {
        assert_eq!(announce(&mut cluster, former, instance, "ready", 1), 200);
    }
    assert_eq!(remove(&mut cluster, former, 1), 200);
    assert_eq!(announce(&mut cluster, former, 2, "draining", 2), 200);
    (0..3).for_each(|node| cluster.kill(node));
    (0..3).for_each(|node| cluster.start(node));
    cluster.run_until_acting();
    let primary = cluster.primary();
    // Heartbeats that were on their way for seconds.
    for instance in 1..=3 {
        assert_eq!(announce(&mut cluster, primary, instance, "ready", 1), 200);
    }
    let expected = [("i-2".to_owned(), InstanceState::Draining), ("i-3".to_owned(), InstanceState::Ready)];
    assert_eq!(alive(cluster.core(primary)), expected);
}

#[rstest]
fn a_primary_that_is_cut_off_acknowledges_no_departure() {
    let mut cluster = Cluster::acting();
    cluster.run(Duration::from_secs(1));
    let former = cluster.primary();
    assert_eq!(announce(&mut cluster, former, 1, "ready", 1), 200);
    cluster.isolate(former);
    assert!(cluster.core(former).is_acting(cluster.now), "its lease runs on for a while");
    let leaving = cluster.send_call(former, call("DELETE", "/instances/i-1", None, Vec::new()));
    cluster.run(Duration::from_secs(5));
    assert_ne!(status(cluster.answer(leaving).cloned()), 200);
}

#[rstest]
fn a_departure_is_acknowledged_again_at_the_next_primary() {
    let mut cluster = Cluster::acting();
    cluster.run(Duration::from_secs(1));
    let former = cluster.primary();
    assert_eq!(announce(&mut cluster, former, 1, "ready", 1), 200);
    assert_eq!(announce(&mut cluster, former, 1, "draining", 2), 200);
    cluster.kill(former);
    cluster.run_until_acting();
    let primary = cluster.primary();
    assert_eq!(announce(&mut cluster, primary, 1, "draining", 3), 200);
    assert_eq!(alive(cluster.core(primary)), [("i-1".to_owned(), InstanceState::Draining)]);
    assert_eq!(remove(&mut cluster, primary, 1), 200);
    assert!(alive(cluster.core(primary)).is_empty());
}
