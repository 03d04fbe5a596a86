//! Leases that this proxy holds: until when something new of them may be sent, and which items are
//! still at work.

use crate::text::Progress;
use pebblepost_messages::batch::{ActiveLease, LEASE_MS, RENEW_MS, WorkLease};
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// How long a lease holds after its last renewal.
pub const LEASE: Duration = Duration::from_millis(LEASE_MS);
/// A lease that was not renewed for so long is announced again.
pub const ANNOUNCE_AFTER: Duration = Duration::from_millis(2 * RENEW_MS);
/// A lease that has been void for so long is given up: others have its items.
pub const ABANDON_AFTER: Duration = Duration::from_secs(10);
/// How long a cancelled job is remembered, so that work which crossed the cancel is not begun.
const REMEMBER_CANCELLED: Duration = Duration::from_secs(30);

/// A lease within this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeaseKey(u64);

/// Whether something of a lease may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Validity {
    /// It may.
    Valid,
    /// Not now; the lease may become valid again.
    Void,
    /// Never again: cancelled, finished, or void for too long.
    Over,
}

/// What is known of an item at work, shared with its run.
pub type SharedProgress = Rc<RefCell<Progress>>;

#[derive(Debug)]
struct ItemAtWork {
    progress: SharedProgress,
    run: Option<AbortHandle>,
}

#[derive(Debug)]
struct Lease {
    number: u64,
    store_group: u32,
    epoch: u64,
    job: String,
    valid_until: Instant,
    items: BTreeMap<String, ItemAtWork>,
    placing: Option<AbortHandle>,
}

/// An item that was taken out of the table unfinished.
#[derive(Debug)]
pub struct TakenItem {
    /// Group of batch jobs.
    pub store_group: u32,
    /// Id of the job.
    pub job: String,
    /// Number of the lease.
    pub lease: u64,
    /// Id of the item.
    pub item: String,
    /// What is known of it.
    pub progress: SharedProgress,
}

/// All leases held.
#[derive(Debug, Default)]
pub struct LeaseTable {
    leases: BTreeMap<LeaseKey, Lease>,
    next: u64,
    cancelled: HashMap<String, Instant>,
}

impl LeaseTable {
    /// A lease came. An item that is at work here already, under an earlier lease, is stopped
    /// there, and what is known of it goes on here. `None` if its job was cancelled.
    pub fn add(&mut self, lease: &WorkLease, progress: Vec<Progress>, now: Instant) -> Option<LeaseKey> {
        self.cancelled.retain(|_, at| now < *at + REMEMBER_CANCELLED);
        if self.cancelled.contains_key(&lease.job) {
            return None;
        }
        let mut items = BTreeMap::new();
        for (leased, progress) in lease.items.iter().zip(progress) {
            let progress = match self.stop_item(&lease.job, &leased.item.id) {
                Some(known) if known.text.last_event() > progress.text.last_event() => known,
                _ => progress,
            };
            let progress = Rc::new(RefCell::new(progress));
            items.insert(leased.item.id.clone(), ItemAtWork { progress, run: None });
        }
        let key = LeaseKey(self.next);
        self.next += 1;
        let entry = Lease {
            number: lease.lease,
            store_group: lease.store_group,
            epoch: lease.epoch,
            job: lease.job.clone(),
            valid_until: now + LEASE,
            items,
            placing: None,
        };
        self.leases.insert(key, entry);
        Some(key)
    }

    /// Whether something of a lease may be sent.
    pub fn validity(&self, key: LeaseKey, now: Instant) -> Validity {
        match self.leases.get(&key) {
            None => Validity::Over,
            Some(lease) if now < lease.valid_until => Validity::Valid,
            Some(lease) if now < lease.valid_until + ABANDON_AFTER => Validity::Void,
            Some(_) => Validity::Over,
        }
    }

    /// A primary renewed the leases of a group in an epoch.
    pub fn renew(&mut self, store_group: u32, epoch: u64, now: Instant) {
        for lease in self.leases.values_mut() {
            if lease.store_group == store_group && lease.epoch == epoch {
                lease.valid_until = now + LEASE;
            }
        }
    }

    /// The leases of a group, to be announced to its primary of this epoch, which may renew them
    /// from now on.
    pub fn announce(&mut self, store_group: u32, epoch: u64) -> Vec<ActiveLease> {
        let mut held = Vec::new();
        for lease in self.leases.values_mut().filter(|lease| lease.store_group == store_group) {
            lease.epoch = lease.epoch.max(epoch);
            let items = lease.items.keys().cloned().collect();
            held.push(ActiveLease { store_group, job: lease.job.clone(), items });
        }
        held
    }

    /// Whether a lease of this group waits for its renewal.
    pub fn awaits_renewal(&self, store_group: u32, now: Instant) -> bool {
        let waits = |lease: &Lease| now + LEASE >= lease.valid_until + ANNOUNCE_AFTER;
        self.leases.values().any(|lease| lease.store_group == store_group && waits(lease))
    }

    /// What is known of an item, if it is still at work.
    pub fn progress(&self, key: LeaseKey, item: &str) -> Option<SharedProgress> {
        Some(self.leases.get(&key)?.items.get(item)?.progress.clone())
    }

    /// Notes the task that places the items of a lease.
    pub fn set_placing(&mut self, key: LeaseKey, task: AbortHandle) {
        if let Some(lease) = self.leases.get_mut(&key) {
            lease.placing = Some(task);
        }
    }

    /// Notes the task that runs an item.
    pub fn set_run(&mut self, key: LeaseKey, item: &str, task: AbortHandle) {
        if let Some(item) = self.leases.get_mut(&key).and_then(|lease| lease.items.get_mut(item)) {
            item.run = Some(task);
        }
    }

    /// An item is finished or handed back; `None` if it was not at work any more.
    pub fn finish(&mut self, key: LeaseKey, item: &str) -> Option<TakenItem> {
        let lease = self.leases.get_mut(&key)?;
        let at_work = lease.items.remove(item)?;
        let taken = TakenItem {
            store_group: lease.store_group,
            job: lease.job.clone(),
            lease: lease.number,
            item: item.to_owned(),
            progress: at_work.progress,
        };
        if lease.items.is_empty() {
            self.leases.remove(&key);
        }
        Some(taken)
    }

    /// Jobs have ended: their runs are stopped at once.
    pub fn cancel(&mut self, jobs: &[String], now: Instant) {
        for job in jobs {
            self.cancelled.insert(job.clone(), now);
        }
        self.leases.retain(|_, lease| {
            let keep = !jobs.contains(&lease.job);
            if !keep {
                stop_lease(lease);
            }
            keep
        });
    }

    /// Stops everything; the items that were not finished.
    pub fn stop_all(&mut self) -> Vec<TakenItem> {
        let mut taken = Vec::new();
        for lease in std::mem::take(&mut self.leases).into_values() {
            stop_lease(&lease);
            for (item, at_work) in lease.items {
                taken.push(TakenItem {
                    store_group: lease.store_group,
                    job: lease.job.clone(),
                    lease: lease.number,
                    item,
                    progress: at_work.progress,
                });
            }
        }
        taken
    }

    /// Gives up the leases that are over; how many.
    pub fn abandon(&mut self, now: Instant) -> usize {
        let before = self.leases.len();
        self.leases.retain(|_, lease| {
            let keep = now < lease.valid_until + ABANDON_AFTER;
            if !keep {
                stop_lease(lease);
            }
            keep
        });
        before - self.leases.len()
    }

    /// Whether nothing is at work.
    pub fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }

    /// Stops an item wherever it is at work; what is known of it.
    fn stop_item(&mut self, job: &str, item: &str) -> Option<Progress> {
        let key = self
            .leases
            .iter()
            .find(|(_, lease)| lease.job == job && lease.items.contains_key(item))
            .map(|(key, _)| *key)?;
        let at_work = self.leases.get_mut(&key)?.items.remove(item)?;
        if let Some(run) = at_work.run {
            run.abort();
        }
        if self.leases.get(&key).is_some_and(|lease| lease.items.is_empty()) {
            self.leases.remove(&key);
        }
        let progress = at_work.progress.borrow().clone();
        Some(progress)
    }
}

fn stop_lease(lease: &Lease) {
    let runs = lease.items.values().filter_map(|item| item.run.as_ref());
    for task in runs.chain(&lease.placing) {
        task.abort();
    }
}
