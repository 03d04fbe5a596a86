//! Leases: which proxy runs which items, for how long, and how they end.

use super::job::{Item, JobTerms};
use super::result::{ItemResult, PartialText};
use nanoserde::{DeBin, SerBin};

/// Duration of a lease after its last renewal, in milliseconds.
pub const LEASE_DURATION_MS: u64 = 1500;
/// Interval at which a primary renews its leases, in milliseconds.
pub const LEASE_RENEWAL_INTERVAL_MS: u64 = 400;

/// A leased item, with its state as of the lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct LeasedItem {
    /// The item.
    pub item: Item,
    /// Failed attempts of the text so far.
    pub failed_attempts: u32,
    /// Failed attempts of the scorer's request so far.
    pub failed_scorer_attempts: u32,
    /// Text so far.
    pub partial: PartialText,
}

/// A lease: items of one group of samples that one proxy is to run.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct WorkLease {
    /// Number of the lease, unique within its store group and epoch.
    pub lease: u64,
    /// Group of batch jobs.
    pub store_group: u32,
    /// Epoch of that group.
    pub epoch: u64,
    /// Id of the job.
    pub job: String,
    /// Terms of the job's route.
    pub terms: JobTerms,
    /// Model; empty for none.
    pub model: String,
    /// Oldest version allowed.
    pub min_version: u64,
    /// Milliseconds until the results are due; 0 if that has passed.
    pub due_in_ms: u64,
    /// Milliseconds until items may be dead-lettered; 0 if that has passed.
    pub dead_letter_in_ms: u64,
    /// The items.
    pub items: Vec<LeasedItem>,
}

/// How a leased item ended at a proxy.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum ItemOutcome {
    /// Finished: the result is final.
    Finished(ItemResult),
    /// Not finished: returned with its state, to be leased again.
    Returned {
        /// Id of the item.
        id: String,
        /// Failed attempts of the text.
        failed_attempts: u32,
        /// Failed attempts of the scorer's request.
        failed_scorer_attempts: u32,
        /// Text so far.
        partial: PartialText,
    },
}

/// A lease that a proxy holds, reported to a new primary.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct ActiveLease {
    /// Group of batch jobs.
    pub store_group: u32,
    /// Id of the job.
    pub job: String,
    /// Ids of the items in flight.
    pub items: Vec<String>,
}
