//! Formats messages between proxies and stores as lines of a transcript.
//!
//! The wording of the lines is fixed here, because the approved transcripts contain it. It does not follow the names
//! of types and fields in the code.

use pebblepost_messages::batch::{
    ActiveLease, FromStore, ItemOutcome, ItemResult, JobResponse, ResultPage, SubmitOutcome, ToStore,
    WorkLease,
};
use std::fmt::Debug;

/// Formats a message to a store.
pub fn format_to_store(message: &ToStore) -> String {
    match message {
        ToStore::Submit { call, store_group, job } => {
            format!("Submit call {call}: job {} of group {store_group}, {} items", job.id(), job.item_count())
        }
        ToStore::Outcomes { store_group, job, lease, outcomes } => {
            let outcomes: Vec<String> = outcomes.iter().map(format_outcome).collect();
            format!(
                "Outcomes of job {job} of group {store_group}, lease {}: {}",
                format_lease_id(*lease),
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

/// Formats a message from a store.
pub fn format_from_store(message: &FromStore) -> String {
    match message {
        FromStore::Work(leases) => {
            format!("Work [{}]", leases.iter().map(format_lease).collect::<Vec<_>>().join(", "))
        }
        FromStore::Results { call, answer: JobResponse::Found(found) } => {
            format!("Results call {call}: {}", format_page(found))
        }
        FromStore::Body { call, answer: JobResponse::Found(body) } => {
            format!("Body call {call}: {:?}", String::from_utf8_lossy(body))
        }
        FromStore::Submitted { call, outcome } => {
            format!("Submitted {{ call: {call}, outcome: {} }}", format_submit_outcome(*outcome))
        }
        FromStore::Results { call, answer } => {
            format!("Results {{ call: {call}, answer: {} }}", format_job_answer(answer))
        }
        FromStore::Body { call, answer } => {
            format!("Body {{ call: {call}, answer: {} }}", format_job_answer(answer))
        }
        FromStore::Ended { call, answer } => {
            format!("Ended {{ call: {call}, answer: {} }}", format_job_answer(answer))
        }
        FromStore::Cancel { jobs } => format!("Cancel {{ jobs: {jobs:?} }}"),
        FromStore::Renew { groups } => format!("Renew {{ groups: {groups:?} }}"),
        FromStore::WorkAvailable => "WorkAvailable".to_owned(),
        other => format!("{other:?}"),
    }
}

fn format_submit_outcome(outcome: SubmitOutcome) -> String {
    match outcome {
        SubmitOutcome::Accepted => "Accepted".to_owned(),
        SubmitOutcome::Rejected { retry_after_ms } => {
            format!("Refused {{ retry_after_ms: {retry_after_ms} }}")
        }
        SubmitOutcome::NotPrimary => "NotPrimary".to_owned(),
        SubmitOutcome::Unknown => "Unknown".to_owned(),
        SubmitOutcome::Reserved => "Reserved".to_owned(),
    }
}

fn format_job_answer<T: Debug>(answer: &JobResponse<T>) -> String {
    match answer {
        JobResponse::Found(found) => format!("Found({found:?})"),
        JobResponse::NotFound => "NoSuch".to_owned(),
        JobResponse::Unavailable => "NotSure".to_owned(),
    }
}

fn format_outcome(outcome: &ItemOutcome) -> String {
    match outcome {
        ItemOutcome::Finished(finished) => format_result(finished),
        ItemOutcome::Returned { id, partial, .. } => {
            format!("{id} returned after event {}", partial.last_event)
        }
    }
}

fn format_lease(lease: &WorkLease) -> String {
    let items: Vec<&str> = lease.items.iter().map(|leased| leased.item.id.as_str()).collect();
    format!(
        "lease {} of group {} epoch {}: {items:?}",
        format_lease_id(lease.lease),
        lease.store_group,
        lease.epoch
    )
}

fn format_page(page: &ResultPage) -> String {
    let results: Vec<String> = page.results.iter().map(format_result).collect();
    format!("from {} of {}: [{}]", page.start, page.total, results.join(", "))
}

fn format_result(result: &ItemResult) -> String {
    format!("{} {}", result.id, lowercase_debug(&result.state))
}

fn lowercase_debug(state: &impl Debug) -> String {
    format!("{state:?}").to_lowercase()
}

/// Formats a lease as its epoch and its number within the epoch.
fn format_lease_id(lease: u64) -> String {
    format!("{}.{}", lease >> 32, lease & u64::from(u32::MAX))
}
