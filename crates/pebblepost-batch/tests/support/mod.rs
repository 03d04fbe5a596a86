//! Jobs and entries for the tests.

#![allow(dead_code)]

use pebblepost_batch::command::{Change, Command, JobResults};
use pebblepost_batch::state::BatchState;
use pebblepost_messages::batch::{Item, ItemResult, Job, JobTerms, ResultState};
use pebblepost_replication::replica::StateMachine;
use std::time::Duration;

/// Id of an item of a test job.
pub fn item_id(job: &str, index: usize) -> String {
    format!("{job}-{index}")
}

/// A job of `groups` groups of `per_group` items each, due in 5 s and given up after 20 s.
pub fn job(id: &str, groups: usize, per_group: usize, desired: u32) -> Job {
    let items = (0..groups * per_group).map(|index| Item {
        id: item_id(id, index),
        path: format!("/lots/{index}"),
        body: vec![u8::try_from(index % 251).unwrap_or(0); 8],
        group: format!("g{}", index / per_group),
        ..Item::default()
    });
    let terms =
        JobTerms { run_deadline_ms: 5_000, queue_ttl_ms: 20_000, max_attempts: 3, ..JobTerms::default() };
    Job { id: id.to_owned(), terms, desired_groups: desired, items: items.collect(), ..Job::default() }
}

/// A whole text of an item.
pub fn result(id: &str, text: &str) -> ItemResult {
    ItemResult {
        id: id.to_owned(),
        state: ResultState::Completed,
        message: text.as_bytes().to_vec(),
        ..ItemResult::default()
    }
}

/// Applies a change as the next entry.
pub fn apply(state: &mut BatchState, now_ms: u64, change: Change) {
    state.apply(1, &Command { now_ms, change }.encode());
}

/// A change that lists results of one job.
pub fn listing(job: &str, results: Vec<ItemResult>) -> Change {
    Change::AddResults(vec![JobResults { job: job.to_owned(), results }])
}

/// Milliseconds.
pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}
