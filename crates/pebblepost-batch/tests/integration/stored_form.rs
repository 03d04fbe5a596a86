//! The binary form of log entries and snapshots: the bytes written by earlier versions are decoded, and
//! the encoded bytes do not change.

use crate::support::{apply, approve, approved, from_hex, hex};
use pebblepost_batch::command::{Change, Command, JobResults};
use pebblepost_batch::state::BatchState;
use pebblepost_messages::batch::{Item, ItemResult, Job, JobTerms, ResultState, Scorer};
use pebblepost_replication::replica::StateMachine;
use rstest::rstest;

/// Creates a job in which every field is set.
fn full_job(id: &str) -> Job {
    let item = |number: u8| Item {
        id: format!("{id}-{number}"),
        path: format!("/run/{number}"),
        headers: vec![("name".to_owned(), format!("value {number}"))],
        body: vec![number, 255, 0, 7],
        tokens: 4_000 + u64::from(number),
        group: format!("g{}", number / 2),
        scorer: (number == 1).then(|| Scorer {
            id: "score-1".to_owned(),
            hostname: "scorer".to_owned(),
            path: "/score".to_owned(),
            body: b"of it".to_vec(),
        }),
    };
    let terms = JobTerms {
        route: "route".to_owned(),
        hostname: "host".to_owned(),
        run_deadline_ms: 5_001,
        queue_ttl_ms: 60_002,
        max_attempts: 3,
        priority: 2,
        single_version: true,
    };
    Job {
        id: id.to_owned(),
        terms,
        step: 77,
        model: "model".to_owned(),
        min_version: 12,
        desired_groups: 2,
        items: (0..4).map(item).collect(),
    }
}

fn full_result(id: &str, state: ResultState) -> ItemResult {
    ItemResult {
        id: id.to_owned(),
        state,
        message: b"first\nsecond".to_vec(),
        versions: vec![12, 13],
        score: "0.25".to_owned(),
    }
}

fn changes() -> Vec<(&'static str, Change)> {
    let results = vec![
        JobResults {
            job: "a".to_owned(),
            results: vec![
                full_result("a-2", ResultState::Completed),
                full_result("a-0", ResultState::DeadLetter),
            ],
        },
        JobResults { job: "b".to_owned(), results: vec![full_result("b-1", ResultState::Completed)] },
    ];
    vec![
        ("add_job", Change::AddJob(full_job("a"))),
        ("add_results", Change::AppendResults(results)),
        ("end_job", Change::EndJob { job: "b".to_owned() }),
        ("forget_jobs", Change::DeleteJobs { jobs: vec!["a".to_owned(), "b".to_owned()] }),
    ]
}

/// Creates a state with an open job, a job that has ended and a job without results.
fn full_state() -> BatchState {
    let mut state = BatchState::default();
    let mut commands =
        vec![Change::AddJob(full_job("b")), Change::AddJob(full_job("a")), Change::AddJob(full_job("c"))];
    commands.extend(changes().into_iter().take(3).map(|(_, change)| change));
    for (now_ms, change) in (1_000..).step_by(10).zip(commands) {
        apply(&mut state, now_ms, change);
    }
    state
}

#[rstest]
fn entries_encode_to_the_approved_bytes() {
    let lines = changes().into_iter().map(|(name, change)| {
        let command = Command { now_ms: 1_234_567_890_123, change };
        format!("{name} {}", hex(&command.encode()))
    });
    approve("commands.txt", &lines.collect::<Vec<_>>());
}

#[rstest]
fn entries_of_earlier_versions_are_decoded() {
    let approved = approved("commands.txt");
    for (name, change) in changes() {
        let command = Command::decode(&from_hex(&approved[name])).expect("the approved entry decodes");
        assert_eq!(command, Command { now_ms: 1_234_567_890_123, change }, "{name}");
    }
}

#[rstest]
fn snapshots_encode_to_the_approved_bytes() {
    let snapshot = hex(&full_state().snapshot());
    approve("snapshot.txt", &[format!("snapshot {snapshot}")]);
}

#[rstest]
fn snapshots_of_earlier_versions_are_restored() {
    let snapshot = from_hex(&approved("snapshot.txt")["snapshot"]);
    let mut restored = BatchState::default();
    restored.restore(&snapshot);
    assert!(!restored.is_damaged());
    assert_eq!(restored, full_state());
    assert_eq!(restored.snapshot(), snapshot);
    assert_eq!(restored.estimated_bytes(), 25_761);
}

#[rstest]
#[case::truncated_entry(&[1, 2, 3])]
#[case::unknown_change(&[0, 0, 0, 0, 0, 0, 0, 0, 9, 0])]
fn rejects_undecodable_entries(#[case] bytes: &[u8]) {
    assert!(Command::decode(bytes).is_err());
}
