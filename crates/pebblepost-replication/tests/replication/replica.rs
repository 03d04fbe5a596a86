//! Groups of replicas without a network: acting, recovery, catch-up and limits.

use crate::group::{Group, member, record};
use pebblepost_replication::replica::{DiskRecord, ProposeError, ReplicaOutput};
use rstest::rstest;

#[rstest]
fn an_entry_is_committed_once_all_in_sync_replicas_hold_it() {
    let mut group = Group::new(3, 1, record(1, &[1, 2, 3]));
    assert_eq!(group.became_primary, vec![1]);
    group.stalled_disks = vec![3];
    assert_eq!(group.propose(1, b"one"), Ok(1));
    assert_eq!(group.replica(1).commit_index(), 0);
    // The disk of replica 3 is stalled for too long: the replica is dropped, and the others commit.
    group.advance(1_000);
    assert_eq!(group.replica(1).commit_index(), 1);
    assert_eq!(group.current.in_sync, vec![member(1), member(2)]);
    assert!(group.is_acting(1));
}

/// Guards against: entries in flight to a replica that close its link, because only their number is limited
/// (`docs/incidents/a-job-that-its-store-could-not-send.md`).
#[rstest]
fn large_entries_are_sent_within_a_limit_of_bytes_in_flight() {
    const ENTRY_BYTES: usize = 1_500_000;
    const MAX_BYTES_IN_FLIGHT: usize = 4 * 1024 * 1024 + ENTRY_BYTES;
    const ENTRIES: usize = 12;
    let mut group = Group::new(2, 1, record(1, &[1, 2]));
    let now = group.now;
    for _ in 0..ENTRIES {
        group.replica(1).propose(now, vec![1; ENTRY_BYTES]).expect("the primary acts");
    }
    let outputs = group.replica(1).take_outputs();
    let in_flight: usize = outputs.iter().map(sent_bytes).sum();
    assert!(in_flight > ENTRY_BYTES && in_flight <= MAX_BYTES_IN_FLIGHT, "{in_flight} bytes in flight");
    // Those messages are lost; the replica catches up nevertheless.
    group.advance(3_000);
    assert_eq!(group.entries(2).len(), ENTRIES);
}

/// Returns the length of the message that an output sends; 0 for other outputs.
fn sent_bytes(output: &ReplicaOutput) -> usize {
    match output {
        ReplicaOutput::Send { message, .. } => message.len(),
        _ => 0,
    }
}

#[rstest]
fn a_replica_that_is_not_primary_rejects_proposals() {
    let mut group = Group::new(3, 1, record(1, &[1, 2, 3]));
    assert_eq!(group.propose(2, b"one"), Err(ProposeError::NotPrimary));
}

#[rstest]
fn proposals_are_rejected_with_too_few_in_sync_replicas() {
    let mut group = Group::new(1, 1, record(1, &[1]));
    assert_eq!(group.propose(1, b"one"), Err(ProposeError::TooFewReplicas));
    assert!(!group.is_acting(1));
}

#[rstest]
fn a_partitioned_primary_stops_acting_before_its_successor_acts() {
    let mut group = Group::new(3, 1, record(1, &[1, 2, 3]));
    group.propose(1, b"one").expect("the primary acts");
    group.partitioned = vec![1];
    let mut handover = Vec::new();
    for _ in 0..40 {
        group.advance(50);
        let acting: Vec<u64> = (1..=3).filter(|disk| group.is_acting(*disk)).collect();
        assert!(acting.len() <= 1, "{acting:?} act at {:?}", group.now);
        handover.extend(acting);
    }
    handover.dedup();
    assert_eq!(handover, vec![1, 2]);
    group.partitioned.clear();
    group.advance(500);
    assert_eq!(group.stepped_down, vec![1]);
    group.advance(1_000);
    assert_eq!(group.current.in_sync.len(), 3, "the former primary is in sync again");
}

#[rstest]
fn a_primary_with_a_stalled_disk_is_replaced() {
    let mut group = Group::new(3, 1, record(1, &[1, 2, 3]));
    group.stalled_disks = vec![1];
    group.propose(1, b"undecided").expect("the primary acts");
    group.advance(500);
    assert!(!group.is_acting(1));
    group.advance(1_500);
    assert!(group.is_acting(2));
    assert_eq!(group.entries(2), vec![b"undecided".to_vec()]);
}

#[rstest]
#[case::from_the_records(false)]
#[case::from_a_checkpoint(true)]
fn entries_survive_a_restart_of_all_replicas(#[case] from_checkpoint: bool) {
    let mut group = Group::new(3, 1, record(1, &[1, 2, 3]));
    let entries: Vec<Vec<u8>> = (0..20_u8).map(|number| vec![number; 10]).collect();
    for entry in &entries {
        group.propose(1, entry).expect("the primary acts");
    }
    for disk in 1..=3 {
        let checkpoint = group.replica(disk).checkpoint().expect("the state machine is not damaged");
        let records = if from_checkpoint { checkpoint } else { group.disks[disk as usize - 1].clone() };
        group.restart(disk, records);
    }
    group.advance(400);
    assert_eq!(group.acting(), [1], "only the former primary skips the election timeout");
    group.advance(1_500);
    assert_eq!(group.acting(), [1]);
    assert_eq!(group.entries(1), entries);
    assert!(group.current.epoch > 1);
}

#[rstest]
#[case::from_the_records(false)]
#[case::from_a_checkpoint(true)]
fn restarted_followers_wait_for_the_election_timeout(#[case] from_checkpoint: bool) {
    let mut group = Group::new(3, 1, record(1, &[1, 2, 3]));
    let entries: Vec<Vec<u8>> = (0..20_u8).map(|number| vec![number; 10]).collect();
    for entry in &entries {
        group.propose(1, entry).expect("the primary acts");
    }
    group.partitioned.push(1);
    for disk in 2..=3 {
        let checkpoint = group.replica(disk).checkpoint().expect("the state machine is not damaged");
        let records = if from_checkpoint { checkpoint } else { group.disks[disk as usize - 1].clone() };
        group.restart(disk, records);
    }
    group.advance(400);
    assert!(!group.is_acting(2) && !group.is_acting(3), "a successor acts before the election timeout");
    group.advance(1_500);
    let acting: Vec<u64> = group.acting().into_iter().filter(|disk| *disk != 1).collect();
    assert_eq!(acting.len(), 1);
    assert_eq!(group.entries(acting[0]), entries);
    assert!(group.current.epoch > 1);
}

#[rstest]
fn a_log_is_recovered_up_to_a_gap_and_completed_only_by_the_primary() {
    let entry = |index| DiskRecord::Entry { index, epoch: 1, entry: vec![index as u8].into() };
    let records = vec![DiskRecord::Epoch(record(1, &[1])), entry(1), entry(2), entry(4)];
    let mut alone = Group::new(1, 0, record(1, &[1]));
    alone.restart(1, records.clone());
    alone.advance(1_500);
    assert_eq!(alone.replica(1).progress(), [(member(1).disk, 2)]);
    // The replica acknowledged the entries that are missing now. As primary it would serve an old state.
    assert_eq!(alone.acting(), [0; 0]);

    let mut group = Group::new(2, 1, record(1, &[1, 2]));
    (1..=4).for_each(|index| assert_eq!(group.propose(1, &[index]), Ok(u64::from(index))));
    group.current = record(2, &[1, 2]);
    let (now, current, kept) = (group.now, group.current.clone(), group.disks[0].clone());
    group.restart(1, kept);
    group.restart(2, records);
    group.replicas.iter_mut().for_each(|replica| replica.configure(now, &current));
    group.advance(1_500);
    assert_eq!(group.entries(2), [[1], [2], [3], [4]]);
    group.partitioned = vec![1];
    group.advance(3_000);
    assert_eq!(group.current.primary, member(2).disk, "replica 2 may campaign once its log is complete");
}

#[rstest]
fn a_new_replica_receives_a_snapshot_in_chunks() {
    let mut group = Group::new(3, 1, record(1, &[1, 2]));
    group.partitioned = vec![3];
    for number in 0..10_u8 {
        group.propose(1, &vec![number; 100_000]).expect("the primary acts");
    }
    group.partitioned.clear();
    group.largest_message = 0;
    group.advance(3_000);
    assert_eq!(group.current.in_sync.len(), 3);
    assert_eq!(group.entries(3).len(), 10);
    assert!(group.largest_message < 300_000, "a message of {} bytes", group.largest_message);
}

#[rstest]
fn a_lost_replica_is_replaced_in_one_step() {
    let mut group = Group::new(3, 1, record(1, &[1, 2]));
    group.partitioned = vec![3];
    group.propose(1, b"one").expect("the primary acts");
    group.partitioned = vec![2];
    group.advance(2_000);
    assert_eq!(group.current.in_sync, vec![member(1), member(3)]);
    assert!(group.is_acting(1));
    assert_eq!(group.entries(1), vec![b"one".to_vec()]);
}

#[rstest]
fn new_targets_move_the_group_and_the_primary_hands_over() {
    let mut group = Group::new(4, 1, record(1, &[1, 2]));
    group.propose(1, b"one").expect("the primary acts");
    let now = group.now;
    let targets = vec![member(3), member(4)];
    group.replicas.iter_mut().for_each(|replica| replica.set_targets(now, targets.clone()));
    group.advance(3_000);
    let mut in_sync: Vec<u64> = group.current.in_sync.iter().map(|member| member.disk.0).collect();
    in_sync.sort_unstable();
    assert_eq!(in_sync, vec![3, 4]);
    let primary = group.current.primary.0;
    assert!(group.is_acting(primary));
    assert_eq!(group.entries(primary), vec![b"one".to_vec()]);
    assert_eq!(group.stepped_down, vec![1]);
}

#[rstest]
fn malformed_messages_are_dropped() {
    let mut group = Group::new(3, 1, record(1, &[1, 2, 3]));
    let mut bytes = Vec::new();
    for length in 0..200_u8 {
        for first in 0..16 {
            if let Some(byte) = bytes.first_mut() {
                *byte = first;
            }
            let now = group.now;
            group.replica(1).receive(now, &member(2), &bytes);
            group.replica(2).receive(now, &member(1), &bytes);
        }
        bytes.push(length.wrapping_mul(151) | 0xc0);
    }
    group.advance(200);
    assert!(group.is_acting(1));
}
