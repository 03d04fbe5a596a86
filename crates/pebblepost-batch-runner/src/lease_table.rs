//! Active leases of this proxy: until when each is valid, and which of its items are in flight.
//!
//! The table stores the leases and the abort handles of their tasks. It performs no I/O and does not read the clock:
//! the current time is an argument.

use crate::item_progress::{ItemProgress, SharedProgress};
use pebblepost_messages::batch::{ActiveLease, LEASE_DURATION_MS, LEASE_RENEWAL_INTERVAL_MS, WorkLease};
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Time for which a lease is valid after its last renewal.
pub const LEASE_DURATION: Duration = Duration::from_millis(LEASE_DURATION_MS);
/// A lease that has not been renewed for this long is announced to its store again.
pub const RENEWAL_OVERDUE_AFTER: Duration = Duration::from_millis(2 * LEASE_RENEWAL_INTERVAL_MS);
/// A lease that has been expired for this long is abandoned, because its items have been leased to other proxies.
pub const ABANDON_AFTER: Duration = Duration::from_secs(10);
/// Time for which the id of a cancelled job is retained, so that a lease that was in transit when the
/// cancellation arrived is not executed.
const CANCELLED_JOB_RETENTION: Duration = Duration::from_secs(30);

/// Identifies a lease within this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeaseKey(u64);

/// State of a lease, which determines whether its requests may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseStatus {
    /// Requests may be sent.
    Valid,
    /// The lease was not renewed in time. Nothing may be sent, but a renewal makes the lease valid again.
    Expired,
    /// The lease was cancelled, finished or abandoned. Nothing may be sent any more.
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

/// An item removed from the table, with the data that an outcome message needs.
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
    /// Progress of the item.
    pub progress: SharedProgress,
}

/// All active leases of this proxy.
#[derive(Debug, Default)]
pub struct LeaseTable {
    leases: BTreeMap<LeaseKey, Lease>,
    next_key: u64,
    /// Cancelled jobs with the time of the cancellation.
    cancelled_jobs: HashMap<String, Instant>,
}

impl LeaseTable {
    /// Adds a lease with the progress of its items, in the order of the items.
    ///
    /// An item that is already in flight under an earlier lease is aborted there, and the further progress of the
    /// two is kept. Returns `None` if the job was cancelled.
    pub fn add(&mut self, lease: &WorkLease, progress: Vec<ItemProgress>, now: Instant) -> Option<LeaseKey> {
        self.cancelled_jobs.retain(|_, cancelled_at| now < *cancelled_at + CANCELLED_JOB_RETENTION);
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

    /// Returns the status of a lease.
    pub fn status(&self, key: LeaseKey, now: Instant) -> LeaseStatus {
        match self.leases.get(&key) {
            None => LeaseStatus::Ended,
            Some(lease) if now < lease.valid_until => LeaseStatus::Valid,
            Some(lease) if lease.is_abandoned(now) => LeaseStatus::Ended,
            Some(_) => LeaseStatus::Expired,
        }
    }

    /// Renews the leases that the primary of a store group granted or adopted in this epoch.
    pub fn renew(&mut self, store_group: u32, epoch: u64, now: Instant) {
        for lease in self.leases.values_mut() {
            if lease.store_group == store_group && lease.epoch == epoch {
                lease.valid_until = now + LEASE_DURATION;
            }
        }
    }

    /// Returns the leases of a store group for an announcement to its primary of this epoch, and allows that primary
    /// to renew them from now on.
    pub fn announce(&mut self, store_group: u32, epoch: u64) -> Vec<ActiveLease> {
        let mut announced = Vec::new();
        for lease in self.leases.values_mut().filter(|lease| lease.store_group == store_group) {
            lease.epoch = lease.epoch.max(epoch);
            let items = lease.items.keys().cloned().collect();
            announced.push(ActiveLease { store_group, job: lease.job.clone(), items });
        }
        announced
    }

    /// Returns whether the renewal of any lease of this store group is overdue.
    pub fn is_renewal_overdue(&self, store_group: u32, now: Instant) -> bool {
        self.leases.values().any(|lease| lease.store_group == store_group && lease.is_renewal_overdue(now))
    }

    /// Returns the progress of an item, or `None` if it is not in flight.
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

    /// Removes a finished or returned item. Returns `None` if it is no longer in flight.
    pub fn release(&mut self, key: LeaseKey, item: &str) -> Option<ReleasedItem> {
        let lease = self.leases.get_mut(&key)?;
        let in_flight = lease.items.remove(item)?;
        let released = lease.release(item.to_owned(), in_flight);
        if lease.items.is_empty() {
            self.leases.remove(&key);
        }
        Some(released)
    }

    /// Ends the leases of cancelled jobs and aborts their tasks immediately.
    pub fn cancel(&mut self, jobs: &[String], now: Instant) {
        for job in jobs {
            self.cancelled_jobs.insert(job.clone(), now);
        }
        self.end_leases(|lease| jobs.contains(&lease.job));
    }

    /// Ends all leases, aborts their tasks and returns the unfinished items.
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

    /// Ends the leases that have been expired for [`ABANDON_AFTER`] and returns their number.
    pub fn remove_abandoned(&mut self, now: Instant) -> usize {
        let before = self.leases.len();
        self.end_leases(|lease| lease.is_abandoned(now));
        before - self.leases.len()
    }

    /// Returns whether no lease is active.
    pub fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }

    /// Removes the leases for which `has_ended` returns true and aborts their tasks.
    fn end_leases(&mut self, has_ended: impl Fn(&Lease) -> bool) {
        self.leases.retain(|_, lease| {
            let ended = has_ended(lease);
            if ended {
                lease.abort_tasks();
            }
            !ended
        });
    }

    /// Aborts an item under the lease under which it is in flight, and returns its progress.
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
