//! Graceful shutdown of transcribers: every later primary knows an acknowledged shutdown. Otherwise a delayed heartbeat
//! would bring a terminated transcriber back.

use crate::support::cluster::Cluster;
use crate::support::documents::registration;
use crate::support::{http_request, status};
use pebblepost_control::node::ControlNode;
use pebblepost_messages::feed::InstanceState;
use rstest::rstest;
use std::time::Duration;

/// Sends a heartbeat of a transcriber and returns the status of the response.
fn register(cluster: &mut Cluster, node: usize, instance: u8, state: &str, sequence: u64) -> u16 {
    let body = registration(&format!("10.9.0.{instance}:8080"), state, sequence);
    status(cluster.request(node, http_request("PUT", &format!("/instances/i-{instance}"), None, body)))
}

/// Deregisters a transcriber and returns the status of the response.
fn deregister(cluster: &mut Cluster, node: usize, instance: u8) -> u16 {
    status(
        cluster.request(node, http_request("DELETE", &format!("/instances/i-{instance}"), None, Vec::new())),
    )
}

/// Returns the identities and states of the live instances that a process knows.
fn live_instances(core: &ControlNode) -> Vec<(String, InstanceState)> {
    core.registry().live().map(|known| (known.id.clone(), known.state)).collect()
}

#[rstest]
fn shutdowns_survive_a_restart_of_all_control_processes() {
    let mut cluster = Cluster::with_primary();
    cluster.run(Duration::from_secs(1));
    let former = cluster.primary();
    for instance in 1..=3 {
        assert_eq!(register(&mut cluster, former, instance, "ready", 1), 200);
    }
    assert_eq!(deregister(&mut cluster, former, 1), 200);
    assert_eq!(register(&mut cluster, former, 2, "draining", 2), 200);
    (0..3).for_each(|node| cluster.kill(node));
    (0..3).for_each(|node| cluster.start(node));
    cluster.run_until_primary_acts();
    let primary = cluster.primary();
    // Heartbeats from before the shutdowns arrive late.
    for instance in 1..=3 {
        assert_eq!(register(&mut cluster, primary, instance, "ready", 1), 200);
    }
    let expected = [("i-2".to_owned(), InstanceState::Draining), ("i-3".to_owned(), InstanceState::Ready)];
    assert_eq!(live_instances(cluster.node(primary)), expected);
}

#[rstest]
fn isolated_primary_acknowledges_no_shutdown() {
    let mut cluster = Cluster::with_primary();
    cluster.run(Duration::from_secs(1));
    let former = cluster.primary();
    assert_eq!(register(&mut cluster, former, 1, "ready", 1), 200);
    cluster.isolate(former);
    assert!(cluster.node(former).is_acting(cluster.now), "its lease has not ended yet");
    let deregistration =
        cluster.send_request(former, http_request("DELETE", "/instances/i-1", None, Vec::new()));
    cluster.run(Duration::from_secs(5));
    assert_ne!(status(cluster.response(deregistration).cloned()), 200);
}

#[rstest]
fn shutdown_is_acknowledged_again_by_the_next_primary() {
    let mut cluster = Cluster::with_primary();
    cluster.run(Duration::from_secs(1));
    let former = cluster.primary();
    assert_eq!(register(&mut cluster, former, 1, "ready", 1), 200);
    assert_eq!(register(&mut cluster, former, 1, "draining", 2), 200);
    cluster.kill(former);
    cluster.run_until_primary_acts();
    let primary = cluster.primary();
    assert_eq!(register(&mut cluster, primary, 1, "draining", 3), 200);
    assert_eq!(live_instances(cluster.node(primary)), [("i-1".to_owned(), InstanceState::Draining)]);
    assert_eq!(deregister(&mut cluster, primary, 1), 200);
    assert!(live_instances(cluster.node(primary)).is_empty());
}
