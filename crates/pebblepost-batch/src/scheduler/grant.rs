//! The leases that are granted in response to one request for work.

use super::item_table::ItemTable;
use super::job_schedule::JobSchedule;
use super::lease_table::LeaseKey;
use crate::job::StoredJob;
use pebblepost_messages::batch::{Item, LeasedItem, PartialText, Scorer, WorkLease};
use std::time::Duration;

/// Size from which on no further sample group is added to a response.
const GRANT_SOFT_LIMIT_BYTES: usize = 4 * 1024 * 1024;
/// Maximum size of a response with more than one item. The last sample group is split if it would exceed it.
const MAX_GRANT_BYTES: usize = 8 * 1024 * 1024;
/// Maximum number of items granted beyond the request, so that the last sample group is not split.
const MAX_EXTRA_ITEMS_PER_GRANT: usize = 8;
/// Maximum size of an encoded lease or item, excluding its texts and lists.
const ENCODED_FIELDS_BYTES: usize = 160;
/// Size of the length of an encoded text or list.
const ENCODED_LENGTH_BYTES: usize = 8;

/// Collects leases until the requested number of items or [`GRANT_SOFT_LIMIT_BYTES`] is reached.
#[derive(Debug)]
pub(super) struct Grant {
    max_items: usize,
    item_count: usize,
    /// Upper bound of the size of the encoded leases.
    bytes: usize,
    leases: Vec<WorkLease>,
}

impl Grant {
    /// Creates an empty grant for a request for at most `max_items` items.
    pub(super) fn new(max_items: usize) -> Grant {
        Grant { max_items, item_count: 0, bytes: 0, leases: Vec::new() }
    }

    /// Returns whether another sample group may be added.
    pub(super) fn has_capacity(&self) -> bool {
        self.item_count < self.max_items && self.bytes < GRANT_SOFT_LIMIT_BYTES
    }

    /// Records that the next sample group does not fit.
    pub(super) fn set_full(&mut self) {
        self.bytes = self.bytes.max(GRANT_SOFT_LIMIT_BYTES);
    }

    /// Returns the beginning of a list of items of one sample group that fits into the grant: as many as were
    /// requested, and a few more, within [`MAX_GRANT_BYTES`]. The first item of a grant always fits.
    pub(super) fn fitting<'items>(
        &self, job: &StoredJob, table: &ItemTable, items: &'items [usize],
    ) -> &'items [usize] {
        let max_items = self.max_items.saturating_sub(self.item_count) + MAX_EXTRA_ITEMS_PER_GRANT;
        let mut bytes = self.bytes + max_lease_bytes(job);
        let fits = |(position, index): &(usize, &usize)| {
            bytes += max_item_bytes(job, table, **index);
            let is_first = self.item_count == 0 && *position == 0;
            is_first || (*position < max_items && bytes <= MAX_GRANT_BYTES)
        };
        let count = items.iter().enumerate().take_while(fits).count();
        &items[..count]
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
        self.bytes += max_lease_bytes(lease.job);
        let item_bytes = |index: &usize| max_item_bytes(lease.job, &lease.schedule.items, *index);
        self.bytes += lease.items.iter().map(item_bytes).sum::<usize>();
        self.leases.push(lease.message(now));
    }

    pub(super) fn into_leases(self) -> Vec<WorkLease> {
        self.leases
    }
}

/// Returns an upper bound of the size of an encoded lease of a job without its items.
fn max_lease_bytes(job: &StoredJob) -> usize {
    let job = job.job();
    let texts = [&job.id, &job.terms.route, &job.terms.hostname, &job.model];
    ENCODED_FIELDS_BYTES + texts.map(|text| encoded_bytes(text.as_bytes())).iter().sum::<usize>()
}

/// Returns an upper bound of the size of an encoded leased item; 0 if the item has a result.
fn max_item_bytes(job: &StoredJob, table: &ItemTable, index: usize) -> usize {
    let item = job.pending_item(index).map_or(0, item_bytes);
    let partial = table.partial(index).map_or(0, partial_bytes);
    ENCODED_FIELDS_BYTES + item + partial
}

fn item_bytes(item: &Item) -> usize {
    let texts = [&item.id, &item.path, &item.group];
    let texts: usize = texts.map(|text| encoded_bytes(text.as_bytes())).iter().sum();
    let header_bytes =
        |(name, value): &(String, String)| encoded_bytes(name.as_bytes()) + encoded_bytes(value.as_bytes());
    let headers: usize = item.headers.iter().map(header_bytes).sum();
    texts + headers + encoded_bytes(&item.body) + item.scorer.as_ref().map_or(0, scorer_bytes)
}

fn scorer_bytes(scorer: &Scorer) -> usize {
    let texts = [&scorer.id, &scorer.hostname, &scorer.path];
    let texts: usize = texts.map(|text| encoded_bytes(text.as_bytes())).iter().sum();
    texts + encoded_bytes(&scorer.body)
}

fn partial_bytes(partial: &PartialText) -> usize {
    encoded_bytes(&partial.message) + size_of_val(partial.versions.as_slice())
}

fn encoded_bytes(text: &[u8]) -> usize {
    ENCODED_LENGTH_BYTES + text.len()
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
