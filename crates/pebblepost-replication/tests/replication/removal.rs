//! Removal of replicas, and replicas that may lack what they are counted on for.

use crate::group::{Entries, Group, member, record, settings};
use pebblepost_replication::guards::ReplicaGuards;
use pebblepost_replication::record::EpochRecord;
use pebblepost_replication::replica::{DiskRecord, Replica, ReplicaOutput, StateMachine};
use rstest::rstest;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

/// Asks for the removal of a replica, a few times.
fn request_removal(group: &mut Group, disk: u64) {
    for _ in 0..5 {
        let now = group.now;
        group.replica(disk).request_removal(now);
        group.deliver_all();
        group.advance(1_500);
    }
}

#[rstest]
fn a_joiner_is_not_removed_while_a_change_that_adds_it_may_be_decided() {
    let mut group = Group::new(3, 1, record(1, &[1, 2]));
    group.set_targets(&[1, 2, 3]);
    assert!(group.propose(1, b"one").is_ok());
    group.defers_changes = true;
    group.advance(1_000);
    // The operator thinks otherwise, and the joiner is to drop what it holds.
    group.set_targets(&[1, 2]);
    request_removal(&mut group, 3);
    let epoch = group.current.epoch;
    assert!(group.replica(3).acknowledged_epoch() >= epoch, "it is still counted on");
    group.decide_deferred();
    assert!(group.current.is_in_sync(member(3).disk));
    assert_eq!(group.entries(3), [b"one"]);
}

#[rstest]
fn a_joiner_that_is_no_target_any_more_is_removed() {
    let mut group = Group::new(3, 1, record(1, &[1, 2]));
    assert!(group.propose(1, b"one").is_ok());
    // It acknowledges heartbeats, but its disk takes no entries: it is never proposed.
    group.restart(3, vec![DiskRecord::Epoch(record(1, &[1, 2]))]);
    group.hanging = vec![3];
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
fn a_replica_that_was_dropped_acknowledges_nothing_in_the_next_epoch() {
    let mut group = Group::new(3, 1, record(1, &[1, 2, 3]));
    assert!(group.propose(1, b"one").is_ok());
    group.set_targets(&[1, 2]);
    group.advance(2_000);
    assert_eq!(group.current.in_sync, [member(1), member(2)]);
    let epoch = group.current.epoch;
    assert_eq!(group.replica(3).record().epoch, epoch, "it knows");
    assert!(group.replica(3).acknowledged_epoch() < epoch);
}

#[rstest]
fn a_joiner_is_added_on_what_it_confirmed_in_the_present_epoch_only() {
    let mut group = Group::new(4, 1, record(1, &[1, 2]));
    group.set_targets(&[1, 2]);
    group.advance(2_000);
    assert!(group.propose(1, b"one").is_ok());
    assert_eq!(group.current.in_sync, [member(1), member(2)]);
    let epoch = group.current.epoch;
    group.defers_changes = true;
    group.set_targets(&[1, 2, 4]);
    group.advance(500);
    // While the change that adds 4 is undecided, 3 holds everything and acknowledges heartbeats of this epoch.
    group.set_targets(&[1, 2, 3, 4]);
    group.advance(500);
    assert_eq!(group.replica(3).acknowledged_epoch(), epoch);
    group.partitioned = vec![3];
    group.decide_deferred();
    assert_eq!(group.current.in_sync, [member(1), member(2), member(4)]);
    // It may drop its copy now, as the next epoch goes beyond what it confirmed: nobody may count on it.
    group.advance(450);
    assert!(!group.current.is_in_sync(member(3).disk));
}

/// The records that a replica asks for within some seconds of silence.
fn requested_epochs<S: StateMachine>(replica: &mut Replica<S>) -> Vec<EpochRecord> {
    let mut asked = Vec::new();
    for step in 0..200 {
        let now = SECOND + Duration::from_millis(50) * step;
        replica.tick(now);
        for output in replica.take_outputs() {
            match output {
                ReplicaOutput::ChangeEpoch { record, .. } => asked.push(record),
                ReplicaOutput::Persist { token, .. } => replica.on_persisted(now, token),
                _ => {}
            }
        }
    }
    asked
}

#[rstest]
#[case::held_to(true)]
#[case::taken_out(false)]
fn an_empty_replica_that_is_counted_as_in_sync_does_not_stand(#[case] complete_log_before_standing: bool) {
    let guards = ReplicaGuards { complete_log_before_standing, ..ReplicaGuards::default() };
    let state = Entries::default();
    let mut replica = Replica::with_guards(member(2), settings(1), state, Vec::new(), Duration::ZERO, guards);
    // Primary 1 and its disk are lost. What replica 2 once confirmed is gone as well.
    replica.configure(Duration::ZERO, &record(3, &[1, 2]));
    assert_eq!(requested_epochs(&mut replica).is_empty(), complete_log_before_standing);
}

#[rstest]
fn in_the_first_epoch_empty_replicas_stand() {
    let mut replica = Replica::new(member(2), settings(1), Entries::default(), Vec::new(), Duration::ZERO);
    replica.configure(Duration::ZERO, &record(1, &[1, 2, 3]));
    assert_eq!(requested_epochs(&mut replica).first().map(|asked| asked.primary), Some(member(2).disk));
}

#[rstest]
fn an_empty_replica_that_the_primary_fills_stands_after_that() {
    let mut group = Group::new(2, 1, record(1, &[1, 2]));
    assert!(group.propose(1, b"one").is_ok());
    // A new term of a primary that finds out for itself what the others hold.
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
fn a_replica_whose_disk_lacks_entries_does_not_stand() {
    let entry = |index| DiskRecord::Entry { index, epoch: 1, entry: vec![1] };
    let whole = vec![DiskRecord::Epoch(record(1, &[1, 2])), entry(1), entry(2), entry(3)];
    let with_gap = vec![whole[0].clone(), whole[1].clone(), whole[3].clone()];
    let mut sound = Replica::new(member(2), settings(1), Entries::default(), whole, Duration::ZERO);
    assert!(!requested_epochs(&mut sound).is_empty());
    let mut lacking = Replica::new(member(2), settings(1), Entries::default(), with_gap, Duration::ZERO);
    assert_eq!(requested_epochs(&mut lacking), []);
}

/// A state that can't read its entries.
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
fn a_damaged_replica_neither_stands_nor_overwrites_its_disk() {
    let recovered = vec![DiskRecord::Epoch(record(1, &[1, 2]))];
    let mut replica = Replica::new(member(2), settings(1), Damaged, recovered, Duration::ZERO);
    assert_eq!(requested_epochs(&mut replica), []);
    assert_eq!(replica.checkpoint(), None);
}
