//! Links and requests that arrive before there is a primary.

use crate::support::cluster::Cluster;
use crate::support::documents::registration;
use pebblepost_control::api::HttpRequest;
use pebblepost_messages::control::{FromControl, SubscriberRole, ToControl};
use pebblepost_messages::{DiskId, Member};
use rstest::rstest;
use std::time::Duration;

/// Time within which a deferred link or request is served once a primary acts.
const SOON: Duration = Duration::from_millis(20);

fn subscribe(cluster: &mut Cluster, node: usize) -> usize {
    let program = cluster.connect(node);
    let message = ToControl::Subscribe {
        node: format!("edge-{program}"),
        zone: "zone-0".into(),
        role: SubscriberRole::Agent,
        generation: 0,
    };
    cluster.send(program, message);
    program
}

/// A storage node that subscribes and introduces itself.
fn connect_store(cluster: &mut Cluster, node: usize) -> usize {
    let program = subscribe(cluster, node);
    let member = Member { disk: DiskId(71), node: "storage-1".into(), ..Member::default() };
    cluster.send(program, ToControl::StoreHello { member, bootstrap: true });
    program
}

/// Runs until shortly before a primary acts: less than the longest wait of deferred links.
fn about_to_elect() -> Cluster {
    let election_time = Cluster::acting().now;
    let mut cluster = Cluster::bootstrapping();
    cluster.run(election_time - Duration::from_millis(200));
    assert!(cluster.acting_nodes().is_empty());
    cluster
}

fn register() -> HttpRequest {
    let body = registration("10.9.0.1:8080", "ready", 1, 1);
    HttpRequest { method: "PUT".into(), path: "/instances/i-1".into(), if_match: None, body }
}

#[rstest]
fn deferred_link_is_served_by_the_primary_and_redirected_elsewhere() {
    let mut cluster = about_to_elect();
    let programs: Vec<usize> = (0..3).map(|node| subscribe(&mut cluster, node)).collect();
    cluster.run_until_acting();
    cluster.run(SOON);
    let primary = cluster.primary();
    let address = cluster.node(primary).record().primary_member().expect("a primary").address.clone();
    for (node, program) in programs.into_iter().enumerate() {
        let received = cluster.received(program);
        let first = received.first().expect("an response as soon as there is a primary");
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
    let mut cluster = about_to_elect();
    let programs: Vec<usize> = (0..3).map(|node| connect_store(&mut cluster, node)).collect();
    cluster.run_until_acting();
    cluster.run(Duration::from_secs(2));
    let primary = cluster.primary();
    let received = cluster.received(programs[primary]);
    assert!(received.iter().any(|message| matches!(message, FromControl::Feed(_))), "{received:?}");
    assert!(cluster.node(primary).state().stores().contains_key(&DiskId(71)));
}

#[rstest]
fn deferred_request_is_served_by_the_primary_and_redirected_elsewhere() {
    let mut cluster = about_to_elect();
    let ids: Vec<u64> = (0..3).map(|node| cluster.send_request(node, register())).collect();
    assert!(ids.iter().all(|id| cluster.response(*id).is_none()), "nobody knows a primary yet");
    cluster.run_until_acting();
    cluster.run(SOON);
    let primary = cluster.primary();
    for (node, id) in ids.into_iter().enumerate() {
        let status = cluster.response(id).map(|response| response.status);
        assert_eq!(status, Some(if node == primary { 200 } else { 307 }));
    }
}

#[rstest]
fn isolated_process_defers_only_for_a_short_time() {
    let mut cluster = Cluster::acting();
    cluster.run(Duration::from_secs(1));
    let standby = (0..3).find(|node| *node != cluster.primary()).expect("a standby");
    cluster.isolate(standby);
    cluster.run(Duration::from_secs(2));
    let program = subscribe(&mut cluster, standby);
    let id = cluster.send_request(standby, register());
    cluster.run(Duration::from_millis(300));
    assert_eq!(cluster.received(program), [], "nothing may be taken for a primary's word");
    cluster.run(Duration::from_millis(300));
    let received = cluster.received(program);
    assert!(matches!(received[..], [FromControl::Redirect { primary: None, .. }]), "{received:?}");
    assert_eq!(cluster.response(id), None, "a takeover may still come in time for the caller");
    cluster.run(Duration::from_millis(300));
    assert_eq!(cluster.response(id).map(|response| response.status), Some(503));
}
