//! Proxies that wait for a notice that there is work for them.

use super::job_schedule::{EligibleSampleGroups, JobSchedule};
use super::lease_table::ProxyId;
use super::work_request::{WorkRequest, is_sendable};
use crate::job::StoredJob;
use std::collections::BTreeMap;
use std::time::Duration;

/// Interval at which the items of jobs are compared with what idle proxies cannot send. The comparison takes time for
/// each pending item, and there may be many turns a second.
const ITEM_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// A job with items that can be leased to a proxy that can send all items.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeasableJob<'a> {
    pub(super) schedule: &'a JobSchedule,
    pub(super) job: &'a StoredJob,
}

impl LeasableJob<'_> {
    /// Returns whether an item can be leased whose path begins with none of the prefixes.
    fn has_sendable_item(&self, now: Duration, unsendable_paths: &[&str]) -> bool {
        let is_sendable = |item: usize| is_sendable(self.job, item, unsendable_paths);
        self.schedule.next_sample_group(now, EligibleSampleGroups::Oversampled, &is_sendable).is_some()
    }
}

/// Proxies that were granted fewer items than they last requested, with these requests.
#[derive(Debug, Default)]
pub(super) struct IdleProxies {
    requests: BTreeMap<ProxyId, WorkRequest>,
    next_item_check: Duration,
}

impl IdleProxies {
    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    pub(super) fn insert(&mut self, proxy: ProxyId, request: WorkRequest) {
        self.requests.insert(proxy, request);
    }

    pub(super) fn remove(&mut self, proxy: ProxyId) {
        self.requests.remove(&proxy);
    }

    /// Removes and returns the proxies that can send an item of one of the jobs. Those that can send only some items
    /// of each job are found with a delay of up to [`ITEM_CHECK_INTERVAL`].
    pub(super) fn take_with_work(&mut self, now: Duration, jobs: &[LeasableJob<'_>]) -> Vec<ProxyId> {
        let mut items = ItemCheck { now, is_due: now >= self.next_item_check, results: BTreeMap::new() };
        if items.is_due {
            self.next_item_check = now + ITEM_CHECK_INTERVAL;
        }
        let with_work = self.requests.iter().filter(|(_, request)| items.has_work(jobs, request));
        let proxies: Vec<ProxyId> = with_work.map(|(proxy, _)| *proxy).collect();
        for proxy in &proxies {
            self.requests.remove(proxy);
        }
        proxies
    }
}

/// The comparison of the items of jobs with what proxies cannot send.
struct ItemCheck<'a> {
    now: Duration,
    is_due: bool,
    /// Whether a job has a sendable item, by job and unsendable paths. Most proxies cannot send the same items,
    /// because they have the same configuration.
    results: BTreeMap<(&'a str, Vec<&'a str>), bool>,
}

impl<'a> ItemCheck<'a> {
    fn has_work(&mut self, jobs: &'a [LeasableJob<'_>], request: &'a WorkRequest) -> bool {
        jobs.iter().any(|leasable| {
            let unsendable_paths = request.unsendable_paths(leasable.job.id());
            unsendable_paths.is_empty() || (self.is_due && self.has_sendable_item(leasable, unsendable_paths))
        })
    }

    fn has_sendable_item(&mut self, leasable: &'a LeasableJob<'_>, unsendable_paths: Vec<&'a str>) -> bool {
        let now = self.now;
        let entry = self.results.entry((leasable.job.id(), unsendable_paths));
        *entry.or_insert_with_key(|(_, unsendable_paths)| leasable.has_sendable_item(now, unsendable_paths))
    }
}
