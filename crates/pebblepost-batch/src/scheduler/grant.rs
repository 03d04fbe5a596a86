//! The leases that one request of a proxy for work is answered with.

use super::job_schedule::JobSchedule;
use super::lease_table::LeaseKey;
use crate::job::StoredJob;
use pebblepost_messages::batch::{LeasedItem, WorkLease};
use std::time::Duration;

/// Bytes of bodies and partial texts beyond which an answer gets no further sample group.
const MAX_BYTES: usize = 4 * 1024 * 1024;
/// Items that a proxy is granted beyond its request so that a sample group stays whole.
const MAX_EXTRA_ITEMS: usize = 8;

/// Collects leases until the request is met or the answer is large enough.
#[derive(Debug)]
pub(super) struct Grant {
    max_items: usize,
    item_count: usize,
    leases: Vec<WorkLease>,
}

impl Grant {
    /// An empty answer to a request for at most `max_items`.
    pub(super) fn new(max_items: usize) -> Grant {
        Grant { max_items, item_count: 0, leases: Vec::new() }
    }

    /// Whether another sample group may be added.
    pub(super) fn has_capacity(&self) -> bool {
        self.item_count < self.max_items && self.body_bytes() < MAX_BYTES
    }

    /// Items that the next sample group may add at most.
    pub(super) fn max_items_of_group(&self) -> usize {
        self.max_items - self.item_count + MAX_EXTRA_ITEMS
    }

    /// Whether nothing was granted.
    pub(super) fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }

    /// Whether fewer items were granted than were asked for.
    pub(super) fn falls_short(&self) -> bool {
        self.leases.is_empty() || self.item_count < self.max_items
    }

    /// Adds a lease.
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

/// A lease of items of one job, with what its message is made of.
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
            store_group: self.key.group,
            epoch: self.epoch,
            job: job.id.clone(),
            terms: job.terms.clone(),
            model: job.model.clone(),
            min_version: job.min_version,
            due_in_ms: self.schedule.due_in_ms(now),
            expires_in_ms: self.schedule.expires_in_ms(now),
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
