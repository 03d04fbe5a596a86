//! Work leases: which proxy runs which items, for how long, and with which outcome.

use super::job::{Item, JobTerms};
use super::result::{ItemResult, PartialText};
use nanoserde::{DeBin, SerBin};

/// Duration of a work lease from its last renewal, in milliseconds.
pub const LEASE_DURATION_MS: u64 = 1500;
/// Interval at which a primary renews its work leases, in milliseconds.
pub const LEASE_RENEWAL_INTERVAL_MS: u64 = 400;

/// A leased item, with its state at the time of the grant.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct LeasedItem {
    /// The item.
    pub item: Item,
    /// Number of failed attempts so far to generate the text.
    pub failed_attempts: u32,
    /// Number of failed attempts so far of the scoring request.
    pub failed_scorer_attempts: u32,
    /// Text generated so far.
    pub partial: PartialText,
}

/// A work lease: the permission for one proxy to run items of one group of samples.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct WorkLease {
    /// Number of the work lease, unique within its store group and epoch.
    pub lease: u64,
    /// Store group of the job.
    pub store_group: u32,
    /// Epoch of the store group in which the work lease was granted.
    pub epoch: u64,
    /// Id of the job.
    pub job: String,
    /// Terms under which the job runs.
    pub terms: JobTerms,
    /// Name of the model; empty if the job names none.
    pub model: String,
    /// Oldest weight version that may generate tokens.
    pub min_version: u64,
    /// Time until the results are due, in milliseconds; 0 if they are overdue.
    pub due_in_ms: u64,
    /// Time until items may be dead-lettered, in milliseconds; 0 if they may be already.
    pub dead_letter_in_ms: u64,
    /// Leased items.
    pub items: Vec<LeasedItem>,
}

/// Outcome of a leased item at a proxy.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum ItemOutcome {
    /// The result is final.
    Finished(ItemResult),
    /// The item is unfinished and is returned with its state, to be leased again.
    Returned {
        /// Id of the item.
        id: String,
        /// Number of failed attempts to generate the text.
        failed_attempts: u32,
        /// Number of failed attempts of the scoring request.
        failed_scorer_attempts: u32,
        /// Text generated so far.
        partial: PartialText,
    },
}

/// A work lease that a proxy holds, as reported to a new primary.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct ActiveLease {
    /// Store group of the job.
    pub store_group: u32,
    /// Id of the job.
    pub job: String,
    /// Ids of the items in flight.
    pub items: Vec<String>,
}

/// Items that a proxy cannot send at present: those of a job whose path begins with a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, SerBin, DeBin)]
pub struct UnsendableItems {
    /// Id of the job.
    pub job: String,
    /// Beginning of the items' paths.
    pub path_prefix: String,
}
