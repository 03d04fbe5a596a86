//! Messages between proxies and stores as lines.
//!
//! The words of the lines are fixed here: they do not follow the names of types and fields in the code.

use pebblepost_messages::batch::{
    ActiveLease, FromStore, ItemOutcome, ItemResult, JobResponse, ResultPage, SubmitOutcome, ToStore,
    WorkLease,
};
use std::fmt::Debug;

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
            let active = |lease: &ActiveLease| format!("{:?} of {}", lease.items, lease.job);
            format!("Holding [{}]", leases.iter().map(active).collect::<Vec<_>>().join(", "))
        }
        ToStore::Read { call, store_group, job, start, wait_ms } => format!(
            "Read {{ call: {call}, store_group: {store_group}, job: {job:?}, start: {start}, wait_ms: {wait_ms} }}"
        ),
        ToStore::ItemBody { call, store_group, job, item } => {
            format!("ItemBody {{ call: {call}, store_group: {store_group}, job: {job:?}, item: {item:?} }}")
        }
        ToStore::End { call, store_group, job } => {
            format!("End {{ call: {call}, store_group: {store_group}, job: {job:?} }}")
        }
        ToStore::RequestWork { max_items } => format!("TakeWork {{ most_items: {max_items} }}"),
        other => format!("{other:?}"),
    }
}

/// A message from a store.
pub fn from_store(message: &FromStore) -> String {
    match message {
        FromStore::Work(leases) => {
            format!("Work [{}]", leases.iter().map(lease).collect::<Vec<_>>().join(", "))
        }
        FromStore::Results { call, answer: JobResponse::Found(found) } => {
            format!("Results call {call}: {}", page(found))
        }
        FromStore::Body { call, answer: JobResponse::Found(body) } => {
            format!("Body call {call}: {:?}", String::from_utf8_lossy(body))
        }
        FromStore::Submitted { call, outcome } => {
            format!("Submitted {{ call: {call}, outcome: {} }}", submit_outcome(*outcome))
        }
        FromStore::Results { call, answer } => {
            format!("Results {{ call: {call}, answer: {} }}", job_answer(answer))
        }
        FromStore::Body { call, answer } => {
            format!("Body {{ call: {call}, answer: {} }}", job_answer(answer))
        }
        FromStore::Ended { call, answer } => {
            format!("Ended {{ call: {call}, answer: {} }}", job_answer(answer))
        }
        FromStore::Cancel { jobs } => format!("Cancel {{ jobs: {jobs:?} }}"),
        FromStore::Renew { groups } => format!("Renew {{ groups: {groups:?} }}"),
        FromStore::WorkAvailable => "WorkAvailable".to_owned(),
        other => format!("{other:?}"),
    }
}

fn submit_outcome(outcome: SubmitOutcome) -> String {
    match outcome {
        SubmitOutcome::Accepted => "Accepted".to_owned(),
        SubmitOutcome::Rejected { retry_after_ms } => {
            format!("Refused {{ retry_after_ms: {retry_after_ms} }}")
        }
        SubmitOutcome::NotPrimary => "NotPrimary".to_owned(),
        SubmitOutcome::Unknown => "Unknown".to_owned(),
    }
}

fn job_answer<T: Debug>(answer: &JobResponse<T>) -> String {
    match answer {
        JobResponse::Found(found) => format!("Found({found:?})"),
        JobResponse::NotFound => "NoSuch".to_owned(),
        JobResponse::Unavailable => "NotSure".to_owned(),
    }
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
