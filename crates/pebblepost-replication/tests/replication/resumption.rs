//! Campaigns after the process of the primary is known to have ended: which replicas may campaign at
//! once, and which have to wait for the election timeout.

use pebblepost_messages::{DiskId, Member};
use pebblepost_replication::guards::ReplicaGuards;
use pebblepost_replication::record::{EpochRecord, Tolerance};
use pebblepost_replication::replica::{DiskRecord, Replica, ReplicaOutput, ReplicaSettings, StateMachine};
use rstest::rstest;
use std::time::Duration;

#[derive(Debug, Default)]
struct NoopStateMachine;

impl StateMachine for NoopStateMachine {
    fn apply(&mut self, _index: u64, _entry: &[u8]) {}

    fn snapshot(&self) -> Vec<u8> {
        Vec::new()
    }

    fn restore(&mut self, _snapshot: &[u8]) {}
}

const ELECTION_TIMEOUT_MS: u64 = 700;
/// Milliseconds after which a restarted primary leaves out the replicas from which no message has arrived.
const RESUME_WAIT_MS: u64 = 200;

fn settings() -> ReplicaSettings {
    ReplicaSettings {
        tolerance: Tolerance { machines: 1, ..Tolerance::default() },
        heartbeat_interval: Duration::from_millis(100),
        lease: Duration::from_millis(500),
        election_timeout: Duration::from_millis(ELECTION_TIMEOUT_MS),
        max_replica_lag: Duration::from_millis(600),
        write_timeout: Duration::from_millis(400),
        max_log_bytes: 1_000,
    }
}

fn member(disk: u64) -> Member {
    Member { disk: DiskId(disk), node: format!("n{disk}"), address: disk.to_string(), ..Member::default() }
}

/// Returns an epoch record with replicas 1, 2 and 3 in sync.
fn epoch(epoch: u64, primary: u64) -> EpochRecord {
    let in_sync = (1..=3).map(member).collect();
    EpochRecord { epoch, primary: DiskId(primary), in_sync, ..EpochRecord::default() }
}

fn entry(index: u64, epoch: u64) -> DiskRecord {
    DiskRecord::Entry { index, epoch, entry: vec![1].into() }
}

/// Returns replica 1, restarted at time 0 with the records of its disk, while these other replicas are
/// reachable.
fn restarted(
    records: Vec<DiskRecord>, reachable: &[u64], guards: ReplicaGuards,
) -> Replica<NoopStateMachine> {
    let me = member(1);
    let mut replica = Replica::with_guards(me, settings(), NoopStateMachine, records, Duration::ZERO, guards);
    replica.set_reachable(reachable.iter().map(|disk| DiskId(*disk)).collect());
    replica
}

/// Returns the time in milliseconds at which the replica first campaigns, and the in-sync replicas that
/// it names.
fn first_campaign(replica: &mut Replica<NoopStateMachine>) -> Option<(u64, Vec<u64>)> {
    for milliseconds in (0..2 * ELECTION_TIMEOUT_MS).step_by(50) {
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
#[case::all_reachable(&[2, 3], 0, &[1, 2, 3])]
#[case::one_unreachable(&[2], RESUME_WAIT_MS, &[1, 2])]
#[case::none_reachable(&[], RESUME_WAIT_MS, &[1, 2, 3])]
fn a_restarted_primary_campaigns_before_the_election_timeout(
    #[case] reachable: &[u64], #[case] expected_at: u64, #[case] expected: &[u64],
) {
    let records = vec![DiskRecord::Epoch(epoch(1, 1)), entry(1, 1)];
    let mut replica = restarted(records, reachable, ReplicaGuards::default());
    assert_eq!(first_campaign(&mut replica), Some((expected_at, expected.to_vec())));
}

#[test]
fn a_term_spans_consecutive_epochs_of_the_same_primary() {
    let records = vec![DiskRecord::Epoch(epoch(1, 1)), entry(1, 1), DiskRecord::Epoch(epoch(2, 1))];
    let mut replica = restarted(records, &[2, 3], ReplicaGuards::default());
    assert_eq!(first_campaign(&mut replica).map(|(at, _)| at), Some(0));
}

#[rstest]
#[case::handed_over(vec![DiskRecord::Epoch(epoch(1, 2)), entry(1, 1), DiskRecord::Epoch(epoch(2, 1))])]
#[case::returned(vec![
    DiskRecord::Epoch(epoch(1, 1)), entry(1, 1), DiskRecord::Epoch(epoch(2, 2)), DiskRecord::Epoch(epoch(3, 1)),
])]
#[case::epochs_missed(vec![DiskRecord::Epoch(epoch(1, 1)), entry(1, 1), DiskRecord::Epoch(epoch(3, 1))])]
fn a_restarted_primary_that_may_not_have_acted_waits_for_the_election_timeout(
    #[case] records: Vec<DiskRecord>,
) {
    let mut replica = restarted(records.clone(), &[2, 3], ReplicaGuards::default());
    let campaign_at = first_campaign(&mut replica).map(|(at, _)| at);
    assert!(campaign_at.is_some_and(|at| at >= ELECTION_TIMEOUT_MS), "{campaign_at:?}");
    let unguarded = ReplicaGuards { early_takeover_requires_acted_term: false, ..ReplicaGuards::default() };
    let mut replica = restarted(records, &[2, 3], unguarded);
    assert_eq!(first_campaign(&mut replica).map(|(at, _)| at), Some(0), "only the safety rule makes it wait");
}

/// Returns the messages that a new replica at the address of replica 2 sends to replica 1 about this
/// epoch.
fn messages_of_successor_of_2(record: &EpochRecord) -> Vec<Vec<u8>> {
    let me = Member { disk: DiskId(9), ..member(2) };
    let mut successor = Replica::new(me, settings(), NoopStateMachine, Vec::new(), Duration::ZERO);
    successor.configure(Duration::ZERO, record);
    successor.tick(Duration::from_millis(1));
    let to_1 = |output| match output {
        ReplicaOutput::Send { to, message } if to.disk == DiskId(1) => Some(message),
        _ => None,
    };
    successor.take_outputs().into_iter().filter_map(to_1).collect()
}

#[rstest]
#[case::current_epoch(epoch(1, 2), entry(1, 1), true)]
#[case::other_epoch(epoch(2, 2), entry(1, 1), false)]
#[case::other_primary(epoch(1, 3), entry(1, 1), false)]
fn a_replica_campaigns_at_once_after_the_disk_of_the_primary_was_replaced(
    #[case] announced: EpochRecord, #[case] last: DiskRecord, #[case] at_once: bool,
) {
    let records = vec![DiskRecord::Epoch(epoch(1, 2)), last];
    let mut replica = restarted(records, &[3], ReplicaGuards::default());
    for message in messages_of_successor_of_2(&announced) {
        replica.receive(Duration::ZERO, &Member { disk: DiskId(9), ..member(2) }, &message);
    }
    let campaign = first_campaign(&mut replica);
    assert_eq!(campaign.as_ref().is_some_and(|(at, _)| *at == 0), at_once, "{campaign:?}");
    assert!(!at_once || campaign.is_some_and(|(_, in_sync)| in_sync == [1, 3]));
}

#[test]
fn replacement_of_a_primary_that_may_not_have_acted_does_not_skip_the_election_timeout() {
    let records = vec![DiskRecord::Epoch(epoch(1, 3)), entry(1, 1), DiskRecord::Epoch(epoch(2, 2))];
    let mut replica = restarted(records, &[3], ReplicaGuards::default());
    for message in messages_of_successor_of_2(&epoch(2, 2)) {
        replica.receive(Duration::ZERO, &Member { disk: DiskId(9), ..member(2) }, &message);
    }
    let campaign_at = first_campaign(&mut replica).map(|(at, _)| at);
    assert!(campaign_at.is_some_and(|at| at >= ELECTION_TIMEOUT_MS), "{campaign_at:?}");
}
