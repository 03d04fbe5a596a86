//! Failover after failures of control processes, their disks and their links: acknowledged changes survive, and a
//! primary acts again in time.

use crate::support::cluster::Cluster;
use crate::support::documents::{configuration, patch, registration};
use crate::support::{http_request, status};
use pebblepost_control::api::HttpResponse;
use pebblepost_control::node::Input;
use pebblepost_messages::control::ToControl;
use pebblepost_messages::{DiskId, Member};
use rstest::rstest;
use std::time::Duration;

/// Replaces the configuration on a base version at the primary.
fn put_configuration(cluster: &mut Cluster, base: u64, generation: u64) -> Option<HttpResponse> {
    let primary = cluster.primary();
    cluster.request(primary, http_request("PUT", "/config", Some(base), configuration(generation, 1000)))
}

/// Reads the configuration from the primary.
fn read_configuration(cluster: &mut Cluster) -> Vec<u8> {
    let primary = cluster.primary();
    let response =
        cluster.request(primary, http_request("GET", "/config", None, Vec::new())).expect("a response");
    assert_eq!(response.status, 200);
    response.body
}

fn run_until_primary_acts_within(cluster: &mut Cluster, limit: Duration) {
    let until = cluster.now + limit;
    while cluster.acting_nodes().is_empty() {
        assert!(cluster.now < until, "no process acts as primary within {limit:?}");
        cluster.run(Duration::from_millis(10));
    }
}

#[rstest]
fn elects_a_primary_soon_after_start() {
    let cluster = Cluster::with_primary();
    assert!(cluster.now < Duration::from_secs(4), "the election took {:?}", cluster.now);
}

#[rstest]
fn acknowledged_changes_survive_a_crash_of_the_primary() {
    let mut cluster = Cluster::with_primary();
    assert_eq!(status(put_configuration(&mut cluster, 0, 3)), 200);
    let former = cluster.primary();
    cluster.kill(former);
    run_until_primary_acts_within(&mut cluster, Duration::from_secs(4));
    assert_ne!(cluster.primary(), former);
    assert_eq!(status(put_configuration(&mut cluster, 0, 3)), 200, "the repeat of an acknowledged change");
    assert_eq!(status(put_configuration(&mut cluster, 0, 4)), 412);
    assert_eq!(read_configuration(&mut cluster), configuration(3, 1000));
    assert_eq!(status(put_configuration(&mut cluster, 3, 5)), 200);
    cluster.start(former);
    cluster.run(Duration::from_secs(3));
    let generation = cluster.node(former).state().generation();
    assert_eq!(generation, 5, "the restarted process catches up");
}

#[rstest]
fn former_primary_resumes_without_waiting_for_its_own_lease() {
    let mut cluster = Cluster::with_primary();
    assert_eq!(status(put_configuration(&mut cluster, 0, 3)), 200);
    let former = cluster.primary();
    (0..3).for_each(|node| cluster.kill(node));
    let killed_at = cluster.now;
    (0..3).for_each(|node| cluster.start(node));
    cluster.run_until_primary_acts();
    let took = cluster.now - killed_at;
    assert!(took < Duration::from_millis(700), "the restart took {took:?}");
    assert_eq!(cluster.primary(), former);
    assert_eq!(read_configuration(&mut cluster), configuration(3, 1000));
}

#[rstest]
fn change_in_flight_when_the_primary_crashes_is_decided_once() {
    let mut cluster = Cluster::with_primary();
    assert_eq!(status(put_configuration(&mut cluster, 0, 3)), 200);
    let former = cluster.primary();
    let change = http_request("PATCH", "/config", Some(3), patch(7, 900));
    cluster.send_request(former, change.clone());
    cluster.run(Duration::from_millis(3));
    cluster.kill(former);
    run_until_primary_acts_within(&mut cluster, Duration::from_secs(4));
    let primary = cluster.primary();
    assert_eq!(status(cluster.request(primary, change)), 200);
    let other = http_request("PATCH", "/config", Some(3), patch(7, 901));
    assert_eq!(status(cluster.request(primary, other)), 412);
    assert_eq!(cluster.node(primary).state().generation(), 7);
}

#[rstest]
fn primary_hands_over_at_once_on_termination() {
    let mut cluster = Cluster::with_primary();
    assert_eq!(status(put_configuration(&mut cluster, 0, 3)), 200);
    let former = cluster.primary();
    cluster.input(former, Input::Terminate);
    let until = cluster.now + Duration::from_millis(600);
    while cluster.node(former).is_primary() {
        assert!(cluster.now < until, "no hand-over within 600 ms");
        cluster.run(Duration::from_millis(5));
    }
    cluster.run(Duration::from_millis(20));
    cluster.kill(former);
    run_until_primary_acts_within(&mut cluster, Duration::from_millis(600));
    assert_eq!(read_configuration(&mut cluster), configuration(3, 1000));
}

#[rstest]
#[case::all_disks_remain(None)]
#[case::first_disk_is_lost(Some(0))]
#[case::second_disk_is_lost(Some(1))]
#[case::third_disk_is_lost(Some(2))]
fn group_recovers_after_all_processes_were_killed(#[case] wiped: Option<usize>) {
    let mut cluster = Cluster::with_primary();
    assert_eq!(status(put_configuration(&mut cluster, 0, 3)), 200);
    cluster.run(Duration::from_secs(3));
    for node in 0..3 {
        cluster.kill(node);
    }
    if let Some(node) = wiped {
        cluster.wipe(node);
    }
    cluster.run(Duration::from_millis(500));
    for node in 0..3 {
        cluster.start(node);
    }
    // The limit covers the grace period and the election. The new epoch contains live replicas only.
    run_until_primary_acts_within(&mut cluster, Duration::from_millis(1400));
    assert_eq!(read_configuration(&mut cluster), configuration(3, 1000));
    assert_eq!(status(put_configuration(&mut cluster, 3, 4)), 200);
}

#[rstest]
fn partitioned_primary_neither_acts_nor_responds() {
    let mut cluster = Cluster::with_primary();
    assert_eq!(status(put_configuration(&mut cluster, 0, 3)), 200);
    let former = cluster.primary();
    cluster.set_partitioned(former, true);
    cluster.run(Duration::from_millis(750));
    let response = cluster.request(former, http_request("GET", "/config", None, Vec::new()));
    assert_ne!(status(response), 200);
    run_until_primary_acts_within(&mut cluster, Duration::from_secs(4));
    assert_eq!(status(put_configuration(&mut cluster, 3, 8)), 200);
    cluster.set_partitioned(former, false);
    cluster.run(Duration::from_secs(3));
    assert_eq!(cluster.node(former).state().generation(), 8);
}

#[rstest]
fn machines_are_replaced_one_at_a_time() {
    let mut cluster = Cluster::with_primary();
    assert_eq!(status(put_configuration(&mut cluster, 0, 3)), 200);
    cluster.run(Duration::from_secs(4));
    for (round, lost) in [0usize, 1, 2].into_iter().enumerate() {
        cluster.kill(lost);
        cluster.run(Duration::from_secs(1));
        let seeds: Vec<usize> = (0..cluster.machine_count()).filter(|node| cluster.is_up(*node)).collect();
        let added = cluster.add_machine(&seeds);
        cluster.run(Duration::from_secs(10));
        run_until_primary_acts_within(&mut cluster, Duration::from_secs(4));
        let primary = cluster.primary();
        let record = cluster.node(primary).record().clone();
        let address = format!("10.0.0.{}:7300", added + 1);
        let contains =
            |members: &[pebblepost_messages::Member]| members.iter().any(|member| member.address == address);
        assert!(contains(&record.witnesses), "round {round}: {record:?}");
        assert!(contains(&record.in_sync), "round {round}: {record:?}");
        assert!(record.former_witnesses.is_empty());
        assert_eq!(record.witnesses.len(), 3, "round {round}");
        let base = 3 + round as u64;
        assert_eq!(status(put_configuration(&mut cluster, base, base + 1)), 200, "round {round}");
    }
    assert_eq!(read_configuration(&mut cluster), configuration(6, 1000));
}

#[rstest]
fn wiped_machine_rejoins_with_its_new_disk() {
    let mut cluster = Cluster::with_primary();
    assert_eq!(status(put_configuration(&mut cluster, 0, 3)), 200);
    cluster.run(Duration::from_secs(4));
    let wiped = (0..3).find(|node| *node != cluster.primary()).expect("a standby");
    cluster.wipe(wiped);
    cluster.start(wiped);
    cluster.run(Duration::from_secs(8));
    let record = cluster.node(cluster.primary()).record().clone();
    let address = format!("10.0.0.{}:7300", wiped + 1);
    let disks: Vec<_> = record
        .witnesses
        .iter()
        .filter(|member| member.address == address)
        .map(|member| member.disk)
        .collect();
    assert_eq!(disks.len(), 1, "{record:?}");
    assert!(record.in_sync.iter().any(|member| member.disk == disks[0]), "{record:?}");
    assert_eq!(cluster.node(wiped).state().generation(), 3);
}

#[rstest]
fn primary_that_lost_its_disk_is_replaced_as_witness_at_once() {
    let mut cluster = Cluster::with_primary();
    assert_eq!(status(put_configuration(&mut cluster, 0, 3)), 200);
    cluster.run(Duration::from_secs(4));
    let wiped = cluster.primary();
    let lost = cluster.node(wiped).record().primary;
    cluster.wipe(wiped);
    cluster.run(Duration::from_millis(600));
    cluster.start(wiped);
    let restarted_at = cluster.now;
    run_until_primary_acts_within(&mut cluster, Duration::from_secs(1));
    let is_repaired = |cluster: &Cluster| {
        cluster.acting_nodes().first().is_some_and(|primary| {
            let record = cluster.node(*primary).record();
            !record.is_witness(lost) && record.witnesses.len() == 3 && record.in_sync.len() == 3
        })
    };
    while !is_repaired(&cluster) {
        cluster.run(Duration::from_millis(10));
        assert!(
            cluster.now - restarted_at < Duration::from_millis(1_500),
            "the witness was not replaced within 1.5 s"
        );
    }
}

#[rstest]
fn registrations_survive_a_crash_of_the_primary() {
    let mut cluster = Cluster::with_primary();
    cluster.run(Duration::from_secs(1));
    let former = cluster.primary();
    let ready = http_request("PUT", "/instances/i-1", None, registration("10.9.0.1:8080", "ready", 1));
    assert_eq!(status(cluster.request(former, ready)), 200);
    let deregistered = http_request("PUT", "/instances/i-2", None, registration("10.9.0.2:8080", "ready", 1));
    assert_eq!(status(cluster.request(former, deregistered)), 200);
    assert_eq!(
        status(cluster.request(former, http_request("DELETE", "/instances/i-2", None, Vec::new()))),
        200
    );
    cluster.run(Duration::from_millis(100));
    cluster.kill(former);
    run_until_primary_acts_within(&mut cluster, Duration::from_secs(4));
    let primary = cluster.primary();
    let late = http_request("PUT", "/instances/i-2", None, registration("10.9.0.2:8080", "ready", 2));
    assert_eq!(status(cluster.request(primary, late)), 200);
    let live: Vec<&str> = cluster.node(primary).registry().live().map(|known| known.id.as_str()).collect();
    assert_eq!(live, ["i-1"], "the deregistered instance stays terminated, the live one is kept");
}

#[rstest]
fn only_the_isolated_process_knows_no_primary() {
    let mut cluster = Cluster::with_primary();
    cluster.run(Duration::from_secs(1));
    let former = cluster.primary();
    assert!((0..3).all(|node| cluster.node(node).is_primary_known(cluster.now)));
    cluster.isolate(former);
    cluster.run(Duration::from_secs(4));
    let aware: Vec<usize> = (0..3).filter(|node| cluster.node(*node).is_primary_known(cluster.now)).collect();
    assert_eq!(aware, (0..3).filter(|node| *node != former).collect::<Vec<_>>());
}

#[rstest]
fn peer_is_dialed_at_once_after_its_hello_unless_connected() {
    let mut cluster = Cluster::with_primary();
    cluster.run(Duration::from_secs(1));
    cluster.immediate_dials.clear();
    let introduce = |cluster: &mut Cluster, address: &str| {
        let client = cluster.connect(0);
        let member = Member { disk: DiskId(77), address: address.to_owned(), ..Member::default() };
        cluster.send(client, ToControl::PeerHello { member });
        cluster.run(Duration::from_millis(20));
    };
    introduce(&mut cluster, "10.0.0.9:7200");
    assert_eq!(cluster.immediate_dials, [(0, "10.0.0.9:7200".to_owned())]);
    let known = cluster.node(1).record().in_sync.iter().find(|member| member.node == "core-1").cloned();
    introduce(&mut cluster, &known.expect("a replica").address);
    assert_eq!(cluster.immediate_dials.len(), 1, "a connected peer is not dialed");
}

#[rstest]
fn new_primary_answers_a_retirement_503_until_its_barrier_is_committed() {
    let mut cluster = Cluster::with_primary();
    cluster.run(Duration::from_secs(2));
    let former = cluster.primary();
    cluster.kill(former);
    while cluster.acting_nodes().is_empty() {
        cluster.run(Duration::from_millis(1));
    }
    let primary = cluster.primary();
    let retire = || http_request("POST", "/retire/storage-9", None, b"{}".to_vec());
    let first = cluster.send_request(primary, retire());
    let response = cluster.response(first).expect("a response at once").clone();
    assert_eq!(response.status, 503, "an entry of the former primary may have added the node");
    cluster.run(Duration::from_millis(50));
    let second = cluster.request(primary, retire()).expect("a response");
    assert_eq!(second.status, 404);
}
