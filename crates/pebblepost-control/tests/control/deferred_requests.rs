//! Links and requests that arrive while no primary is known. A process defers them until it knows one or a time limit
//! has passed.

use crate::support::cluster::Cluster;
use crate::support::documents::registration;
use pebblepost_control::api::HttpRequest;
use pebblepost_messages::control::{FromControl, SubscriberRole, ToControl};
use pebblepost_messages::{DiskId, Member};
use rstest::rstest;
use std::time::Duration;

/// Limit on the time from the election of a primary until deferred links and requests are answered.
const MAX_ANSWER_DELAY: Duration = Duration::from_millis(20);

/// Connects an agent to a node and subscribes it.
fn subscribe(cluster: &mut Cluster, node: usize) -> usize {
    let client = cluster.connect(node);
    let message = ToControl::Subscribe {
        node: format!("edge-{client}"),
        zone: "zone-0".into(),
        role: SubscriberRole::Agent,
        generation: 0,
    };
    cluster.send(client, message);
    client
}

/// Connects a storage node, which subscribes and introduces itself.
fn connect_store(cluster: &mut Cluster, node: usize) -> usize {
    let client = subscribe(cluster, node);
    let member = Member { disk: DiskId(71), node: "storage-1".into(), ..Member::default() };
    cluster.send(client, ToControl::StoreHello { member, bootstrap: true });
    client
}

/// Returns a cluster 200 ms before its first election ends. The time that remains is below the limit for deferred
/// links.
fn cluster_before_election() -> Cluster {
    let elected_at = Cluster::with_primary().now;
    let mut cluster = Cluster::bootstrapping();
    cluster.run(elected_at - Duration::from_millis(200));
    assert!(cluster.acting_nodes().is_empty());
    cluster
}

fn registration_request() -> HttpRequest {
    let body = registration("10.9.0.1:8080", "ready", 1);
    HttpRequest { method: "PUT".into(), path: "/instances/i-1".into(), if_match: None, body }
}

#[rstest]
fn deferred_link_is_served_by_the_primary_and_redirected_by_standbys() {
    let mut cluster = cluster_before_election();
    let clients: Vec<usize> = (0..3).map(|node| subscribe(&mut cluster, node)).collect();
    cluster.run_until_primary_acts();
    cluster.run(MAX_ANSWER_DELAY);
    let primary = cluster.primary();
    let address = cluster.node(primary).record().primary_member().expect("a primary").address.clone();
    for (node, client) in clients.into_iter().enumerate() {
        let received = cluster.received(client);
        let first = received.first().expect("a response as soon as a primary acts");
        match first {
            FromControl::Redirect { primary: Some(named), .. } => {
                assert!(node != primary && *named == address, "{received:?}");
            }
            FromControl::Feed(_) | FromControl::Members(_) => assert_eq!(node, primary, "{received:?}"),
            other => panic!("{other:?}"),
        }
    }
}

#[rstest]
fn deferred_messages_are_processed_in_order() {
    let mut cluster = cluster_before_election();
    let clients: Vec<usize> = (0..3).map(|node| connect_store(&mut cluster, node)).collect();
    cluster.run_until_primary_acts();
    cluster.run(Duration::from_secs(2));
    let primary = cluster.primary();
    let received = cluster.received(clients[primary]);
    assert!(received.iter().any(|message| matches!(message, FromControl::Feed(_))), "{received:?}");
    assert!(cluster.node(primary).state().stores().contains_key(&DiskId(71)));
}

#[rstest]
fn deferred_request_is_served_by_the_primary_and_redirected_by_standbys() {
    let mut cluster = cluster_before_election();
    let ids: Vec<u64> = (0..3).map(|node| cluster.send_request(node, registration_request())).collect();
    assert!(ids.iter().all(|id| cluster.response(*id).is_none()), "no process knows a primary yet");
    cluster.run_until_primary_acts();
    cluster.run(MAX_ANSWER_DELAY);
    let primary = cluster.primary();
    for (node, id) in ids.into_iter().enumerate() {
        let status = cluster.response(id).map(|response| response.status);
        assert_eq!(status, Some(if node == primary { 200 } else { 307 }));
    }
}

#[rstest]
fn isolated_process_answers_deferred_links_and_requests_after_a_time_limit() {
    let mut cluster = Cluster::with_primary();
    cluster.run(Duration::from_secs(1));
    let standby = (0..3).find(|node| *node != cluster.primary()).expect("a standby");
    cluster.isolate(standby);
    cluster.run(Duration::from_secs(2));
    let client = subscribe(&mut cluster, standby);
    let id = cluster.send_request(standby, registration_request());
    cluster.run(Duration::from_millis(300));
    assert_eq!(
        cluster.received(client),
        [],
        "a deferred link gets no message, which the client could take for one of a primary"
    );
    cluster.run(Duration::from_millis(300));
    let received = cluster.received(client);
    assert!(matches!(received[..], [FromControl::Redirect { primary: None, .. }]), "{received:?}");
    assert_eq!(
        cluster.response(id),
        None,
        "requests are deferred for longer than links: a primary may still take over in time for the caller"
    );
    cluster.run(Duration::from_millis(300));
    assert_eq!(cluster.response(id).map(|response| response.status), Some(503));
}
