//! The replicated state: outcomes of commands, and snapshots.

use crate::support::documents::{configuration, patch};
use nanoserde::SerBin;
use pebblepost_control::state::command::{
    ChangeError, ChangeMethod, Command, ConfigurationChange, InitialAssignment, Outcome, RetirementError,
};
use pebblepost_control::state::shutdowns::{ShutdownPhase, Shutdowns};
use pebblepost_control::state::{ControlState, RetirementState};
use pebblepost_messages::control::GroupEpoch;
use pebblepost_messages::{DiskId, Member};
use pebblepost_replication::replica::StateMachine;
use rstest::rstest;

/// A state, and the index of the last log entry applied to it.
#[derive(Default)]
struct Log {
    state: ControlState,
    index: u64,
}

impl Log {
    fn apply(&mut self, command: &Command) -> Outcome {
        self.index += 1;
        self.state.apply(self.index, &command.encode());
        self.state.outcome(self.index).cloned().expect("an outcome")
    }

    fn change(&mut self, base: u64, method: ChangeMethod, body: Vec<u8>) -> Outcome {
        self.apply(&Command::ChangeConfiguration(ConfigurationChange { base, method, body }))
    }
}

fn member(number: u64, node: &str) -> Member {
    Member { disk: DiskId(number), node: node.into(), ..Member::default() }
}

/// Formats an outcome as in the approved transcript, which has names of its own for the outcomes.
fn outcome_line(outcome: &Outcome) -> String {
    match outcome {
        Outcome::ConfigurationAccepted { generation } => {
            format!("ConfigurationTaken {{ generation: {generation} }}")
        }
        Outcome::ConfigurationRejected(ChangeError::VersionMismatch { current }) => {
            format!("ConfigurationRefused(OtherVersion {{ current: {current} }})")
        }
        Outcome::ConfigurationRejected(error) => {
            format!("ConfigurationRefused(Invalid({:?}))", error.to_string())
        }
        Outcome::VersionNamed => "VersionNamed".into(),
        Outcome::GroupChanged { accepted, current } => {
            format!("GroupChanged {{ accepted: {accepted}, current: {current:?} }}")
        }
        Outcome::Retiring => "Retiring".into(),
        Outcome::RetirementRejected(RetirementError::UnknownNode) => "RetireRefused(UnknownNode)".into(),
        Outcome::RetirementRejected(RetirementError::TooFewRemaining) => "RetireRefused(TooFewRemain)".into(),
        Outcome::Applied => "Applied".into(),
        Outcome::Undecodable => "Unreadable".into(),
    }
}

#[rstest]
fn outcomes_of_log_entries_match_the_approved_transcript() {
    let mut log = Log::default();
    let group = |primary, replicas: &[u64]| InitialAssignment {
        group: 0,
        primary: DiskId(primary),
        replicas: replicas.iter().map(|disk| DiskId(*disk)).collect(),
    };
    let epoch = |epoch, primary, in_sync: &[u64]| GroupEpoch {
        epoch,
        primary: DiskId(primary),
        in_sync: in_sync.iter().map(|disk| DiskId(*disk)).collect(),
    };
    let change = |proposer, group, expected_epoch, proposed| Command::ChangeGroup {
        proposer: DiskId(proposer),
        group,
        expected_epoch,
        proposed,
    };
    let mut lines: Vec<String> = vec![
        format!("patch before any: {}", outcome_line(&log.change(0, ChangeMethod::Patch, patch(2, 10)))),
        format!("first: {}", outcome_line(&log.change(0, ChangeMethod::Replace, configuration(2, 10)))),
        format!("first again: {}", outcome_line(&log.change(0, ChangeMethod::Replace, configuration(2, 10)))),
        format!(
            "other on the same: {}",
            outcome_line(&log.change(0, ChangeMethod::Replace, configuration(2, 11)))
        ),
        format!("patch: {}", outcome_line(&log.change(2, ChangeMethod::Patch, patch(5, 12)))),
        format!(
            "first again, late: {}",
            outcome_line(&log.change(0, ChangeMethod::Replace, configuration(2, 10)))
        ),
        format!("not above: {}", outcome_line(&log.change(5, ChangeMethod::Patch, patch(5, 13)))),
    ];
    let commands = [
        ("named", Command::NameVersion { model: "m".into(), generation: 3 }),
        ("named lower", Command::NameVersion { model: "m".into(), generation: 2 }),
        ("joined", Command::AddStore(member(1, "a"))),
        ("joined", Command::AddStore(member(2, "b"))),
        ("joined", Command::AddStore(member(3, "c"))),
        ("founded", Command::BootstrapGroups(vec![group(1, &[1, 2])])),
        ("founded again", Command::BootstrapGroups(vec![group(3, &[3, 2])])),
        (
            "changed",
            Command::ChangeGroup {
                proposer: DiskId(2),
                group: 0,
                expected_epoch: 1,
                proposed: epoch(2, 2, &[1, 2]),
            },
        ),
        ("changed on the old epoch", change(1, 0, 1, epoch(2, 1, &[1, 2]))),
        ("changed by a stranger", change(3, 0, 2, epoch(3, 3, &[3, 2]))),
        ("changed to a primary not in sync", change(2, 0, 2, epoch(3, 3, &[1, 2]))),
        ("changed to a joiner as primary", change(2, 0, 2, epoch(3, 3, &[3, 2]))),
        ("unknown group", change(1, 7, 0, epoch(1, 1, &[1]))),
        ("retire unknown", Command::Retire { node: "z".into(), min_remaining: 2 }),
        ("retire", Command::Retire { node: "b".into(), min_remaining: 2 }),
        ("retire again", Command::Retire { node: "b".into(), min_remaining: 2 }),
        ("retire another", Command::Retire { node: "a".into(), min_remaining: 2 }),
        ("completed too early", Command::CompleteRetirement { node: "b".into() }),
    ];
    lines.extend(
        commands.iter().map(|(what, command)| format!("{what}: {}", outcome_line(&log.apply(command)))),
    );
    lines.push(format!("retirements: {:?}", log.state.retirements()));
    let transcript = lines.join("\n");
    let approved = include_str!("transcripts/state_entries.txt");
    assert_eq!(transcript.trim(), approved.trim(), "\n--- got ---\n{transcript}\n-----------");
    assert_eq!(log.state.named_versions().get("m"), Some(&3));
}

#[rstest]
fn retirement_completes_only_when_no_group_references_the_node() {
    let mut log = Log::default();
    for (disk, node) in [(1, "a"), (2, "b"), (3, "c")] {
        log.apply(&Command::AddStore(member(disk, node)));
    }
    let replicas = vec![DiskId(1), DiskId(2)];
    log.apply(&Command::BootstrapGroups(vec![InitialAssignment { group: 0, primary: DiskId(1), replicas }]));
    log.apply(&Command::Retire { node: "a".into(), min_remaining: 2 });
    log.apply(&Command::SetTargets { group: 0, targets: vec![DiskId(2), DiskId(3)] });
    log.apply(&Command::CompleteRetirement { node: "a".into() });
    assert_eq!(log.state.retirements()["a"], RetirementState::Running);
    let in_sync = vec![DiskId(1), DiskId(2), DiskId(3)];
    let proposed = GroupEpoch { epoch: 2, primary: DiskId(2), in_sync };
    log.apply(&Command::ChangeGroup { proposer: DiskId(2), group: 0, expected_epoch: 1, proposed });
    log.apply(&Command::CompleteRetirement { node: "a".into() });
    assert_eq!(log.state.retirements()["a"], RetirementState::Running);
    let proposed = GroupEpoch { epoch: 3, primary: DiskId(2), in_sync: vec![DiskId(2), DiskId(3)] };
    log.apply(&Command::ChangeGroup { proposer: DiskId(2), group: 0, expected_epoch: 2, proposed });
    log.apply(&Command::CompleteRetirement { node: "a".into() });
    assert_eq!(log.state.retirements()["a"], RetirementState::Completed);
}

#[rstest]
fn snapshot_restores_the_complete_state() {
    let mut log = Log::default();
    log.change(0, ChangeMethod::Replace, configuration(2, 10));
    log.change(2, ChangeMethod::Patch, patch(5, 12));
    log.apply(&Command::NameVersion { model: "m".into(), generation: 3 });
    log.apply(&Command::AddStore(member(1, "a")));
    let replicas = vec![DiskId(1)];
    log.apply(&Command::BootstrapGroups(vec![InitialAssignment { group: 4, primary: DiskId(1), replicas }]));
    log.apply(&Command::AddStore(member(2, "b")));
    log.apply(&Command::Retire { node: "b".into(), min_remaining: 1 });
    log.apply(&Command::RecordShutdown { instance: "i-1".into(), phase: ShutdownPhase::Draining });
    let mut copy = ControlState::default();
    copy.restore(&log.state.snapshot());
    assert_eq!(copy.snapshot(), log.state.snapshot());
    assert_eq!(copy.generation(), 5);
    assert_eq!(copy.groups(), log.state.groups());
    assert_eq!(copy.stores(), log.state.stores());
    assert_eq!(copy.retirements(), log.state.retirements());
    assert_eq!(copy.shutdowns(), log.state.shutdowns());
    let first = ConfigurationChange { base: 0, method: ChangeMethod::Replace, body: configuration(2, 10) };
    assert_eq!(
        copy.accepted_generation(&first),
        Some(2),
        "a snapshot keeps the history of changes, so repeats are recognized"
    );
}

#[rstest]
#[case::empty(b"")]
#[case::garbage(b"\xff\xff\xff\xff\xff\xff\xff\xff\xff")]
fn undecodable_entries_change_nothing_and_mark_the_state_damaged(#[case] entry: &[u8]) {
    let mut state = ControlState::default();
    let before = state.snapshot();
    state.apply(1, entry);
    assert_eq!(state.outcome(1), Some(&Outcome::Undecodable));
    assert_eq!(state.snapshot(), before);
    assert!(state.is_damaged());
}

#[rstest]
fn truncated_snapshot_marks_the_state_damaged() {
    let mut log = Log::default();
    log.change(0, ChangeMethod::Replace, configuration(2, 10));
    let snapshot = log.state.snapshot();
    for length in 0..snapshot.len() {
        let mut copy = ControlState::default();
        copy.restore(&snapshot[..length]);
        // Cut before the parts that were added later, it is a valid snapshot of an older version.
        let is_older_version = copy.generation() == 2;
        assert!(
            copy.is_damaged() != is_older_version,
            "a snapshot cut to {length} of {} bytes",
            snapshot.len()
        );
    }
}

#[rstest]
fn older_snapshot_without_shutdowns_is_restored() {
    let mut log = Log::default();
    log.change(0, ChangeMethod::Replace, configuration(2, 10));
    let mut no_shutdowns = Vec::new();
    Shutdowns::default().ser_bin(&mut no_shutdowns);
    let snapshot = log.state.snapshot();
    let mut copy = ControlState::default();
    copy.restore(&snapshot[..snapshot.len() - no_shutdowns.len()]);
    assert!(!copy.is_damaged());
    assert_eq!(copy.snapshot(), snapshot);
}

#[rstest]
fn shutdown_phases_only_advance_and_the_oldest_records_are_evicted() {
    const MAX_RECORDED_SHUTDOWNS: u32 = 4096;
    let mut log = Log::default();
    let record = |log: &mut Log, number: u32, phase| {
        log.apply(&Command::RecordShutdown { instance: format!("i-{number}"), phase });
    };
    record(&mut log, 0, ShutdownPhase::Draining);
    record(&mut log, 0, ShutdownPhase::Terminated);
    record(&mut log, 0, ShutdownPhase::Draining);
    assert_eq!(log.state.shutdowns().phase("i-0"), Some(ShutdownPhase::Terminated));
    (1..=MAX_RECORDED_SHUTDOWNS).for_each(|number| record(&mut log, number, ShutdownPhase::Terminated));
    assert_eq!(log.state.shutdowns().phase("i-0"), None);
    assert_eq!(log.state.shutdowns().iter().count(), MAX_RECORDED_SHUTDOWNS as usize);
}

#[rstest]
fn retired_node_never_becomes_in_sync() {
    let mut log = Log::default();
    for (disk, node) in [(1, "a"), (2, "b"), (3, "c")] {
        log.apply(&Command::AddStore(member(disk, node)));
    }
    let replicas = vec![DiskId(1), DiskId(2)];
    log.apply(&Command::BootstrapGroups(vec![InitialAssignment { group: 0, primary: DiskId(1), replicas }]));
    let replace_replica = |added: u64| Command::ChangeGroup {
        proposer: DiskId(1),
        group: 0,
        expected_epoch: 1,
        proposed: GroupEpoch { epoch: 2, primary: DiskId(1), in_sync: vec![DiskId(1), DiskId(added)] },
    };
    log.apply(&Command::Retire { node: "c".into(), min_remaining: 2 });
    log.apply(&Command::CompleteRetirement { node: "c".into() });
    assert_eq!(log.state.retirements()["c"], RetirementState::Completed);
    // The primary proposed this change before the retirement of c completed. If it were accepted, disk 1 would hold the
    // only copy once c is gone.
    let outcome = log.apply(&replace_replica(3));
    assert!(matches!(outcome, Outcome::GroupChanged { accepted: false, .. }), "{outcome:?}");
    assert_eq!(log.state.groups()[&0].epoch.in_sync, [DiskId(1), DiskId(2)]);
}

#[rstest]
fn concurrent_retirements_are_serialized_by_the_log() {
    let mut log = Log::default();
    for (disk, node) in [(1, "a"), (2, "b"), (3, "c")] {
        log.apply(&Command::AddStore(member(disk, node)));
    }
    assert_eq!(log.apply(&Command::Retire { node: "a".into(), min_remaining: 2 }), Outcome::Retiring);
    let second = log.apply(&Command::Retire { node: "b".into(), min_remaining: 2 });
    assert_eq!(second, Outcome::RetirementRejected(RetirementError::TooFewRemaining));
}
