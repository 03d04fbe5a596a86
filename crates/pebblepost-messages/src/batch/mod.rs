//! Batch jobs: their types, and the messages between proxies and the batch store.

mod encoded_job;
mod estimate;
mod job;
mod lease;
mod message;
mod result;
mod store_group;
mod submission;

pub use encoded_job::EncodedJob;
pub use estimate::{ItemEstimate, estimated_item_bytes, estimated_job_bytes};
pub use job::{Item, Job, JobTerms, MAX_ENCODED_JOB_BYTES, Scorer};
pub use lease::{
    ActiveLease, ItemOutcome, LEASE_DURATION_MS, LEASE_RENEWAL_INTERVAL_MS, LeasedItem, UnsendableItems,
    WorkLease,
};
pub use message::{FromStore, JobResponse, ResultPage, SubmitOutcome, ToStore};
pub use result::{ItemResult, PartialText, ResultState};
pub use store_group::{STORE_GROUPS, store_group_of};
pub use submission::encode_submission_head;
