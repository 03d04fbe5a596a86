//! What a former primary left undecided in the log of another replica: it can come true until the barrier of the new
//! term is committed.

use crate::group::{Group, record};
use pebblepost_replication::barrier::TermBarrier;
use rstest::rstest;

const UNDECIDED: &[u8] = b"undecided";
const BARRIER: &[u8] = b"barrier";

/// Replica 2 leads after replica 1, whose last entry only replica 3 has.
fn group_with_an_undecided_entry() -> Group {
    let mut group = Group::new(3, 1, record(1, &[1, 2, 3]));
    group.partitioned = vec![2];
    group.propose(1, UNDECIDED).expect("replica 1 is the primary");
    assert_eq!(group.replica(1).commit_index(), 0);
    group.partitioned = vec![1];
    group.advance(3_000);
    assert_eq!(group.acting(), vec![2]);
    group
}

/// Replica 3 leads next, together with replica 1, which comes back.
fn lead_by_replica_3(group: &mut Group) {
    group.partitioned = vec![2];
    group.advance(6_000);
    assert_eq!(group.acting(), vec![3]);
}

#[rstest]
fn without_a_barrier_an_undecided_entry_comes_true_in_a_later_term() {
    let mut group = group_with_an_undecided_entry();
    assert!(group.entries(2).is_empty(), "the primary would say that it was not taken");
    lead_by_replica_3(&mut group);
    assert_eq!(group.entries(3), vec![UNDECIDED.to_vec()]);
}

#[rstest]
fn after_a_committed_barrier_an_undecided_entry_is_gone() {
    let mut group = group_with_an_undecided_entry();
    let mut barrier = TermBarrier::default();
    assert!(!barrier.is_committed(u64::MAX), "it is not in the log yet");
    let index = group.propose(2, BARRIER).expect("replica 2 is the primary");
    barrier.set_index(index);
    assert!(barrier.is_committed(group.replica(2).commit_index()));
    lead_by_replica_3(&mut group);
    assert_eq!(group.entries(3), vec![BARRIER.to_vec()]);
}

#[rstest]
fn a_barrier_is_committed_with_its_index() {
    let mut barrier = TermBarrier::default();
    assert!(!barrier.is_proposed());
    barrier.set_index(7);
    assert!(barrier.is_proposed());
    assert!(!barrier.is_committed(6));
    assert!(barrier.is_committed(7));
}
