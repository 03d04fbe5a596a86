//! Removal of replicas, and replicas that may lack entries that the epoch record relies on.

use crate::group::{Entries, Group, member, record, settings};
use pebblepost_replication::guards::ReplicaGuards;
use pebblepost_replication::record::EpochRecord;
use pebblepost_replication::replica::{DiskRecord, Replica, ReplicaOutput, StateMachine};
use rstest::rstest;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

/// Requests the removal of a replica several times.
fn request_removal(group: &mut Group, disk: u64) {
    for _ in 0..5 {
        let now = group.now;
        group.replica(disk).request_removal(now);
        group.deliver_all();
        group.advance(1_500);
    }
}

#[rstest]
fn a_joiner_is_not_removed_while_a_change_that_adds_it_is_undecided() {
    let mut group = Group::new(3, 1, record(1, &[1, 2]));
    group.set_targets(&[1, 2, 3]);
    assert!(group.propose(1, b"one").is_ok());
    group.defers_changes = true;
    group.advance(1_000);
    // The operator reverts the targets, and the joiner is asked to drop its data.
    group.set_targets(&[1, 2]);
    request_removal(&mut group, 3);
    let epoch = group.current.epoch;
    assert!(group.replica(3).acknowledged_epoch() >= epoch, "the undecided change relies on replica 3");
    group.decide_deferred();
    assert!(group.current.is_in_sync(member(3).disk));
    assert_eq!(group.entries(3), [b"one"]);
}

#[rstest]
fn a_joiner_that_is_no_longer_a_target_is_removed() {
    let mut group = Group::new(3, 1, record(1, &[1, 2]));
    assert!(group.propose(1, b"one").is_ok());
    // Replica 3 acknowledges heartbeats, but its disk completes no writes, so it is never proposed.
    group.restart(3, vec![DiskRecord::Epoch(record(1, &[1, 2]))]);
    group.stalled_disks = vec![3];
    group.set_targets(&[1, 2, 3]);
    group.advance(1_000);
    assert_eq!(group.current.epoch, 1);
    assert_eq!(group.replica(3).acknowledged_epoch(), 1);
    group.set_targets(&[1, 2]);
    group.advance(1_000);
    request_removal(&mut group, 3);
    assert_eq!(group.replica(3).acknowledged_epoch(), 0);
    assert!(group.is_acting(1));
}

#[rstest]
fn a_dropped_replica_acknowledges_nothing_in_the_next_epoch() {
    let mut group = Group::new(3, 1, record(1, &[1, 2, 3]));
    assert!(group.propose(1, b"one").is_ok());
    group.set_targets(&[1, 2]);
    group.advance(2_000);
    assert_eq!(group.current.in_sync, [member(1), member(2)]);
    let epoch = group.current.epoch;
    assert_eq!(group.replica(3).record().epoch, epoch, "replica 3 knows the epoch that dropped it");
    assert!(group.replica(3).acknowledged_epoch() < epoch);
}

#[rstest]
fn a_joiner_is_added_only_on_acknowledgements_of_the_current_epoch() {
    let mut group = Group::new(4, 1, record(1, &[1, 2]));
    group.set_targets(&[1, 2]);
    group.advance(2_000);
    assert!(group.propose(1, b"one").is_ok());
    assert_eq!(group.current.in_sync, [member(1), member(2)]);
    let epoch = group.current.epoch;
    group.defers_changes = true;
    group.set_targets(&[1, 2, 4]);
    group.advance(500);
    // While the change that adds replica 4 is undecided, replica 3 holds all entries and acknowledges
    // heartbeats of this epoch.
    group.set_targets(&[1, 2, 3, 4]);
    group.advance(500);
    assert_eq!(group.replica(3).acknowledged_epoch(), epoch);
    group.partitioned = vec![3];
    group.decide_deferred();
    assert_eq!(group.current.in_sync, [member(1), member(2), member(4)]);
    // The new epoch is higher than the one that replica 3 acknowledged. Replica 3 may drop its data now,
    // so it must not be added.
    group.advance(450);
    assert!(!group.current.is_in_sync(member(3).disk));
}

/// Returns the epoch records that a replica requests within 10 s in which it hears from no other
/// replica.
fn requested_epochs<S: StateMachine>(replica: &mut Replica<S>) -> Vec<EpochRecord> {
    let mut requested = Vec::new();
    for step in 0..200 {
        let now = SECOND + Duration::from_millis(50) * step;
        replica.tick(now);
        for output in replica.take_outputs() {
            match output {
                ReplicaOutput::ChangeEpoch { record, .. } => requested.push(record),
                ReplicaOutput::Persist { token, .. } => replica.on_persisted(now, token),
                _ => {}
            }
        }
    }
    requested
}

#[rstest]
#[case::rule_enabled(true)]
#[case::rule_disabled(false)]
fn an_empty_replica_recorded_as_in_sync_does_not_campaign(#[case] campaign_requires_complete_log: bool) {
    let guards = ReplicaGuards { campaign_requires_complete_log, ..ReplicaGuards::default() };
    let state = Entries::default();
    let mut replica = Replica::with_guards(member(2), settings(1), state, Vec::new(), Duration::ZERO, guards);
    // Primary 1 and its disk are lost, and so is the data that replica 2 once acknowledged.
    replica.configure(Duration::ZERO, &record(3, &[1, 2]));
    assert_eq!(requested_epochs(&mut replica).is_empty(), campaign_requires_complete_log);
}

#[rstest]
fn empty_replicas_campaign_in_the_first_epoch() {
    let mut replica = Replica::new(member(2), settings(1), Entries::default(), Vec::new(), Duration::ZERO);
    replica.configure(Duration::ZERO, &record(1, &[1, 2, 3]));
    assert_eq!(
        requested_epochs(&mut replica).first().map(|requested| requested.primary),
        Some(member(2).disk)
    );
}

#[rstest]
fn an_empty_replica_campaigns_after_the_primary_brought_it_up_to_date() {
    let mut group = Group::new(2, 1, record(1, &[1, 2]));
    assert!(group.propose(1, b"one").is_ok());
    // In a new term, the primary finds out anew what the other replicas hold.
    group.current = EpochRecord { epoch: 4, ..record(4, &[1, 2]) };
    let current = group.current.clone();
    let (now, kept) = (group.now, group.disks[0].clone());
    group.restart(1, kept);
    group.restart(2, Vec::new());
    group.replicas.iter_mut().for_each(|replica| replica.configure(now, &current));
    group.advance(3_000);
    assert_eq!(group.entries(2), [b"one"]);
    group.partitioned = vec![1];
    group.advance(3_000);
    assert_eq!(group.current.primary, member(2).disk);
}

#[rstest]
fn a_replica_with_a_gap_in_its_log_does_not_campaign() {
    let entry = |index| DiskRecord::Entry { index, epoch: 1, entry: vec![1].into() };
    let complete = vec![DiskRecord::Epoch(record(1, &[1, 2])), entry(1), entry(2), entry(3)];
    let with_gap = vec![complete[0].clone(), complete[1].clone(), complete[3].clone()];
    let mut intact = Replica::new(member(2), settings(1), Entries::default(), complete, Duration::ZERO);
    assert!(!requested_epochs(&mut intact).is_empty());
    let mut incomplete = Replica::new(member(2), settings(1), Entries::default(), with_gap, Duration::ZERO);
    assert_eq!(requested_epochs(&mut incomplete), []);
}

/// A state machine that can't decode its entries.
#[derive(Debug, Default)]
struct Damaged;

impl StateMachine for Damaged {
    fn apply(&mut self, _index: u64, _entry: &[u8]) {}

    fn snapshot(&self) -> Vec<u8> {
        Vec::new()
    }

    fn restore(&mut self, _snapshot: &[u8]) {}

    fn is_damaged(&self) -> bool {
        true
    }
}

#[rstest]
fn a_damaged_replica_neither_campaigns_nor_overwrites_its_disk() {
    let recovered = vec![DiskRecord::Epoch(record(1, &[1, 2]))];
    let mut replica = Replica::new(member(2), settings(1), Damaged, recovered, Duration::ZERO);
    assert_eq!(requested_epochs(&mut replica), []);
    assert_eq!(replica.checkpoint(), None);
}
