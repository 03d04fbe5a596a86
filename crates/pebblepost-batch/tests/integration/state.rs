//! Tests of the replicated state with random and with chosen log entries.

use crate::support::{append_results, apply, item_id, job, ms, result};
use pebblepost_batch::admission::{MemoryBudget, MemoryUse};
use pebblepost_batch::clock::{GroupClock, IDLE_TIME_STAMP_INTERVAL, TIME_STAMP_INTERVAL};
use pebblepost_batch::command::{Change, Command};
use pebblepost_batch::state::{BatchState, Retention};
use pebblepost_messages::batch::{ItemResult, Job, estimated_job_bytes};
use pebblepost_replication::replica::StateMachine;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const RETENTION: Retention = Retention { ended: Duration::from_secs(120), open: Duration::from_secs(120) };

/// Results of each job that readers have seen, by position.
type SeenResults = BTreeMap<String, Vec<ItemResult>>;

/// Checks the results of a job against those seen before. Returns a description of the violation, if any.
fn find_violation(seen: &SeenResults, id: &str, results: &[ItemResult]) -> Option<String> {
    let ids: BTreeSet<&String> = results.iter().map(|result| &result.id).collect();
    if ids.len() != results.len() {
        return Some(format!("job {id} lists an item twice"));
    }
    let before = seen.get(id).map_or(&[][..], Vec::as_slice);
    if results.len() < before.len() || results[..before.len()] != *before {
        return Some(format!("job {id} changed a result that was read"));
    }
    None
}

fn random_change(random: &mut StdRng) -> Change {
    let id = format!("job{}", random.random_range(0..4));
    match random.random_range(0..20) {
        0..3 => Change::AddJob(job(&id, random.random_range(1..5), 3, 2)),
        3..18 => {
            let results = (0..random.random_range(1..4)).map(|_| {
                let item = item_id(&id, random.random_range(0..14));
                result(&item, &format!("text {}", random.random_range(0..1000)))
            });
            append_results(&id, results.collect())
        }
        18 => Change::EndJob { job: id },
        _ => Change::DeleteJobs { jobs: vec![id] },
    }
}

#[rstest]
fn results_never_change_and_survive_snapshots() {
    for seed in 0..300 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut state = BatchState::default();
        let mut seen = SeenResults::new();
        for step in 0..200 {
            let change = random_change(&mut random);
            if let Change::DeleteJobs { jobs } = &change {
                jobs.iter().for_each(|id| drop(seen.remove(id)));
            }
            apply(&mut state, step * 7, change);
            for stored in state.jobs() {
                assert_eq!(
                    find_violation(&seen, stored.id(), stored.results()),
                    None,
                    "seed {seed} step {step}"
                );
                seen.insert(stored.id().to_owned(), stored.results().to_vec());
            }
            if random.random_range(0..10) == 0 {
                let mut restored = BatchState::default();
                restored.restore(&state.snapshot());
                assert_eq!(restored, state, "seed {seed} step {step}");
                state = restored;
            }
        }
    }
}

#[rstest]
#[case::duplicate_item(&["a"], &["a", "b", "a"], "twice")]
#[case::changed_result(&["a", "b"], &["a", "c"], "changed")]
#[case::missing_result(&["a", "b"], &["a"], "changed")]
fn checker_detects_invalid_reads(#[case] before: &[&str], #[case] after: &[&str], #[case] word: &str) {
    let list = |ids: &[&str]| ids.iter().map(|id| result(id, "text")).collect::<Vec<_>>();
    let seen = SeenResults::from([("j".to_owned(), list(before))]);
    let found = find_violation(&seen, "j", &list(after));
    assert!(found.is_some_and(|found| found.contains(word)));
}

#[rstest]
fn adding_a_job_is_idempotent() {
    let mut state = BatchState::default();
    apply(&mut state, 1, Change::AddJob(job("j", 2, 2, 1)));
    apply(&mut state, 2, append_results("j", vec![result("j-0", "text")]));
    let before = state.job("j").cloned();
    apply(&mut state, 3, Change::AddJob(job("j", 5, 5, 1)));
    assert_eq!(state.job("j").cloned(), before);
}

#[rstest]
fn first_result_of_an_item_is_final() {
    let mut state = BatchState::default();
    apply(&mut state, 1, Change::AddJob(job("j", 1, 2, 1)));
    apply(&mut state, 2, append_results("j", vec![result("j-1", "first"), result("j-1", "second")]));
    apply(
        &mut state,
        3,
        append_results("j", vec![result("j-1", "third"), result("other", "x"), result("j-0", "zero")]),
    );
    let stored = state.job("j").expect("the job is stored");
    assert_eq!(stored.results(), [result("j-1", "first"), result("j-0", "zero")]);
    assert!(stored.is_complete());
}

#[rstest]
fn only_pending_items_have_a_body() {
    let mut state = BatchState::default();
    apply(&mut state, 1, Change::AddJob(job("j", 1, 2, 1)));
    apply(&mut state, 2, append_results("j", vec![result("j-0", "text")]));
    let stored = state.job("j").expect("the job is stored");
    assert_eq!(stored.pending_index("j-0"), None);
    let index = stored.pending_index("j-1").expect("a pending item");
    assert_eq!(stored.pending_item(index).map(|item| item.body.clone()), Some(vec![1; 8]));
}

#[rstest]
fn ended_job_keeps_its_results_and_ignores_later_ones() {
    let mut state = BatchState::default();
    apply(&mut state, 1, Change::AddJob(job("j", 1, 3, 1)));
    apply(&mut state, 2, append_results("j", vec![result("j-2", "text")]));
    apply(&mut state, 3, Change::EndJob { job: "j".to_owned() });
    apply(&mut state, 4, Change::EndJob { job: "j".to_owned() });
    apply(&mut state, 5, append_results("j", vec![result("j-0", "late")]));
    let stored = state.job("j").expect("the job is stored");
    assert_eq!(stored.results(), [result("j-2", "text")]);
    assert_eq!(stored.item_count(), 3);
    assert!(stored.job().items.is_empty());
}

#[rstest]
#[case::from_the_start(0, 25, &["j-0", "j-1"])]
#[case::later(1, 25, &["j-1", "j-2"])]
#[case::at_least_one(1, 1, &["j-1"])]
#[case::at_the_end(3, 25, &[])]
#[case::beyond_the_end(9, 25, &[])]
fn page_is_limited_by_bytes(#[case] start: u64, #[case] max_hundred_bytes: usize, #[case] expected: &[&str]) {
    let mut state = BatchState::default();
    apply(&mut state, 1, Change::AddJob(job("j", 1, 4, 1)));
    let results = (0..3).map(|index| result(&item_id("j", index), &"x".repeat(800)));
    apply(&mut state, 2, append_results("j", results.collect()));
    let page = state.job("j").expect("the job is stored").page(start, max_hundred_bytes * 100);
    let ids: Vec<&str> = page.results.iter().map(|result| result.id.as_str()).collect();
    assert_eq!((page.total, page.start, ids.as_slice()), (4, start, expected));
}

#[rstest]
fn jobs_are_listed_for_deletion_after_their_retention_period() {
    let mut state = BatchState::default();
    apply(&mut state, 1_000, Change::AddJob(job("ended", 1, 1, 1)));
    apply(&mut state, 1_000, Change::AddJob(job("open", 1, 1, 1)));
    apply(&mut state, 2_000, Change::EndJob { job: "ended".to_owned() });
    assert!(state.jobs_past_retention(121_000, RETENTION).is_empty());
    assert_eq!(state.jobs_past_retention(121_001, RETENTION), ["ended"]);
    assert_eq!(state.jobs_past_retention(141_001, RETENTION), ["ended", "open"]);
    apply(&mut state, 141_001, Change::DeleteJobs { jobs: vec!["ended".to_owned(), "open".to_owned()] });
    assert_eq!((state.jobs().count(), state.estimated_bytes()), (0, 0));
}

#[rstest]
fn estimated_bytes_decrease_with_results_and_when_a_job_ends() {
    let mut state = BatchState::default();
    let mut large_job = job("j", 1, 4, 1);
    large_job.items.iter_mut().for_each(|item| item.body = vec![7; 10_000]);
    apply(&mut state, 1, Change::AddJob(large_job));
    let open = state.estimated_bytes();
    apply(&mut state, 2, append_results("j", vec![result("j-0", "text")]));
    let with_result = state.estimated_bytes();
    apply(&mut state, 3, Change::EndJob { job: "j".to_owned() });
    assert!(open > with_result && with_result > state.estimated_bytes() && state.estimated_bytes() > 0);
}

#[rstest]
fn undecodable_bytes_mark_the_state_damaged() {
    let mut state = BatchState::default();
    state.apply(1, &[1, 2, 3]);
    assert!(state.is_damaged());
    let mut state = BatchState::default();
    state.restore(&[1, 2, 3]);
    assert!(state.is_damaged());
}

#[rstest]
fn group_clock_counts_from_its_time_stamp_and_is_never_before_it() {
    let clock = GroupClock::new(ms(500), 10_000);
    assert_eq!(clock.now_ms(ms(700)), 10_200);
    assert_eq!(clock.now_ms(ms(500)), 10_000);
    assert_eq!(clock.now_ms(ms(100)), 10_000);
}

#[rstest]
fn time_of_the_state_is_its_newest_time_stamp() {
    let mut state = BatchState::default();
    state.apply(1, &Command::time_stamp(10_150).encode());
    assert_eq!(state.clock_ms(), 10_150);
    state.apply(2, &Command::time_stamp(10_100).encode());
    assert_eq!(state.clock_ms(), 10_150);
}

#[rstest]
fn time_stamps_are_due_sooner_while_items_are_pending() {
    let mut state = BatchState::default();
    assert_eq!(state.time_stamp_interval(), None);
    apply(&mut state, 1, Change::AddJob(job("j", 1, 1, 1)));
    assert_eq!(state.time_stamp_interval(), Some(TIME_STAMP_INTERVAL));
    apply(&mut state, 2, append_results("j", vec![result("j-0", "text")]));
    assert_eq!(state.time_stamp_interval(), Some(IDLE_TIME_STAMP_INTERVAL));
    apply(&mut state, 3, Change::DeleteJobs { jobs: vec!["j".to_owned()] });
    assert_eq!(state.time_stamp_interval(), None);
}

#[rstest]
fn budget_rejects_jobs_that_exceed_it() {
    let budget = MemoryBudget::new(1_000_000, 2_000_000);
    assert_eq!(budget.max_bytes(), 600_000);
    let small = job("j", 1, 10, 1);
    let stored = |stored_bytes| MemoryUse { stored_bytes, accepting_bytes: 0 };
    assert!(budget.admits(stored(0), estimated_job_bytes(&small)));
    assert!(!budget.admits(stored(590_000), estimated_job_bytes(&small)));
    assert!(budget.admits(stored(600_000), estimated_job_bytes(&Job::default())));
    let accepting = |accepting_bytes| MemoryUse { stored_bytes: 0, accepting_bytes };
    assert!(budget.admits(accepting(0), 600_000), "one job may take all that there is");
    assert!(budget.admits(accepting(100_000), 300_000));
    assert!(!budget.admits(accepting(100_000), 300_001), "jobs together may take two fifths of the memory");
}
