//! Soft state of a machine for the groups of jobs that it is primary of: which items are pending, and
//! which proxy leases which.
//!
//! Nothing of it is replicated. A new primary builds it from the replicated state and from the leases that
//! proxies report. An item may therefore run more than once: the first result that is committed counts.
//!
//! One file for each concern: `term` (this machine's term as primary of a group), `takeover` (the
//! wait for lease reports), `job_queue` (jobs in their order), `job_schedule` (deadlines of a job),
//! `item_table` (states of its items), `lease_table` (who holds what) and `grant` (the answer to a
//! request for work). This file joins them.

mod grant;
mod item_table;
mod job_queue;
mod job_schedule;
mod lease_table;
mod takeover;
mod term;

pub use item_table::ItemProgress;
pub use job_queue::ExpiredItems;
pub use job_schedule::EXTRA_SAMPLE_GROUPS;
pub use lease_table::{LeaseReference, ProxyId};

use crate::clock::GroupClock;
use crate::job::StoredJob;
use crate::state::BatchState;
use grant::{Grant, NewLease};
use item_table::ItemState;
use job_queue::JobQueue;
use job_schedule::{JobSchedule, SampleGroups};
use lease_table::{LeaseHolder, LeaseKey, LeaseOrigin, LeaseTable};
use pebblepost_messages::batch::WorkLease;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use takeover::Takeover;
use term::Term;

/// Schedules the items of all groups that this machine is primary of.
#[derive(Debug, Default)]
pub struct Scheduler {
    terms: BTreeMap<u32, Term>,
    queue: JobQueue,
    leases: LeaseTable,
    /// Proxies whose last request for work was not met in full.
    idle: BTreeSet<ProxyId>,
}

impl Scheduler {
    /// Starts this machine's term as primary of a group, with its replicated state.
    pub fn start_term(
        &mut self, now: Duration, group: u32, epoch: u64, clock: &GroupClock, state: &BatchState,
    ) {
        self.end_term(group);
        let has_open_jobs = state.jobs().any(|job| !job.is_complete());
        let takeover = Takeover::new(now, has_open_jobs, self.leases.connected());
        self.terms.insert(group, Term::new(epoch, takeover));
        for job in state.jobs() {
            self.add_job(now, group, clock, job);
            if let Some(schedule) = self.queue.get_mut(job.id()) {
                schedule.is_taken_over = true;
            }
        }
    }

    /// Ends this machine's term as primary of a group.
    pub fn end_term(&mut self, group: u32) {
        self.terms.remove(&group);
        self.leases.remove_group(group);
        self.queue.remove_group(group);
    }

    /// Whether this machine is in a term as primary of a group.
    pub fn has_term(&self, group: u32) -> bool {
        self.terms.contains_key(&group)
    }

    /// Epoch in which this machine's term as primary of a group began; its leases carry it.
    pub fn epoch(&self, group: u32) -> Option<u64> {
        self.terms.get(&group).map(|term| term.epoch)
    }

    /// Schedules a job that was committed. Idempotent.
    pub fn add_job(&mut self, now: Duration, group: u32, clock: &GroupClock, job: &StoredJob) {
        if job.is_complete() || self.queue.contains(job.id()) {
            return;
        }
        self.queue.insert(job.id(), JobSchedule::new(now, group, clock, job));
    }

    /// Removes a job that has ended: nothing more of it is leased.
    pub fn remove_job(&mut self, job: &str) {
        if self.queue.remove(job) {
            self.leases.remove_job(job);
        }
    }

    /// A proxy has connected.
    pub fn mark_proxy_connected(&mut self, proxy: ProxyId) {
        self.leases.connect(proxy);
    }

    /// The link to a proxy is lost: its leases are not renewed any more, and expire.
    pub fn mark_proxy_disconnected(&mut self, proxy: ProxyId) {
        self.idle.remove(&proxy);
        self.leases.disconnect(proxy);
        for term in self.terms.values_mut() {
            term.takeover.remove_proxy(proxy);
        }
    }

    /// Leases items to a proxy: at most `max_items`, and a few more to keep a sample group whole.
    /// `states` gives the replicated state of a group, if this machine is its acting primary.
    pub fn lease_items<'state>(
        &mut self, now: Duration, proxy: ProxyId, max_items: usize,
        states: impl Fn(u32) -> Option<&'state BatchState>,
    ) -> Vec<WorkLease> {
        let mut grant = Grant::new(max_items);
        for allowed in [SampleGroups::Required, SampleGroups::Oversampled] {
            for rank in self.queue.ranks() {
                if !grant.has_capacity() {
                    break;
                }
                let Some(job) = states(rank.group).and_then(|state| state.job(&rank.job)) else { continue };
                self.lease_items_of_job(now, proxy, allowed, job, &mut grant);
            }
            if !grant.is_empty() {
                break;
            }
        }
        if grant.falls_short() {
            self.idle.insert(proxy);
        } else {
            self.idle.remove(&proxy);
        }
        grant.into_leases()
    }

    /// An item got a result: its lease is over. Whether the result is to be proposed: the job is
    /// scheduled here, and the item had no result yet.
    pub fn finish_item(&mut self, job: &str, item: usize) -> bool {
        let Some(schedule) = self.queue.get_mut(job) else { return false };
        let group = schedule.group();
        match schedule.items.finish(item) {
            None | Some(ItemState::Finished) => false,
            Some(ItemState::Pending) => true,
            Some(ItemState::Leased(number)) => {
                self.leases.remove_item(LeaseKey { group, number }, item);
                true
            }
        }
    }

    /// The result of a leased item is invalid: the item is pending again, and its progress is dropped.
    pub fn reject_result(&mut self, job: &str, item: usize) {
        self.release_item(job, item, ItemProgress::default(), |_, _| true);
    }

    /// A proxy returns an item that it did not finish. Ignored if the item is under another lease by now.
    pub fn return_item(&mut self, lease: LeaseReference, job: &str, item: usize, progress: ItemProgress) {
        self.release_item(job, item, progress, |leases, key| leases.is_named_by(key, lease));
    }

    /// A proxy reports a lease that it got from an earlier primary, or before its link was lost: it is
    /// continued under a new number, but for items that another connected proxy leases.
    pub fn restore_lease(&mut self, now: Duration, proxy: ProxyId, job: &str, items: &[usize]) {
        let Some(schedule) = self.queue.get_mut(job) else { return };
        let Some(term) = self.terms.get_mut(&schedule.group()) else { return };
        let key = term.next_lease_key(schedule.group());
        let mut restored = Vec::new();
        for item in items.iter().copied() {
            let former = schedule.items.lease_of(item).map(|number| LeaseKey { group: key.group, number });
            if former.is_some_and(|former| self.leases.has_connected_holder(former)) {
                continue;
            }
            if schedule.items.assign(item, key.number) {
                restored.push(item);
            }
            if let Some(former) = former {
                self.leases.remove_item(former, item);
            }
        }
        if !restored.is_empty() {
            term.use_lease_key();
            let holder = LeaseHolder { proxy, origin: LeaseOrigin::Reported };
            self.leases.insert(now, key, holder, job, restored);
        }
    }

    /// A proxy has reported all leases that it holds.
    pub fn record_lease_report(&mut self, now: Duration, proxy: ProxyId) {
        for term in self.terms.values_mut() {
            term.takeover.report_received(now, proxy);
        }
    }

    /// Makes the items of expired leases pending again. A lease expires if it was not renewed in time,
    /// or is older than any item may take.
    pub fn expire_leases(&mut self, now: Duration) {
        for expired in self.leases.take_expired(now) {
            let Some(schedule) = self.queue.get_mut(&expired.job) else { continue };
            for item in expired.items {
                schedule.items.release(item, expired.key.number);
            }
        }
    }

    /// Renews the leases of connected proxies in the groups that this machine is acting primary of; the
    /// groups by proxy. A lease that has expired is not renewed.
    pub fn renew_leases(
        &mut self, now: Duration, is_acting: impl Fn(u32) -> bool,
    ) -> Vec<(ProxyId, Vec<u32>)> {
        self.expire_leases(now);
        let renewed = self.leases.renew(now, is_acting).into_iter();
        renewed.map(|(proxy, groups)| (proxy, groups.into_iter().collect())).collect()
    }

    /// Pending items that have expired; they count as finished from now on.
    pub fn take_expired_items(&mut self, now: Duration) -> Vec<ExpiredItems> {
        self.queue.take_expired(now)
    }

    /// Proxies whose last request for work was not met in full, if there is work by now.
    pub fn take_idle_proxies(&mut self, now: Duration, is_acting: impl Fn(u32) -> bool) -> Vec<ProxyId> {
        if self.idle.is_empty() || !self.has_pending_items(now, is_acting) {
            return Vec::new();
        }
        std::mem::take(&mut self.idle).into_iter().collect()
    }

    /// Whether an item could be leased now in a group that this machine is acting primary of.
    pub fn has_pending_items(&self, now: Duration, is_acting: impl Fn(u32) -> bool) -> bool {
        let can_lease = |schedule: &JobSchedule| {
            self.terms.get(&schedule.group()).is_some_and(|term| may_lease(now, schedule, term))
                && is_acting(schedule.group())
                && schedule.next_sample_group(now, SampleGroups::Oversampled).is_some()
        };
        self.queue.schedules().any(can_lease)
    }

    /// Number of scheduled jobs.
    pub fn job_count(&self) -> usize {
        self.queue.len()
    }

    /// Number of items under a lease.
    pub fn leased_item_count(&self) -> usize {
        self.leases.item_count()
    }

    /// Leases sample groups of one job as long as there is capacity in the answer.
    fn lease_items_of_job(
        &mut self, now: Duration, proxy: ProxyId, allowed: SampleGroups, job: &StoredJob, grant: &mut Grant,
    ) {
        let Some(schedule) = self.queue.get_mut(job.id()) else { return };
        let Some(term) = self.terms.get_mut(&schedule.group()) else { return };
        if !may_lease(now, schedule, term) {
            return;
        }
        while grant.has_capacity() {
            let Some(sample_group) = schedule.next_sample_group(now, allowed) else { break };
            let key = term.next_lease_key(schedule.group());
            let max_items = grant.max_items_of_group();
            let indices = schedule.items.lease_sample_group(sample_group, key.number, max_items);
            if indices.is_empty() {
                break;
            }
            term.use_lease_key();
            let lease = NewLease { key, epoch: term.epoch, schedule, job, items: &indices };
            grant.add(now, &lease);
            let holder = LeaseHolder { proxy, origin: LeaseOrigin::Granted };
            self.leases.insert(now, key, holder, job.id(), indices);
        }
    }

    /// Makes a leased item pending again if its lease is accepted.
    fn release_item(
        &mut self, job: &str, item: usize, progress: ItemProgress,
        is_accepted: impl Fn(&LeaseTable, LeaseKey) -> bool,
    ) {
        let Some(schedule) = self.queue.get_mut(job) else { return };
        let Some(number) = schedule.items.lease_of(item) else { return };
        let key = LeaseKey { group: schedule.group(), number };
        if !is_accepted(&self.leases, key) {
            return;
        }
        schedule.items.set_progress(item, progress);
        schedule.items.release(item, number);
        self.leases.remove_item(key, item);
    }
}

/// Whether items of a job may be leased: it has not expired, and its takeover is over.
fn may_lease(now: Duration, schedule: &JobSchedule, term: &Term) -> bool {
    let is_taking_over = schedule.is_taken_over && term.takeover.is_waiting(now);
    !is_taking_over && !schedule.has_expired(now)
}
