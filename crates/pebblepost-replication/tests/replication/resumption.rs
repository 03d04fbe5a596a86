//! A primary that ended for certain: who may stand at once, and who has to wait.

use pebblepost_messages::{DiskId, Member};
use pebblepost_replication::guards::ReplicaGuards;
use pebblepost_replication::record::{EpochRecord, Tolerance};
use pebblepost_replication::replica::{DiskRecord, Replica, ReplicaOutput, ReplicaSettings, StateMachine};
use rstest::rstest;
use std::time::Duration;

#[derive(Debug, Default)]
struct Nothing;

impl StateMachine for Nothing {
    fn apply(&mut self, _index: u64, _entry: &[u8]) {}

    fn snapshot(&self) -> Vec<u8> {
        Vec::new()
    }

    fn restore(&mut self, _snapshot: &[u8]) {}
}

const GRACE: u64 = 700;
/// After so many milliseconds a primary that was restarted leaves out who was not heard.
const RESUME: u64 = 200;

fn settings() -> ReplicaSettings {
    ReplicaSettings {
        tolerance: Tolerance { machines: 1, ..Tolerance::default() },
        heartbeat_interval: Duration::from_millis(100),
        lease: Duration::from_millis(500),
        election_timeout: Duration::from_millis(GRACE),
        max_replica_lag: Duration::from_millis(600),
        write_timeout: Duration::from_millis(400),
        max_log_bytes: 1_000,
    }
}

fn member(disk: u64) -> Member {
    Member { disk: DiskId(disk), node: format!("n{disk}"), address: disk.to_string(), ..Member::default() }
}

/// An epoch of the replicas 1, 2 and 3.
fn epoch(epoch: u64, primary: u64) -> EpochRecord {
    let in_sync = (1..=3).map(member).collect();
    EpochRecord { epoch, primary: DiskId(primary), in_sync, ..EpochRecord::default() }
}

fn entry(index: u64, epoch: u64) -> DiskRecord {
    DiskRecord::Entry { index, epoch, entry: vec![1] }
}

/// Replica 1, restarted at time 0 with what its disk held, while these others are heard.
fn restarted(records: Vec<DiskRecord>, heard: &[u64], guards: ReplicaGuards) -> Replica<Nothing> {
    let me = member(1);
    let mut replica = Replica::with_guards(me, settings(), Nothing, records, Duration::ZERO, guards);
    replica.set_reachable(heard.iter().map(|disk| DiskId(*disk)).collect());
    replica
}

/// When the replica asks for an epoch of its own, and which in-sync replicas it names.
fn stands(replica: &mut Replica<Nothing>) -> Option<(u64, Vec<u64>)> {
    for milliseconds in (0..2 * GRACE).step_by(50) {
        replica.tick(Duration::from_millis(milliseconds));
        for output in replica.take_outputs() {
            if let ReplicaOutput::ChangeEpoch { record, .. } = output {
                return Some((milliseconds, record.in_sync.iter().map(|member| member.disk.0).collect()));
            }
        }
    }
    None
}

#[rstest]
#[case::all_are_heard(&[2, 3], 0, &[1, 2, 3])]
#[case::one_is_missing(&[2], RESUME, &[1, 2])]
#[case::nobody_is_heard(&[], RESUME, &[1, 2, 3])]
fn a_restarted_primary_goes_on_at_once(
    #[case] heard: &[u64], #[case] expected_at: u64, #[case] expected: &[u64],
) {
    let records = vec![DiskRecord::Epoch(epoch(1, 1)), entry(1, 1)];
    let mut replica = restarted(records, heard, ReplicaGuards::default());
    assert_eq!(stands(&mut replica), Some((expected_at, expected.to_vec())));
}

#[test]
fn a_term_over_several_epochs_is_one() {
    let records = vec![DiskRecord::Epoch(epoch(1, 1)), entry(1, 1), DiskRecord::Epoch(epoch(2, 1))];
    let mut replica = restarted(records, &[2, 3], ReplicaGuards::default());
    assert_eq!(stands(&mut replica).map(|stood| stood.0), Some(0));
}

#[rstest]
#[case::handed_over(vec![DiskRecord::Epoch(epoch(1, 2)), entry(1, 1), DiskRecord::Epoch(epoch(2, 1))])]
#[case::returned(vec![
    DiskRecord::Epoch(epoch(1, 1)), entry(1, 1), DiskRecord::Epoch(epoch(2, 2)), DiskRecord::Epoch(epoch(3, 1)),
])]
#[case::epochs_missed(vec![DiskRecord::Epoch(epoch(1, 1)), entry(1, 1), DiskRecord::Epoch(epoch(3, 1))])]
fn a_primary_that_may_not_have_acted_waits_for_the_lease_of_the_one_before(#[case] records: Vec<DiskRecord>) {
    let mut replica = restarted(records.clone(), &[2, 3], ReplicaGuards::default());
    let stood_at = stands(&mut replica).map(|stood| stood.0);
    assert!(stood_at.is_some_and(|at| at >= GRACE), "{stood_at:?}");
    let unguarded = ReplicaGuards { takeover_needs_acted_term: false, ..ReplicaGuards::default() };
    let mut replica = restarted(records, &[2, 3], unguarded);
    assert_eq!(stands(&mut replica).map(|stood| stood.0), Some(0), "the guard is what makes it wait");
}

/// What a new replica at the address of replica 2 sends to replica 1 about this epoch.
fn messages_of_successor_of_2(record: &EpochRecord) -> Vec<Vec<u8>> {
    let me = Member { disk: DiskId(9), ..member(2) };
    let mut successor = Replica::new(me, settings(), Nothing, Vec::new(), Duration::ZERO);
    successor.configure(Duration::ZERO, record);
    successor.tick(Duration::from_millis(1));
    let to_1 = |output| match output {
        ReplicaOutput::Send { to, message } if to.disk == DiskId(1) => Some(message),
        _ => None,
    };
    successor.take_outputs().into_iter().filter_map(to_1).collect()
}

#[rstest]
#[case::of_the_epoch_in_force(epoch(1, 2), entry(1, 1), true)]
#[case::of_an_epoch_that_is_not_in_force(epoch(2, 2), entry(1, 1), false)]
#[case::of_another_primary(epoch(1, 3), entry(1, 1), false)]
fn a_replica_need_not_wait_for_a_primary_whose_disk_was_replaced(
    #[case] announced: EpochRecord, #[case] last: DiskRecord, #[case] at_once: bool,
) {
    let records = vec![DiskRecord::Epoch(epoch(1, 2)), last];
    let mut replica = restarted(records, &[3], ReplicaGuards::default());
    for message in messages_of_successor_of_2(&announced) {
        replica.receive(Duration::ZERO, &Member { disk: DiskId(9), ..member(2) }, &message);
    }
    let stood = stands(&mut replica);
    assert_eq!(stood.as_ref().is_some_and(|stood| stood.0 == 0), at_once, "{stood:?}");
    assert!(!at_once || stood.is_some_and(|stood| stood.1 == [1, 3]));
}

#[test]
fn a_replaced_primary_that_may_not_have_acted_is_waited_for() {
    let records = vec![DiskRecord::Epoch(epoch(1, 3)), entry(1, 1), DiskRecord::Epoch(epoch(2, 2))];
    let mut replica = restarted(records, &[3], ReplicaGuards::default());
    for message in messages_of_successor_of_2(&epoch(2, 2)) {
        replica.receive(Duration::ZERO, &Member { disk: DiskId(9), ..member(2) }, &message);
    }
    let stood_at = stands(&mut replica).map(|stood| stood.0);
    assert!(stood_at.is_some_and(|at| at >= GRACE), "{stood_at:?}");
}
