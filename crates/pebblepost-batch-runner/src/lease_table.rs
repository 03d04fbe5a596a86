//! The active leases of this proxy: until when each is valid, and which of its items are in flight.
//!
//! Owns the leases and the abort handles of their tasks. Sends nothing and reads no clock: the time is
//! an argument.

use crate::item_progress::{ItemProgress, SharedProgress};
use pebblepost_messages::batch::{ActiveLease, LEASE_MS, RENEW_MS, WorkLease};
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// How long a lease is valid after its last renewal.
pub const LEASE_DURATION: Duration = Duration::from_millis(LEASE_MS);
/// A lease that was not renewed for this long is announced to its store again.
pub const RENEWAL_OVERDUE_AFTER: Duration = Duration::from_millis(2 * RENEW_MS);
/// A lease that has been expired for this long is abandoned: its items have been leased to others.
pub const ABANDON_AFTER: Duration = Duration::from_secs(10);
/// How long a cancelled job is remembered, so that a lease which crossed the cancel is not executed.
const CANCELLED_RETENTION: Duration = Duration::from_secs(30);

/// Identifies a lease within this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeaseKey(u64);

/// Whether requests of a lease may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseStatus {
    /// Requests may be sent.
    Valid,
    /// Not renewed in time: nothing may be sent, but a renewal makes the lease valid again.
    Expired,
    /// Cancelled, finished or abandoned: nothing may be sent any more.
    Ended,
}

#[derive(Debug)]
struct ItemInFlight {
    progress: SharedProgress,
    task: Option<AbortHandle>,
}

#[derive(Debug)]
struct Lease {
    number: u64,
    store_group: u32,
    epoch: u64,
    job: String,
    valid_until: Instant,
    items: BTreeMap<String, ItemInFlight>,
    placement_task: Option<AbortHandle>,
}

impl Lease {
    fn is_abandoned(&self, now: Instant) -> bool {
        now >= self.valid_until + ABANDON_AFTER
    }

    fn is_renewal_overdue(&self, now: Instant) -> bool {
        now + LEASE_DURATION >= self.valid_until + RENEWAL_OVERDUE_AFTER
    }

    fn abort_tasks(&self) {
        let item_tasks = self.items.values().filter_map(|item| item.task.as_ref());
        for task in item_tasks.chain(&self.placement_task) {
            task.abort();
        }
    }

    fn release(&self, item: String, in_flight: ItemInFlight) -> ReleasedItem {
        ReleasedItem {
            store_group: self.store_group,
            job: self.job.clone(),
            lease: self.number,
            item,
            progress: in_flight.progress,
        }
    }
}

/// An item that was removed from the table, with what an outcome message about it needs.
#[derive(Debug)]
pub struct ReleasedItem {
    /// Store group of the job.
    pub store_group: u32,
    /// Id of the job.
    pub job: String,
    /// Number of the lease.
    pub lease: u64,
    /// Id of the item.
    pub item: String,
    /// Its progress.
    pub progress: SharedProgress,
}

/// All active leases.
#[derive(Debug, Default)]
pub struct LeaseTable {
    leases: BTreeMap<LeaseKey, Lease>,
    next_key: u64,
    /// Cancelled jobs, and when they were cancelled.
    cancelled_jobs: HashMap<String, Instant>,
}

impl LeaseTable {
    /// Adds a lease with the progress of its items, in their order. An item that is in flight already,
    /// under an earlier lease, is aborted there; whichever progress is further is retained. `None` if the
    /// job was cancelled.
    pub fn add(&mut self, lease: &WorkLease, progress: Vec<ItemProgress>, now: Instant) -> Option<LeaseKey> {
        self.cancelled_jobs.retain(|_, cancelled_at| now < *cancelled_at + CANCELLED_RETENTION);
        if self.cancelled_jobs.contains_key(&lease.job) {
            return None;
        }
        let mut items = BTreeMap::new();
        for (leased, progress) in lease.items.iter().zip(progress) {
            let progress = match self.abort_item(&lease.job, &leased.item.id) {
                Some(earlier) if earlier.text.last_event() > progress.text.last_event() => earlier,
                _ => progress,
            };
            let progress = Rc::new(RefCell::new(progress));
            items.insert(leased.item.id.clone(), ItemInFlight { progress, task: None });
        }
        let key = LeaseKey(self.next_key);
        self.next_key += 1;
        let entry = Lease {
            number: lease.lease,
            store_group: lease.store_group,
            epoch: lease.epoch,
            job: lease.job.clone(),
            valid_until: now + LEASE_DURATION,
            items,
            placement_task: None,
        };
        self.leases.insert(key, entry);
        Some(key)
    }

    /// The status of a lease.
    pub fn status(&self, key: LeaseKey, now: Instant) -> LeaseStatus {
        match self.leases.get(&key) {
            None => LeaseStatus::Ended,
            Some(lease) if now < lease.valid_until => LeaseStatus::Valid,
            Some(lease) if lease.is_abandoned(now) => LeaseStatus::Ended,
            Some(_) => LeaseStatus::Expired,
        }
    }

    /// Renews the leases that the primary of a store group gave, or adopted, in this epoch.
    pub fn renew(&mut self, store_group: u32, epoch: u64, now: Instant) {
        for lease in self.leases.values_mut() {
            if lease.store_group == store_group && lease.epoch == epoch {
                lease.valid_until = now + LEASE_DURATION;
            }
        }
    }

    /// The leases of a store group, to be announced to its primary of this epoch. From now on that
    /// primary may renew them.
    pub fn announce(&mut self, store_group: u32, epoch: u64) -> Vec<ActiveLease> {
        let mut announced = Vec::new();
        for lease in self.leases.values_mut().filter(|lease| lease.store_group == store_group) {
            lease.epoch = lease.epoch.max(epoch);
            let items = lease.items.keys().cloned().collect();
            announced.push(ActiveLease { store_group, job: lease.job.clone(), items });
        }
        announced
    }

    /// Whether the renewal of a lease of this store group is overdue.
    pub fn is_renewal_overdue(&self, store_group: u32, now: Instant) -> bool {
        self.leases.values().any(|lease| lease.store_group == store_group && lease.is_renewal_overdue(now))
    }

    /// The progress of an item, if it is in flight.
    pub fn progress(&self, key: LeaseKey, item: &str) -> Option<SharedProgress> {
        Some(self.leases.get(&key)?.items.get(item)?.progress.clone())
    }

    /// Sets the task that places the items of a lease.
    pub fn set_placement_task(&mut self, key: LeaseKey, task: AbortHandle) {
        if let Some(lease) = self.leases.get_mut(&key) {
            lease.placement_task = Some(task);
        }
    }

    /// Sets the task that executes an item.
    pub fn set_item_task(&mut self, key: LeaseKey, item: &str, task: AbortHandle) {
        if let Some(item) = self.leases.get_mut(&key).and_then(|lease| lease.items.get_mut(item)) {
            item.task = Some(task);
        }
    }

    /// Removes an item that is finished or returned; `None` if it was not in flight any more.
    pub fn release(&mut self, key: LeaseKey, item: &str) -> Option<ReleasedItem> {
        let lease = self.leases.get_mut(&key)?;
        let in_flight = lease.items.remove(item)?;
        let released = lease.release(item.to_owned(), in_flight);
        if lease.items.is_empty() {
            self.leases.remove(&key);
        }
        Some(released)
    }

    /// Ends the leases of cancelled jobs and aborts their tasks at once.
    pub fn cancel(&mut self, jobs: &[String], now: Instant) {
        for job in jobs {
            self.cancelled_jobs.insert(job.clone(), now);
        }
        self.end_leases(|lease| jobs.contains(&lease.job));
    }

    /// Ends all leases and aborts their tasks; returns the unfinished items.
    pub fn release_all(&mut self) -> Vec<ReleasedItem> {
        let mut released = Vec::new();
        for mut lease in std::mem::take(&mut self.leases).into_values() {
            lease.abort_tasks();
            for (item, in_flight) in std::mem::take(&mut lease.items) {
                released.push(lease.release(item, in_flight));
            }
        }
        released
    }

    /// Ends the leases that have been expired for [`ABANDON_AFTER`]; returns how many.
    pub fn remove_abandoned(&mut self, now: Instant) -> usize {
        let before = self.leases.len();
        self.end_leases(|lease| lease.is_abandoned(now));
        before - self.leases.len()
    }

    /// Whether no lease is active.
    pub fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }

    /// Removes the leases that have ended and aborts their tasks.
    fn end_leases(&mut self, has_ended: impl Fn(&Lease) -> bool) {
        self.leases.retain(|_, lease| {
            let ended = has_ended(lease);
            if ended {
                lease.abort_tasks();
            }
            !ended
        });
    }

    /// Aborts an item under whichever lease it is in flight; returns its progress.
    fn abort_item(&mut self, job: &str, item: &str) -> Option<ItemProgress> {
        let key = self
            .leases
            .iter()
            .find(|(_, lease)| lease.job == job && lease.items.contains_key(item))
            .map(|(key, _)| *key)?;
        let lease = self.leases.get_mut(&key)?;
        let in_flight = lease.items.remove(item)?;
        if let Some(task) = in_flight.task {
            task.abort();
        }
        if lease.items.is_empty() {
            self.leases.remove(&key);
        }
        let progress = in_flight.progress.borrow().clone();
        Some(progress)
    }
}
