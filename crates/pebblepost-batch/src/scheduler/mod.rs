//! Soft state of a primary: the pending items of its store groups and the leases of proxies.
//!
//! This state is not replicated. A new primary rebuilds it from the replicated state and from the leases
//! that proxies report. An item may therefore run more than once; the first committed result is final.
//!
//! The submodules are `term` (this machine's term as primary of a store group), `takeover` (the wait for
//! lease reports), `job_queue` (the jobs in leasing order), `job_schedule` (the deadlines of a job),
//! `item_table` (the states of its items), `lease_table` (the holders of leases), `work_request` (a proxy's
//! request for work), `grant` (the response to it) and `idle_proxies` (the proxies that wait for a notice of work).
//! [`Scheduler`] combines them.

mod grant;
mod idle_proxies;
mod item_table;
mod job_queue;
mod job_schedule;
mod lease_table;
mod takeover;
mod term;
mod work_request;

pub use item_table::ItemProgress;
pub use job_queue::ExpiredItems;
pub use job_schedule::EXTRA_SAMPLE_GROUPS;
pub use lease_table::{LeaseReference, ProxyId};
pub use work_request::WorkRequest;

use crate::clock::GroupClock;
use crate::job::StoredJob;
use crate::state::BatchState;
use grant::{Grant, NewLease};
use idle_proxies::{IdleProxies, LeasableJob};
use item_table::ItemState;
use job_queue::JobQueue;
use job_schedule::{EligibleSampleGroups, JobSchedule};
use lease_table::{LeaseHolder, LeaseKey, LeaseOrigin, LeaseTable};
use pebblepost_messages::batch::WorkLease;
use std::collections::BTreeMap;
use std::time::Duration;
use takeover::Takeover;
use term::Term;
use work_request::is_sendable;

/// Schedules the items of all store groups that this machine is primary of.
#[derive(Debug, Default)]
pub struct Scheduler {
    terms: BTreeMap<u32, Term>,
    queue: JobQueue,
    leases: LeaseTable,
    idle: IdleProxies,
}

impl Scheduler {
    /// Starts this machine's term as primary of a store group and schedules the group's open jobs.
    ///
    /// A term of the same store group that is still running ends first. `epoch` is the epoch in which
    /// the term begins, and `state` the replicated state of the store group.
    pub fn start_term(
        &mut self, now: Duration, store_group: u32, epoch: u64, clock: &GroupClock, state: &BatchState,
    ) {
        self.end_term(store_group);
        let has_open_jobs = state.jobs().any(|job| !job.is_complete());
        let takeover = Takeover::new(now, has_open_jobs, self.leases.connected_proxies());
        self.terms.insert(store_group, Term::new(epoch, takeover));
        for job in state.jobs() {
            self.add_job(now, store_group, clock, job);
            if let Some(schedule) = self.queue.get_mut(job.id()) {
                schedule.is_taken_over = true;
            }
        }
    }

    /// Ends this machine's term as primary of a store group and drops its jobs and leases.
    pub fn end_term(&mut self, store_group: u32) {
        self.terms.remove(&store_group);
        self.leases.remove_store_group(store_group);
        self.queue.remove_store_group(store_group);
    }

    /// Returns whether this machine is in a term as primary of a store group.
    pub fn has_term(&self, store_group: u32) -> bool {
        self.terms.contains_key(&store_group)
    }

    /// Returns the epoch in which this machine's term as primary of a store group began, which the leases
    /// of the term carry. Returns `None` outside a term.
    pub fn epoch(&self, store_group: u32) -> Option<u64> {
        self.terms.get(&store_group).map(|term| term.epoch)
    }

    /// Schedules a committed job. A job that is complete or already scheduled is ignored.
    pub fn add_job(&mut self, now: Duration, store_group: u32, clock: &GroupClock, job: &StoredJob) {
        if job.is_complete() || self.queue.contains(job.id()) {
            return;
        }
        self.queue.insert(job.id(), JobSchedule::new(now, store_group, clock, job));
    }

    /// Removes a job and its leases; no more of its items are leased.
    pub fn remove_job(&mut self, job: &str) {
        if self.queue.remove(job) {
            self.leases.remove_job(job);
        }
    }

    /// Records that a proxy has connected.
    pub fn mark_proxy_connected(&mut self, proxy: ProxyId) {
        self.leases.mark_connected(proxy);
    }

    /// Records that the link to a proxy is lost. Its leases are kept, but no longer renewed, and expire.
    pub fn mark_proxy_disconnected(&mut self, proxy: ProxyId) {
        self.idle.remove(proxy);
        self.leases.mark_disconnected(proxy);
        for term in self.terms.values_mut() {
            term.takeover.remove_proxy(proxy);
        }
    }

    /// Leases items to a proxy.
    ///
    /// At most `max_items` items of the request are leased, and a few more if that keeps a sample group whole.
    /// Items that the proxy cannot send are left to others. Oversampled sample groups are leased only if no
    /// required one can be leased. `states` returns the replicated state of a store group, or `None` if this
    /// machine is not its acting primary.
    pub fn lease_items<'state>(
        &mut self, now: Duration, proxy: ProxyId, request: &WorkRequest,
        states: impl Fn(u32) -> Option<&'state BatchState>,
    ) -> Vec<WorkLease> {
        let mut grant = Grant::new(request.max_items);
        for eligible in [EligibleSampleGroups::Required, EligibleSampleGroups::Oversampled] {
            for rank in self.queue.ranks() {
                if !grant.has_capacity() {
                    break;
                }
                let Some(job) = states(rank.store_group).and_then(|state| state.job(&rank.job)) else {
                    continue;
                };
                let requester = Requester { proxy, request };
                self.lease_items_of_job(now, requester, eligible, job, &mut grant);
            }
            if !grant.is_empty() {
                break;
            }
        }
        if grant.is_incomplete() {
            self.idle.insert(proxy, request.clone());
        } else {
            self.idle.remove(proxy);
        }
        grant.into_leases()
    }

    /// Marks an item as finished by a result and removes it from its lease.
    ///
    /// Returns whether the result must be proposed: the job is scheduled here and the item was not
    /// finished before.
    pub fn finish_item(&mut self, job: &str, item: usize) -> bool {
        let Some(schedule) = self.queue.get_mut(job) else { return false };
        let store_group = schedule.store_group();
        match schedule.items.finish(item) {
            None | Some(ItemState::Finished) => false,
            Some(ItemState::Pending) => true,
            Some(ItemState::Leased(number)) => {
                self.leases.remove_item(LeaseKey { store_group, number }, item);
                true
            }
        }
    }

    /// Rejects an invalid result of a leased item: the item becomes pending again without its progress.
    pub fn reject_result(&mut self, job: &str, item: usize) {
        self.release_item(job, item, ItemProgress::default(), |_, _| true);
    }

    /// Makes an item pending again that a proxy returns unfinished.
    ///
    /// The return is ignored if the item is no longer under this lease.
    pub fn return_item(&mut self, lease: LeaseReference, job: &str, item: usize, progress: ItemProgress) {
        self.release_item(job, item, progress, |leases, key| leases.matches_reference(key, lease));
    }

    /// Restores a lease that a proxy reports: an earlier primary granted it, or it was granted before the
    /// proxy's link was lost.
    ///
    /// The lease continues under a new number. Items that are under a lease of a connected proxy are left
    /// out.
    pub fn restore_lease(&mut self, now: Duration, proxy: ProxyId, job: &str, items: &[usize]) {
        let Some(schedule) = self.queue.get_mut(job) else { return };
        let Some(term) = self.terms.get_mut(&schedule.store_group()) else { return };
        let key = term.next_lease_key(schedule.store_group());
        let mut restored = Vec::new();
        for item in items.iter().copied() {
            let previous =
                schedule.items.lease_of(item).map(|number| LeaseKey { store_group: key.store_group, number });
            if previous.is_some_and(|previous| self.leases.has_connected_holder(previous)) {
                continue;
            }
            if schedule.items.assign(item, key.number) {
                restored.push(item);
            }
            if let Some(previous) = previous {
                self.leases.remove_item(previous, item);
            }
        }
        if !restored.is_empty() {
            term.consume_lease_key();
            let holder = LeaseHolder { proxy, origin: LeaseOrigin::Reported };
            self.leases.insert(now, key, holder, job, restored);
        }
    }

    /// Records that a proxy has reported all leases that it holds. Once all connected proxies have, a
    /// takeover wait ends early.
    pub fn record_lease_report(&mut self, now: Duration, proxy: ProxyId) {
        for term in self.terms.values_mut() {
            term.takeover.record_report(now, proxy);
        }
    }

    /// Makes the items of expired leases pending again.
    ///
    /// A lease expires if it was not renewed in time or has reached its maximum age.
    pub fn expire_leases(&mut self, now: Duration) {
        for expired in self.leases.take_expired(now) {
            let Some(schedule) = self.queue.get_mut(&expired.job) else { continue };
            for item in expired.items {
                schedule.items.release(item, expired.key.number);
            }
        }
    }

    /// Renews the leases of connected proxies in the store groups that this machine is acting primary of.
    ///
    /// Returns the store groups with renewed leases, by proxy. Expired leases are removed first and are
    /// not renewed.
    pub fn renew_leases(
        &mut self, now: Duration, is_acting: impl Fn(u32) -> bool,
    ) -> Vec<(ProxyId, Vec<u32>)> {
        self.expire_leases(now);
        let renewed = self.leases.renew(now, is_acting).into_iter();
        renewed.map(|(proxy, groups)| (proxy, groups.into_iter().collect())).collect()
    }

    /// Finishes the pending items that have expired and returns them. The caller must propose their dead
    /// letters.
    pub fn take_expired_items(&mut self, now: Duration) -> Vec<ExpiredItems> {
        self.queue.take_expired(now)
    }

    /// Takes the proxies that were granted fewer items than they last requested, if items that they can send are
    /// available now. Each proxy is returned once until another of its requests is granted fewer items. `states`
    /// is that of [`Scheduler::lease_items`].
    pub fn take_idle_proxies<'state>(
        &mut self, now: Duration, states: impl Fn(u32) -> Option<&'state BatchState>,
    ) -> Vec<ProxyId> {
        if self.idle.is_empty() {
            return Vec::new();
        }
        let leasable = self.queue.schedules().filter(|schedule| self.can_lease(now, schedule));
        let with_state = leasable.filter_map(|schedule| {
            let job = states(schedule.store_group())?.job(&schedule.rank().job)?;
            Some(LeasableJob { schedule, job })
        });
        let jobs: Vec<LeasableJob<'_>> = with_state.collect();
        self.idle.take_with_work(now, &jobs)
    }

    /// Returns whether an item can be leased now in a store group that this machine is acting primary of.
    pub fn has_pending_items(&self, now: Duration, is_acting: impl Fn(u32) -> bool) -> bool {
        let is_acting = |schedule: &JobSchedule| is_acting(schedule.store_group());
        self.queue.schedules().any(|schedule| is_acting(schedule) && self.can_lease(now, schedule))
    }

    /// Returns whether an item of a job can be leased to a proxy that can send all items, if this machine is the
    /// acting primary.
    fn can_lease(&self, now: Duration, schedule: &JobSchedule) -> bool {
        self.terms.get(&schedule.store_group()).is_some_and(|term| is_leasable(now, schedule, term))
            && schedule.next_sample_group(now, EligibleSampleGroups::Oversampled, &|_| true).is_some()
    }

    /// Returns the number of scheduled jobs.
    pub fn job_count(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of leased items.
    pub fn leased_item_count(&self) -> usize {
        self.leases.item_count()
    }

    /// Adds leases of sample groups of one job to a grant while it has capacity.
    fn lease_items_of_job(
        &mut self, now: Duration, requester: Requester<'_>, eligible: EligibleSampleGroups, job: &StoredJob,
        grant: &mut Grant,
    ) {
        let Some(schedule) = self.queue.get_mut(job.id()) else { return };
        let Some(term) = self.terms.get_mut(&schedule.store_group()) else { return };
        if !is_leasable(now, schedule, term) {
            return;
        }
        let unsendable = requester.request.unsendable_paths(job.id());
        let is_sendable = |item: usize| is_sendable(job, item, &unsendable);
        while grant.has_capacity() {
            let Some(sample_group) = schedule.next_sample_group(now, eligible, &is_sendable) else { break };
            let sendable = schedule.items.sendable_items(sample_group, &is_sendable);
            let items = grant.fitting(job, &schedule.items, &sendable);
            if items.is_empty() {
                grant.set_full();
                break;
            }
            let key = term.next_lease_key(schedule.store_group());
            term.consume_lease_key();
            schedule.items.lease(items, key.number);
            grant.add(now, &NewLease { key, epoch: term.epoch, schedule, job, items });
            let holder = LeaseHolder { proxy: requester.proxy, origin: LeaseOrigin::Granted };
            self.leases.insert(now, key, holder, job.id(), items.to_vec());
        }
    }

    /// Makes a leased item pending again with this progress, if `is_accepted` returns true for its lease.
    fn release_item(
        &mut self, job: &str, item: usize, progress: ItemProgress,
        is_accepted: impl Fn(&LeaseTable, LeaseKey) -> bool,
    ) {
        let Some(schedule) = self.queue.get_mut(job) else { return };
        let Some(number) = schedule.items.lease_of(item) else { return };
        let key = LeaseKey { store_group: schedule.store_group(), number };
        if !is_accepted(&self.leases, key) {
            return;
        }
        schedule.items.set_progress(item, progress);
        schedule.items.release(item, number);
        self.leases.remove_item(key, item);
    }
}

/// A proxy with its request.
#[derive(Clone, Copy)]
struct Requester<'a> {
    proxy: ProxyId,
    request: &'a WorkRequest,
}

/// Returns whether items of a job may be leased: the job has not expired and is not waiting for a
/// takeover.
fn is_leasable(now: Duration, schedule: &JobSchedule, term: &Term) -> bool {
    let is_taking_over = schedule.is_taken_over && term.takeover.is_waiting(now);
    !is_taking_over && !schedule.has_expired(now)
}
