//! Test jobs, results and log entries, and the comparison with approved files.

use pebblepost_batch::command::{Change, Command, JobResults};
use pebblepost_batch::state::BatchState;
use pebblepost_messages::batch::{Item, ItemResult, Job, JobTerms, ResultState};
use pebblepost_replication::replica::StateMachine;
use std::time::Duration;

/// Returns the id of an item of a test job.
pub fn item_id(job: &str, index: usize) -> String {
    format!("{job}-{index}")
}

/// Creates a job of `groups` sample groups with `per_group` items each. Its results are due after 5 s, and
/// its items expire after 20 s.
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

/// Creates a completed result of an item.
pub fn result(id: &str, text: &str) -> ItemResult {
    ItemResult {
        id: id.to_owned(),
        state: ResultState::Completed,
        message: text.as_bytes().to_vec(),
        ..ItemResult::default()
    }
}

/// Applies a change as a log entry with the time stamp `now_ms`.
pub fn apply(state: &mut BatchState, now_ms: u64, change: Change) {
    state.apply(1, &Command { now_ms, change }.encode());
}

/// Creates a change that appends results of one job.
pub fn append_results(job: &str, results: Vec<ItemResult>) -> Change {
    Change::AppendResults(vec![JobResults { job: job.to_owned(), results }])
}

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Encodes bytes in hexadecimal.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Decodes hexadecimal digits.
pub fn from_hex(text: &str) -> Vec<u8> {
    let digits = |start: usize| u8::from_str_radix(&text[start..start + 2], 16).expect("hexadecimal digits");
    (0..text.len()).step_by(2).map(digits).collect()
}

/// Compares lines with a file in `tests/approved`. If the environment variable `APPROVE` is set, the file
/// is overwritten first.
pub fn approve(name: &str, lines: &[String]) {
    let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/approved").join(name);
    let text = lines.join("\n") + "\n";
    if std::env::var_os("APPROVE").is_some() {
        std::fs::write(&path, &text).expect("writing the approved file");
    }
    let approved = std::fs::read_to_string(&path).unwrap_or_default();
    assert!(approved == text, "{} differs; received:\n{text}", path.display());
}

/// Reads a file in `tests/approved` whose lines consist of a name and a value.
pub fn approved(name: &str) -> std::collections::BTreeMap<String, String> {
    let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/approved").join(name);
    let text = std::fs::read_to_string(&path).expect("reading the approved file");
    let pairs = text.lines().filter_map(|line| line.split_once(' '));
    pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect()
}
