//! Batch jobs: their types, and the messages between proxies and storage machines.

mod job;
mod lease;
mod message;
mod result;
mod store_group;

pub use job::{Item, Job, JobTerms, Scorer};
pub use lease::{ActiveLease, ItemOutcome, LEASE_MS, LeasedItem, RENEW_MS, WorkLease};
pub use message::{FromStore, JobResponse, ResultPage, SubmitOutcome, ToStore};
pub use result::{ItemResult, PartialText, ResultState};
pub use store_group::{STORE_GROUPS, store_group_of};
