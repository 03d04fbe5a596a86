//! An uncommitted entry of a former primary in the log of another replica can still be committed, until
//! the barrier of the new term is committed.

use crate::group::{Group, record};
use pebblepost_replication::barrier::TermBarrier;
use rstest::rstest;

const UNCOMMITTED_ENTRY: &[u8] = b"undecided";
const BARRIER: &[u8] = b"barrier";

/// Returns a group in which replica 2 is the successor of replica 1, whose last entry only replica 3
/// holds.
fn group_with_uncommitted_entry_on_replica_3() -> Group {
    let mut group = Group::new(3, 1, record(1, &[1, 2, 3]));
    group.partitioned = vec![2];
    group.propose(1, UNCOMMITTED_ENTRY).expect("replica 1 is the primary");
    assert_eq!(group.replica(1).commit_index(), 0);
    group.partitioned = vec![1];
    group.advance(3_000);
    assert_eq!(group.acting(), vec![2]);
    group
}

/// Partitions replica 2, so that replica 3 becomes primary together with the returning replica 1.
fn elect_replica_3(group: &mut Group) {
    group.partitioned = vec![2];
    group.advance(6_000);
    assert_eq!(group.acting(), vec![3]);
}

#[rstest]
fn without_a_barrier_an_uncommitted_entry_is_committed_in_a_later_term() {
    let mut group = group_with_uncommitted_entry_on_replica_3();
    assert!(group.entries(2).is_empty(), "replica 2 would answer that the entry was not applied");
    elect_replica_3(&mut group);
    assert_eq!(group.entries(3), vec![UNCOMMITTED_ENTRY.to_vec()]);
}

#[rstest]
fn a_committed_barrier_prevents_the_commit_of_an_earlier_uncommitted_entry() {
    let mut group = group_with_uncommitted_entry_on_replica_3();
    let mut barrier = TermBarrier::default();
    assert!(!barrier.is_committed(u64::MAX), "the barrier is not in the log yet");
    let index = group.propose(2, BARRIER).expect("replica 2 is the primary");
    barrier.set_index(index);
    assert!(barrier.is_committed(group.replica(2).commit_index()));
    elect_replica_3(&mut group);
    assert_eq!(group.entries(3), vec![BARRIER.to_vec()]);
}

#[rstest]
fn a_barrier_is_committed_once_the_commit_index_reaches_it() {
    let mut barrier = TermBarrier::default();
    assert!(!barrier.is_proposed());
    barrier.set_index(7);
    assert!(barrier.is_proposed());
    assert!(!barrier.is_committed(6));
    assert!(barrier.is_committed(7));
}
