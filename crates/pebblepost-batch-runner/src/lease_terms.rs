//! Terms that apply to all items of a lease.
//!
//! Times are converted to this process's clock when the lease arrives.

use crate::text::VersionRequirement;
use pebblepost_messages::batch::{JobTerms, WorkLease};
use std::time::Duration;
use tokio::time::Instant;

/// Added to the expiry of an item, so that the item has certainly expired by the store's clock as well.
const EXPIRY_MARGIN: Duration = Duration::from_millis(200);

/// Terms that apply to all items of a lease. Immutable.
#[derive(Debug)]
pub(crate) struct LeaseTerms {
    /// Id of the job.
    pub(crate) job_id: String,
    /// Terms of the job's route.
    pub(crate) job: JobTerms,
    /// Model that generates the texts; empty if none is named.
    pub(crate) model: String,
    pub(crate) versions: VersionRequirement,
    /// Time at which the results are due.
    pub(crate) due_at: Instant,
    /// Time at which unfinished items become dead letters.
    pub(crate) expires_at: Instant,
}

impl LeaseTerms {
    pub(crate) fn new(lease: &WorkLease, now: Instant) -> LeaseTerms {
        LeaseTerms {
            job_id: lease.job.clone(),
            job: lease.terms.clone(),
            model: lease.model.clone(),
            versions: VersionRequirement {
                min_version: lease.min_version,
                single_version: lease.terms.single_version,
            },
            due_at: now + Duration::from_millis(lease.due_in_ms),
            expires_at: now + Duration::from_millis(lease.dead_letter_in_ms) + EXPIRY_MARGIN,
        }
    }
}
