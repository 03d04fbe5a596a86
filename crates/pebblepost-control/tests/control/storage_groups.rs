//! Store groups of batch jobs: bootstrap, replacement of failed nodes, rebalancing and retirement.

use crate::support::cluster::Cluster;
use crate::support::store::Store;
use pebblepost_control::api::{HttpRequest, HttpResponse};
use pebblepost_control::state::RetirementState;
use pebblepost_messages::batch::STORE_GROUPS;
use pebblepost_messages::control::{FromControl, GroupEpoch, ToControl};
use rstest::rstest;
use std::collections::BTreeMap;
use std::time::Duration;

/// Runs the cluster for some time, while the storage nodes with a link apply the feed and move their groups.
fn run(cluster: &mut Cluster, stores: &mut [Store], time: Duration) {
    let until = cluster.now + time;
    while cluster.now < until {
        cluster.run(Duration::from_millis(25));
        for store in stores.iter_mut() {
            if cluster.clients[store.client].link.is_some() {
                store.act(cluster);
            }
        }
    }
}

/// Returns a cluster with three storage nodes whose groups have had a second to be bootstrapped.
fn bootstrapped() -> (Cluster, Vec<Store>) {
    let mut cluster = Cluster::with_primary();
    let mut stores: Vec<Store> =
        (1..=3).map(|number| Store::start_for_bootstrap(&mut cluster, number)).collect();
    run(&mut cluster, &mut stores, Duration::from_secs(1));
    (cluster, stores)
}

/// Returns the number of groups of which each disk has a replica in sync, and of which it is primary.
fn replica_and_primary_counts(cluster: &Cluster) -> (BTreeMap<u64, usize>, BTreeMap<u64, usize>) {
    let (mut replicas, mut primaries) = (BTreeMap::new(), BTreeMap::new());
    for assignment in cluster.node(cluster.primary()).state().groups().values() {
        for disk in &assignment.epoch.in_sync {
            *replicas.entry(disk.0).or_default() += 1;
        }
        *primaries.entry(assignment.epoch.primary.0).or_default() += 1;
    }
    (replicas, primaries)
}

/// Sends a request without a body to the primary.
fn request_primary(cluster: &mut Cluster, method: &str, path: &str) -> HttpResponse {
    let primary = cluster.primary();
    let request = HttpRequest { method: method.into(), path: path.into(), ..HttpRequest::default() };
    cluster.request(primary, request).expect("a response")
}

#[rstest]
fn groups_are_bootstrapped_within_a_second_and_evenly() {
    let (cluster, stores) = bootstrapped();
    let groups = cluster.node(cluster.primary()).state().groups().clone();
    assert_eq!(groups.len(), STORE_GROUPS as usize);
    assert!(groups.values().all(|assignment| assignment.epoch.in_sync.len() == 2));
    let (replicas, primaries) = replica_and_primary_counts(&cluster);
    assert!(replicas.values().all(|count| (5..=6).contains(count)), "{replicas:?}");
    assert!(primaries.values().all(|count| (2..=3).contains(count)), "{primaries:?}");
    assert!(stores.iter().all(|store| store.groups.len() == STORE_GROUPS as usize));
}

#[rstest]
fn no_group_is_bootstrapped_with_too_few_nodes() {
    let mut cluster = Cluster::with_primary();
    let mut stores = vec![Store::start_for_bootstrap(&mut cluster, 1)];
    run(&mut cluster, &mut stores, Duration::from_secs(7));
    assert!(cluster.node(cluster.primary()).state().groups().is_empty());
}

#[rstest]
fn failed_node_is_replaced_and_gets_groups_back_by_rebalancing() {
    let (mut cluster, mut stores) = bootstrapped();
    cluster.disconnect_client(stores[2].client);
    run(&mut cluster, &mut stores, Duration::from_secs(4));
    let lost = stores[2].member.disk;
    let state = cluster.node(cluster.primary()).state();
    assert!(state.groups().values().all(|assignment| !assignment.targets.contains(&lost)));
    stores[2].reconnect(&mut cluster);
    run(&mut cluster, &mut stores, Duration::from_secs(10));
    let state = cluster.node(cluster.primary()).state();
    let targeted = state.groups().values().filter(|assignment| assignment.targets.contains(&lost)).count();
    assert!(targeted >= 4, "the node is a target of only {targeted} groups after its return");
}

#[rstest]
fn disk_is_replaced_once_its_node_reconnects_with_another_one() {
    let (mut cluster, mut stores) = bootstrapped();
    let wiped = stores.pop().expect("a third machine");
    cluster.disconnect_client(wiped.client);
    stores.push(wiped.start_wiped(&mut cluster));
    run(&mut cluster, &mut stores, Duration::from_millis(300));
    let state = cluster.node(cluster.primary()).state();
    let target_count = |disk| state.groups().values().filter(|group| group.targets.contains(&disk)).count();
    assert_eq!(target_count(wiped.member.disk), 0, "the lost disk is no longer a target");
    assert!(target_count(stores[2].member.disk) >= 4, "the new disk takes its place");
}

#[rstest]
fn unresponsive_node_on_an_open_link_is_replaced() {
    let (mut cluster, mut stores) = bootstrapped();
    let unresponsive = stores.pop().expect("a third machine");
    run(&mut cluster, &mut stores, Duration::from_secs(6));
    assert_eq!(
        cluster.clients[unresponsive.client].link, None,
        "the feed disconnects a subscriber that does not acknowledge"
    );
    let lost = unresponsive.member.disk;
    let state = cluster.node(cluster.primary()).state();
    assert!(state.groups().values().all(|assignment| !assignment.targets.contains(&lost)));
}

#[rstest]
fn failure_timeout_runs_from_the_last_message() {
    let (mut cluster, mut stores) = bootstrapped();
    let unresponsive = stores.pop().expect("a third machine");
    run(&mut cluster, &mut stores, Duration::from_millis(2_500));
    let state = cluster.node(cluster.primary()).state();
    assert!(
        state.groups().values().all(|assignment| !assignment.targets.contains(&unresponsive.member.disk))
    );
}

#[rstest]
fn added_node_gets_its_share_and_no_other_group_moves() {
    let (mut cluster, mut stores) = bootstrapped();
    let before = cluster.node(cluster.primary()).state().groups().clone();
    stores.push(Store::start_added(&mut cluster, 4));
    run(&mut cluster, &mut stores, Duration::from_secs(15));
    let state = cluster.node(cluster.primary()).state();
    let added = stores[3].member.disk;
    let moved: Vec<u32> = state
        .groups()
        .iter()
        .filter(|(group, assignment)| assignment.targets != before[*group].targets)
        .map(|(group, _)| *group)
        .collect();
    let share = state.groups().values().filter(|assignment| assignment.targets.contains(&added)).count();
    assert!((3..=4).contains(&share), "the added node got {share} groups");
    assert_eq!(moved.len(), share, "only the groups that the added node gets have moved");
}

#[rstest]
fn retirement_moves_all_replicas_and_is_reported_as_completed() {
    let (mut cluster, mut stores) = bootstrapped();
    assert_eq!(request_primary(&mut cluster, "POST", "/retire/storage-9").status, 404);
    assert_eq!(request_primary(&mut cluster, "POST", "/retire/storage-1").status, 200);
    assert_eq!(request_primary(&mut cluster, "POST", "/retire/storage-1").status, 200);
    assert_eq!(request_primary(&mut cluster, "POST", "/retire/storage-2").status, 409);
    let running = request_primary(&mut cluster, "GET", "/retire/storage-1");
    assert_eq!(running.body, b"{\"state\":\"running\"}");
    run(&mut cluster, &mut stores, Duration::from_secs(10));
    let completed = request_primary(&mut cluster, "GET", "/retire/storage-1");
    assert_eq!(completed.body, b"{\"state\":\"completed\"}");
    let disk = stores[0].member.disk;
    let state = cluster.node(cluster.primary()).state();
    for assignment in state.groups().values() {
        assert!(!assignment.epoch.in_sync.contains(&disk));
        assert_eq!(assignment.epoch.in_sync.len(), 2);
    }
    assert_eq!(state.retirements().get("storage-1"), Some(&RetirementState::Completed));
    assert_eq!(request_primary(&mut cluster, "POST", "/retire/storage-1").status, 200);
}

#[rstest]
fn retirement_does_not_complete_while_replicas_remain() {
    let (mut cluster, stores) = bootstrapped();
    assert_eq!(request_primary(&mut cluster, "POST", "/retire/storage-1").status, 200);
    // The storage nodes stay connected but do not move any replica.
    let disk = stores[0].member.disk;
    for _ in 0..20 {
        for store in &stores {
            cluster.send(store.client, ToControl::KeepAlive);
        }
        cluster.run(Duration::from_millis(250));
        let state = cluster.node(cluster.primary()).state();
        let has_replicas = state.groups().values().any(|assignment| assignment.epoch.in_sync.contains(&disk));
        assert!(has_replicas);
        assert_eq!(state.retirements().get("storage-1"), Some(&RetirementState::Running));
    }
}

/// Takes the answers to group changes: number of the request, whether it was accepted, and the current epoch.
fn take_group_change_answers(cluster: &mut Cluster, client: usize) -> Vec<(u64, bool, u64)> {
    let received = cluster.received(client).into_iter();
    let responses = received.filter_map(|message| match message {
        FromControl::GroupChanged { request, accepted, current, .. } => {
            Some((request, accepted, current.epoch))
        }
        _ => None,
    });
    responses.collect()
}

#[rstest]
fn group_changes_are_accepted_only_on_the_current_epoch_and_from_replicas_in_sync() {
    let (mut cluster, stores) = bootstrapped();
    let assignment = cluster.node(cluster.primary()).state().groups()[&0].clone();
    let (primary, other) = (assignment.epoch.in_sync[0], assignment.epoch.in_sync[1]);
    let not_in_sync =
        stores.iter().map(|store| store.member.disk).find(|disk| *disk != primary && *disk != other);
    let change = |request, expected_epoch, primary, in_sync| ToControl::ChangeGroup {
        request,
        group: 0,
        expected_epoch,
        proposed: GroupEpoch { epoch: expected_epoch + 1, primary, in_sync },
    };
    let not_in_sync = not_in_sync.expect("a third machine");
    let client = |disk| {
        let store = stores.iter().find(|store| store.member.disk == disk);
        store.expect("a machine with the disk").client
    };
    let (by_primary, by_not_in_sync) = (client(primary), client(not_in_sync));
    cluster.send(by_not_in_sync, change(1, 1, not_in_sync, vec![not_in_sync, other]));
    cluster.run(Duration::from_millis(200));
    assert_eq!(
        take_group_change_answers(&mut cluster, by_not_in_sync),
        [(1, false, 1)],
        "the proposer is not in sync"
    );
    cluster.received(by_primary);
    cluster.send(by_primary, change(2, 7, primary, vec![primary, other]));
    cluster.send(by_primary, change(3, 1, not_in_sync, vec![primary, other]));
    cluster.send(by_primary, change(4, 1, other, vec![other, primary]));
    cluster.send(by_primary, change(5, 1, other, vec![other, primary]));
    cluster.send(by_primary, change(6, 1, primary, vec![primary]));
    cluster.send(by_primary, change(7, 2, not_in_sync, vec![not_in_sync, other]));
    cluster.run(Duration::from_millis(200));
    let expected = [(2, false, 1), (3, false, 1), (4, true, 2), (5, true, 2), (6, false, 2), (7, true, 3)];
    assert_eq!(take_group_change_answers(&mut cluster, by_primary), expected);
}

#[rstest]
fn new_primary_keeps_the_targets_while_storage_nodes_reconnect() {
    let (mut cluster, mut stores) = bootstrapped();
    let before = cluster.node(cluster.primary()).state().groups().clone();
    let former = cluster.primary();
    cluster.kill(former);
    cluster.run_until_primary_acts();
    cluster.run(Duration::from_millis(500));
    for store in &stores {
        store.reconnect(&mut cluster);
    }
    run(&mut cluster, &mut stores, Duration::from_secs(6));
    assert_eq!(*cluster.node(cluster.primary()).state().groups(), before);
}
