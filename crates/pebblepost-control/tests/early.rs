//! Links and calls that come before there is a primary.

mod support;

use pebblepost_control::api::HttpRequest;
use pebblepost_messages::control::{FromControl, SubscriberRole, ToControl};
use pebblepost_messages::{DiskId, Member};
use rstest::rstest;
use std::time::Duration;
use support::cluster::Cluster;
use support::documents::announcement;

/// Time within which a held link or call is served once a primary acts.
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

/// A storage machine, which subscribes and says who it is.
fn connect_store(cluster: &mut Cluster, node: usize) -> usize {
    let program = subscribe(cluster, node);
    let member = Member { disk: DiskId(71), node: "storage-1".into(), ..Member::default() };
    cluster.send(program, ToControl::StoreHello { member, bootstrap: true });
    program
}

/// Runs until the primary is about to act: the time that a founding takes, less what early links wait at most.
fn founding() -> Cluster {
    let time_of_founding = Cluster::acting().now;
    let mut cluster = Cluster::founded();
    cluster.run(time_of_founding - Duration::from_millis(200));
    assert!(cluster.acting_nodes().is_empty());
    cluster
}

fn announce() -> HttpRequest {
    let body = announcement("10.9.0.1:8080", "ready", 1, 1);
    HttpRequest { method: "PUT".into(), path: "/instances/i-1".into(), if_match: None, body }
}

#[rstest]
fn a_link_waits_for_the_primary_where_it_is_and_is_sent_there_elsewhere() {
    let mut cluster = founding();
    let programs: Vec<usize> = (0..3).map(|node| subscribe(&mut cluster, node)).collect();
    cluster.run_until_acting();
    cluster.run(SOON);
    let primary = cluster.primary();
    let address = cluster.core(primary).record().primary_member().expect("a primary").address.clone();
    for (node, program) in programs.into_iter().enumerate() {
        let received = cluster.received(program);
        let first = received.first().expect("an answer as soon as there is a primary");
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
fn all_that_a_link_said_counts_once_there_is_a_primary() {
    let mut cluster = founding();
    let programs: Vec<usize> = (0..3).map(|node| connect_store(&mut cluster, node)).collect();
    cluster.run_until_acting();
    cluster.run(Duration::from_secs(2));
    let primary = cluster.primary();
    let received = cluster.received(programs[primary]);
    assert!(received.iter().any(|message| matches!(message, FromControl::Feed(_))), "{received:?}");
    assert!(cluster.core(primary).state().stores().contains_key(&DiskId(71)));
}

#[rstest]
fn a_call_waits_for_the_primary_too() {
    let mut cluster = founding();
    let ids: Vec<u64> = (0..3).map(|node| cluster.send_call(node, announce())).collect();
    assert!(ids.iter().all(|id| cluster.answer(*id).is_none()), "nobody knows a primary yet");
    cluster.run_until_acting();
    cluster.run(SOON);
    let primary = cluster.primary();
    for (node, id) in ids.into_iter().enumerate() {
        let status = cluster.answer(id).map(|answer| answer.status);
        assert_eq!(status, Some(if node == primary { 200 } else { 307 }));
    }
}

#[rstest]
fn at_a_machine_that_is_cut_off_nothing_waits_for_long() {
    let mut cluster = Cluster::acting();
    cluster.run(Duration::from_secs(1));
    let standby = (0..3).find(|node| *node != cluster.primary()).expect("a standby");
    cluster.isolate(standby);
    cluster.run(Duration::from_secs(2));
    let program = subscribe(&mut cluster, standby);
    let id = cluster.send_call(standby, announce());
    cluster.run(Duration::from_millis(300));
    assert_eq!(cluster.received(program), [], "nothing may be taken for a primary's word");
    cluster.run(Duration::from_millis(300));
    let received = cluster.received(program);
    assert!(matches!(received[..], [FromControl::Redirect { primary: None, .. }]), "{received:?}");
    assert_eq!(cluster.answer(id).map(|answer| answer.status), Some(503));
}
