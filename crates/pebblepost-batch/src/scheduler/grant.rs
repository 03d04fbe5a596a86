//! The leases that are granted in response to one request for work.

use super::job_schedule::JobSchedule;
use super::lease_table::LeaseKey;
use crate::job::StoredJob;
use pebblepost_messages::batch::{LeasedItem, WorkLease};
use std::time::Duration;

/// Total size of bodies and partial texts from which on no further sample group is added to a response.
/// The last sample group added may exceed it.
const GRANT_SOFT_LIMIT_BYTES: usize = 4 * 1024 * 1024;
/// Maximum number of items granted beyond the request, so that the last sample group is not split.
const MAX_EXTRA_ITEMS_PER_GRANT: usize = 8;

/// Collects leases until the requested number of items or [`GRANT_SOFT_LIMIT_BYTES`] is reached.
#[derive(Debug)]
pub(super) struct Grant {
    max_items: usize,
    item_count: usize,
    leases: Vec<WorkLease>,
}

impl Grant {
    /// Creates an empty grant for a request for at most `max_items` items.
    pub(super) fn new(max_items: usize) -> Grant {
        Grant { max_items, item_count: 0, leases: Vec::new() }
    }

    /// Returns whether another sample group may be added.
    pub(super) fn has_capacity(&self) -> bool {
        self.item_count < self.max_items && self.body_bytes() < GRANT_SOFT_LIMIT_BYTES
    }

    /// Returns the maximum number of items that the next sample group may add.
    ///
    /// Must be called only while [`Grant::has_capacity`] returns true; otherwise the subtraction may
    /// underflow.
    pub(super) fn max_items_of_next_sample_group(&self) -> usize {
        self.max_items - self.item_count + MAX_EXTRA_ITEMS_PER_GRANT
    }

    /// Returns whether no lease was granted.
    pub(super) fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }

    /// Returns whether fewer items were granted than requested, or none at all.
    pub(super) fn is_incomplete(&self) -> bool {
        self.leases.is_empty() || self.item_count < self.max_items
    }

    pub(super) fn add(&mut self, now: Duration, lease: &NewLease<'_>) {
        self.item_count += lease.items.len();
        self.leases.push(lease.message(now));
    }

    pub(super) fn into_leases(self) -> Vec<WorkLease> {
        self.leases
    }

    fn body_bytes(&self) -> usize {
        let items = self.leases.iter().flat_map(|lease| &lease.items);
        items.map(|leased| leased.item.body.len() + leased.partial.message.len()).sum()
    }
}

/// A new lease of items of one job and the state that its message is built from.
#[derive(Debug)]
pub(super) struct NewLease<'a> {
    pub(super) key: LeaseKey,
    pub(super) epoch: u64,
    pub(super) schedule: &'a JobSchedule,
    pub(super) job: &'a StoredJob,
    /// Indices of the items.
    pub(super) items: &'a [usize],
}

impl NewLease<'_> {
    fn message(&self, now: Duration) -> WorkLease {
        let job = self.job.job();
        WorkLease {
            lease: self.key.number,
            store_group: self.key.store_group,
            epoch: self.epoch,
            job: job.id.clone(),
            terms: job.terms.clone(),
            model: job.model.clone(),
            min_version: job.min_version,
            due_in_ms: self.schedule.due_in_ms(now),
            dead_letter_in_ms: self.schedule.expires_in_ms(now),
            items: self.items.iter().filter_map(|index| self.leased_item(*index)).collect(),
        }
    }

    fn leased_item(&self, index: usize) -> Option<LeasedItem> {
        let item = self.job.pending_item(index)?.clone();
        let progress = self.schedule.items.progress(index);
        Some(LeasedItem {
            item,
            failed_attempts: progress.failed_attempts,
            failed_scorer_attempts: progress.failed_scorer_attempts,
            partial: progress.partial,
        })
    }
}
