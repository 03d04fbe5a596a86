//! Messages between proxies and stores as lines, and their comparison with an approved text.

use pebblepost_messages::batch::{
    ActiveLease, FromStore, ItemOutcome, ItemResult, JobAnswer, ResultPage, ToStore, WorkLease,
};
use std::fmt::Debug;
use std::path::Path;

/// Set to write the approved texts anew.
const APPROVE_VARIABLE: &str = "APPROVE";

/// A message to a store.
pub fn to_store(message: &ToStore) -> String {
    match message {
        ToStore::Submit { call, store_group, job } => {
            format!("Submit call {call}: job {} of group {store_group}, {} items", job.id, job.items.len())
        }
        ToStore::Outcomes { store_group, job, lease, outcomes } => {
            let outcomes: Vec<String> = outcomes.iter().map(outcome).collect();
            format!(
                "Outcomes of job {job} of group {store_group}, lease {}: {}",
                short(*lease),
                outcomes.join(", ")
            )
        }
        ToStore::ActiveLeases(leases) => {
            let held = |lease: &ActiveLease| format!("{:?} of {}", lease.items, lease.job);
            format!("Holding [{}]", leases.iter().map(held).collect::<Vec<_>>().join(", "))
        }
        other => format!("{other:?}"),
    }
}

/// A message from a store.
pub fn from_store(message: &FromStore) -> String {
    match message {
        FromStore::Work(leases) => {
            format!("Work [{}]", leases.iter().map(lease).collect::<Vec<_>>().join(", "))
        }
        FromStore::Results { call, answer: JobAnswer::Found(found) } => {
            format!("Results call {call}: {}", page(found))
        }
        FromStore::Body { call, answer: JobAnswer::Found(body) } => {
            format!("Body call {call}: {:?}", String::from_utf8_lossy(body))
        }
        other => format!("{other:?}"),
    }
}

/// Compares lines with the approved ones of `tests/transcripts`.
pub fn approve(name: &str, lines: &[String]) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/transcripts").join(name);
    let text = lines.join("\n") + "\n";
    if std::env::var_os(APPROVE_VARIABLE).is_some() {
        std::fs::write(&path, &text).expect("writing the approved text");
    }
    let approved = std::fs::read_to_string(&path).unwrap_or_default();
    assert!(approved == text, "{} differs; received:\n{text}", path.display());
}

fn outcome(outcome: &ItemOutcome) -> String {
    match outcome {
        ItemOutcome::Finished(finished) => result(finished),
        ItemOutcome::Returned { id, partial, .. } => {
            format!("{id} returned after event {}", partial.last_event)
        }
    }
}

fn lease(lease: &WorkLease) -> String {
    let items: Vec<&str> = lease.items.iter().map(|leased| leased.item.id.as_str()).collect();
    format!("lease {} of group {} epoch {}: {items:?}", short(lease.lease), lease.store_group, lease.epoch)
}

fn page(page: &ResultPage) -> String {
    let results: Vec<String> = page.results.iter().map(result).collect();
    format!("from {} of {}: [{}]", page.start, page.total, results.join(", "))
}

fn result(result: &ItemResult) -> String {
    format!("{} {}", result.id, words(&result.state))
}

fn words(state: &impl Debug) -> String {
    format!("{state:?}").to_lowercase()
}

/// A lease's epoch and its number in it.
fn short(lease: u64) -> String {
    format!("{}.{}", lease >> 32, lease & u64::from(u32::MAX))
}
