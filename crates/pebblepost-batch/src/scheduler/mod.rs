//! Soft state of a machine for the groups of jobs that it is primary of: which items wait, which
//! are leased and to whom.
//!
//! Nothing in it is replicated. A new primary builds it from the replicated state and from the
//! leases that proxies announce; an item may run more than once, and the first result that the
//! replicated state lists is the one that counts.

mod job_schedule;
mod leases;
mod takeover;

pub use job_schedule::{ItemProgress, SURPLUS_MARGIN};
pub use leases::ProxyId;

use crate::clock::GroupClock;
use crate::job::StoredJob;
use crate::state::BatchState;
use job_schedule::{JobSchedule, OrderKey};
use leases::{Holder, LeaseKey, Leases};
use pebblepost_messages::batch::{LeasedItem, WorkLease};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;
use takeover::Takeover;

/// Bytes of bodies beyond which a proxy gets no further group of samples in one answer.
const MOST_BYTES_AT_ONCE: usize = 4 * 1024 * 1024;
/// Lease numbers begin with the epoch, so that they are not used again.
const LEASE_NUMBER_BITS: u32 = 32;
/// How many items more than asked for a proxy is given so that a group of samples stays whole.
const MOST_ITEMS_BEYOND: usize = 8;

/// Items whose time to be given up has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpiredItems {
    /// Group of batch jobs.
    pub group: u32,
    /// Id of the job.
    pub job: String,
    /// Indices of the items.
    pub items: Vec<usize>,
}

/// What the scheduler knows of a group of batch jobs.
#[derive(Debug)]
struct GroupSchedule {
    epoch: u64,
    takeover: Takeover,
    next_lease: u64,
}

/// Which items wait, which are leased and to whom.
#[derive(Debug, Default)]
pub struct Scheduler {
    groups: BTreeMap<u32, GroupSchedule>,
    jobs: HashMap<String, JobSchedule>,
    order: BTreeSet<OrderKey>,
    leases: Leases,
    /// Proxies that were told that there is nothing more to lease.
    idle: BTreeSet<ProxyId>,
}

impl Scheduler {
    /// This machine acts as primary of a group from now on.
    pub fn start_group(
        &mut self, now: Duration, group: u32, epoch: u64, clock: &GroupClock, state: &BatchState,
    ) {
        self.stop_group(group);
        let has_open_jobs = state.jobs().any(|job| !job.is_complete());
        let takeover = Takeover::new(now, has_open_jobs, self.leases.proxies());
        let next_lease = (epoch << LEASE_NUMBER_BITS) + 1;
        self.groups.insert(group, GroupSchedule { epoch, takeover, next_lease });
        for job in state.jobs() {
            self.add_job(now, group, clock, job);
            if let Some(schedule) = self.jobs.get_mut(job.id()) {
                schedule.is_taken_over = true;
            }
        }
    }

    /// This machine does not act as primary of a group any more.
    pub fn stop_group(&mut self, group: u32) {
        self.groups.remove(&group);
        self.leases.remove_group(group);
        self.jobs.retain(|_, job| job.group() != group);
        self.order.retain(|key| key.group != group);
    }

    /// Whether this machine acts as primary of a group.
    pub fn has_group(&self, group: u32) -> bool {
        self.groups.contains_key(&group)
    }

    /// A job was taken into custody.
    pub fn add_job(&mut self, now: Duration, group: u32, clock: &GroupClock, job: &StoredJob) {
        if job.is_complete() || self.jobs.contains_key(job.id()) {
            return;
        }
        let schedule = JobSchedule::new(now, group, clock, job);
        self.order.insert(schedule.order_key().clone());
        self.jobs.insert(job.id().to_owned(), schedule);
    }

    /// A job has ended: nothing more of it is leased.
    pub fn remove_job(&mut self, job: &str) {
        if let Some(schedule) = self.jobs.remove(job) {
            self.order.remove(schedule.order_key());
            self.leases.remove_job(job);
        }
    }

    /// A proxy is connected.
    pub fn connect_proxy(&mut self, proxy: ProxyId) {
        self.leases.connect(proxy);
    }

    /// The link to a proxy is lost: its leases end when the last renewal that it may have got does.
    pub fn disconnect_proxy(&mut self, proxy: ProxyId) {
        self.idle.remove(&proxy);
        self.leases.disconnect(proxy);
        for group in self.groups.values_mut() {
            group.takeover.forget(proxy);
        }
    }

    /// Leases items to a proxy: at most `max_items`, and a few more to keep a group of samples
    /// whole. `states` gives the replicated state of a group, if it may be acted on now.
    pub fn take<'state>(
        &mut self, now: Duration, proxy: ProxyId, max_items: usize,
        states: impl Fn(u32) -> Option<&'state BatchState>,
    ) -> Vec<WorkLease> {
        let mut given: Vec<WorkLease> = Vec::new();
        let mut count = 0;
        for with_surplus in [false, true] {
            if with_surplus && count > 0 {
                break;
            }
            for key in self.order.clone() {
                if count >= max_items || body_bytes(&given) >= MOST_BYTES_AT_ONCE {
                    break;
                }
                let Some(job) = states(key.group).and_then(|state| state.job(&key.job)) else { continue };
                count += self.take_from_job(now, proxy, max_items - count, with_surplus, job, &mut given);
            }
        }
        if given.is_empty() || count < max_items {
            self.idle.insert(proxy);
        } else {
            self.idle.remove(&proxy);
        }
        given
    }

    /// Leases groups of samples of one job; how many items they are.
    fn take_from_job(
        &mut self, now: Duration, proxy: ProxyId, room: usize, with_surplus: bool, job: &StoredJob,
        given: &mut Vec<WorkLease>,
    ) -> usize {
        let Some(schedule) = self.jobs.get_mut(job.id()) else { return 0 };
        let Some(group) = self.groups.get_mut(&schedule.group()) else { return 0 };
        if (schedule.is_taken_over && group.takeover.holds_back(now)) || schedule.has_expired(now) {
            return 0;
        }
        let mut count = 0;
        while count < room && body_bytes(given) < MOST_BYTES_AT_ONCE {
            let most = room - count + MOST_ITEMS_BEYOND;
            let Some(sample) = schedule.next_sample_group(now, with_surplus) else { break };
            let key = LeaseKey { group: schedule.group(), number: group.next_lease };
            let indices = schedule.lease_sample_group(sample, key.number, most);
            if indices.is_empty() {
                break;
            }
            group.next_lease += 1;
            count += indices.len();
            given.push(work_lease(now, group.epoch, key, schedule, job, &indices));
            let holder = Holder { proxy, is_announced: false };
            self.leases.insert(now, key, holder, job.id(), indices);
        }
        count
    }

    /// A result of an item came: it is not leased any more. Whether it is worth proposing: its
    /// job is scheduled here, and no other result of the item came.
    pub fn finish(&mut self, job: &str, item: usize) -> bool {
        let Some(schedule) = self.jobs.get_mut(job) else { return false };
        let group = schedule.group();
        let Some(lease) = schedule.finish(item) else { return false };
        self.leases.remove_item(group, lease, item);
        true
    }

    /// A result of an item can't be used: the item waits again, with nothing known of it.
    pub fn drop_result(&mut self, job: &str, item: usize) {
        let Some(schedule) = self.jobs.get_mut(job) else { return };
        let Some(lease) = schedule.lease_of(item) else { return };
        let group = schedule.group();
        schedule.keep_progress(item, ItemProgress::default());
        schedule.release(item, lease);
        self.leases.remove_item(group, lease, item);
    }

    /// A proxy handed an item back that it had under this lease. Ignored if the item is under
    /// another lease by now.
    pub fn hand_back(&mut self, proxy: ProxyId, number: u64, job: &str, item: usize, progress: ItemProgress) {
        let Some(schedule) = self.jobs.get_mut(job) else { return };
        let Some(lease) = schedule.lease_of(item) else { return };
        let key = LeaseKey { group: schedule.group(), number: lease };
        if !self.leases.is_meant(key, proxy, number) {
            return;
        }
        schedule.keep_progress(item, progress);
        schedule.release(item, lease);
        self.leases.remove_item(key.group, lease, item);
    }

    /// A proxy announced a lease that it got from an earlier primary, or before its link was lost.
    pub fn hold(&mut self, now: Duration, proxy: ProxyId, job: &str, items: &[usize]) {
        let Some(schedule) = self.jobs.get_mut(job) else { return };
        let Some(group) = self.groups.get_mut(&schedule.group()) else { return };
        let key = LeaseKey { group: schedule.group(), number: group.next_lease };
        let mut held = Vec::new();
        for item in items.iter().copied() {
            let former = schedule.lease_of(item).map(|number| LeaseKey { group: key.group, number });
            if former.is_some_and(|former| self.leases.is_held_by_connected(former)) {
                continue;
            }
            if schedule.assign(item, key.number) {
                held.push(item);
            }
            if let Some(former) = former {
                self.leases.remove_item(former.group, former.number, item);
            }
        }
        if !held.is_empty() {
            group.next_lease += 1;
            let holder = Holder { proxy, is_announced: true };
            self.leases.insert(now, key, holder, job, held);
        }
    }

    /// A proxy has announced all leases that it holds.
    pub fn has_announced(&mut self, now: Duration, proxy: ProxyId) {
        for group in self.groups.values_mut() {
            group.takeover.announced(now, proxy);
        }
    }

    /// Ends the leases of lost proxies, those that were not renewed in time, and those that are
    /// older than any item may take.
    pub fn end_leases(&mut self, now: Duration) {
        for ended in self.leases.take_ended(now) {
            let Some(schedule) = self.jobs.get_mut(&ended.job) else { continue };
            for item in ended.items {
                schedule.release(item, ended.key.number);
            }
        }
    }

    /// What to renew: for each connected proxy that holds leases, the groups for which `is_acting`
    /// says that this machine may. A lease that was not renewed in time is not.
    pub fn renew(&mut self, now: Duration, is_acting: impl Fn(u32) -> bool) -> Vec<(ProxyId, Vec<u32>)> {
        self.end_leases(now);
        let renewed = self.leases.renew(now, is_acting).into_iter();
        renewed.map(|(proxy, groups)| (proxy, groups.into_iter().collect())).collect()
    }

    /// Epoch in which this machine became primary of a group; its leases carry it.
    pub fn epoch(&self, group: u32) -> Option<u64> {
        self.groups.get(&group).map(|group| group.epoch)
    }

    /// Items that wait and whose time to be given up has come; they count as finished from now on.
    pub fn take_expired(&mut self, now: Duration) -> Vec<ExpiredItems> {
        let mut expired = Vec::new();
        for (id, job) in &mut self.jobs {
            let items = job.take_expired(now);
            if !items.is_empty() {
                expired.push(ExpiredItems { group: job.group(), job: id.clone(), items });
            }
        }
        expired.sort_by(|left, right| left.job.cmp(&right.job));
        expired
    }

    /// Proxies that were told that there is nothing more, if there is something by now.
    pub fn take_idle(&mut self, now: Duration, is_acting: impl Fn(u32) -> bool) -> Vec<ProxyId> {
        if self.idle.is_empty() || !self.has_work(now, is_acting) {
            return Vec::new();
        }
        std::mem::take(&mut self.idle).into_iter().collect()
    }

    /// Whether an item of a group that `is_acting` allows could be leased now.
    pub fn has_work(&self, now: Duration, is_acting: impl Fn(u32) -> bool) -> bool {
        let can_lease = |job: &JobSchedule| {
            let held_back = |group: &GroupSchedule| job.is_taken_over && group.takeover.holds_back(now);
            self.groups.get(&job.group()).is_some_and(|group| !held_back(group))
                && is_acting(job.group())
                && !job.has_expired(now)
                && job.next_sample_group(now, true).is_some()
        };
        self.jobs.values().any(can_lease)
    }

    /// Jobs scheduled here.
    pub fn open_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Items leased now.
    pub fn leased_items(&self) -> usize {
        self.leases.items()
    }
}

fn body_bytes(leases: &[WorkLease]) -> usize {
    let items = leases.iter().flat_map(|lease| &lease.items);
    items.map(|leased| leased.item.body.len() + leased.partial.message.len()).sum()
}

fn work_lease(
    now: Duration, epoch: u64, key: LeaseKey, schedule: &JobSchedule, stored: &StoredJob, indices: &[usize],
) -> WorkLease {
    let leased = |index: &usize| {
        let item = stored.pending_item(*index)?.clone();
        let progress = schedule.progress(*index);
        Some(LeasedItem {
            item,
            failed_attempts: progress.failed_attempts,
            failed_scorer_attempts: progress.failed_scorer_attempts,
            partial: progress.partial,
        })
    };
    let job = stored.job();
    WorkLease {
        lease: key.number,
        store_group: key.group,
        epoch,
        job: job.id.clone(),
        terms: job.terms.clone(),
        model: job.model.clone(),
        min_version: job.min_version,
        due_in_ms: schedule.due_in_ms(now),
        expires_in_ms: schedule.expires_in_ms(now),
        items: indices.iter().filter_map(leased).collect(),
    }
}
