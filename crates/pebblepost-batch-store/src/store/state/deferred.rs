//! Messages of proxies about groups whose primary this machine is about to become.
//!
//! Proxies follow the feed and may learn of a new primary before it has taken over. What they send it by
//! then is kept until its term starts.

use super::outbox::LinkId;
use pebblepost_messages::batch::{ActiveLease, ItemResult};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Age at which a result is dropped.
const MAX_RESULT_AGE: Duration = Duration::from_secs(10);
/// Estimated memory of the results above which the oldest are dropped, in bytes.
const MAX_RESULT_BYTES: usize = 8 * 1024 * 1024;
/// Estimated memory of a result beside its text, in bytes.
const RESULT_OVERHEAD_BYTES: usize = 256;

/// A result of an item.
#[derive(Debug)]
pub(crate) struct DeferredResult {
    pub(crate) group_id: u32,
    pub(crate) job: String,
    pub(crate) result: ItemResult,
}

impl DeferredResult {
    fn estimated_bytes(&self) -> usize {
        RESULT_OVERHEAD_BYTES + self.result.message.len()
    }
}

/// Lease reports and results that arrived too early.
#[derive(Debug, Default)]
pub(crate) struct DeferredMessages {
    reported_leases: BTreeMap<LinkId, Vec<ActiveLease>>,
    /// Results with the time of their arrival.
    results: VecDeque<(Duration, DeferredResult)>,
    result_bytes: usize,
}

impl DeferredMessages {
    /// Keeps the leases of the newest report of a proxy.
    pub(crate) fn set_reported_leases(&mut self, link: LinkId, leases: Vec<ActiveLease>) {
        self.reported_leases.insert(link, leases);
    }

    /// The link of a proxy is lost: its report is void.
    pub(crate) fn remove_link(&mut self, link: LinkId) {
        self.reported_leases.remove(&link);
    }

    /// Removes the reported leases of a group, by proxy.
    pub(crate) fn take_reported_leases(&mut self, group_id: u32) -> Vec<(LinkId, Vec<ActiveLease>)> {
        let is_of_group = |lease: &mut ActiveLease| lease.store_group == group_id;
        let reports = self.reported_leases.iter_mut();
        reports.map(|(link, leases)| (*link, leases.extract_if(.., is_of_group).collect())).collect()
    }

    /// Keeps a result; the oldest are dropped by age and size.
    pub(crate) fn push_result(&mut self, now: Duration, result: DeferredResult) {
        self.result_bytes += result.estimated_bytes();
        self.results.push_back((now, result));
        while self.results.front().is_some_and(|(at, _)| now.saturating_sub(*at) > MAX_RESULT_AGE)
            || self.result_bytes > MAX_RESULT_BYTES
        {
            let Some((_, oldest)) = self.results.pop_front() else { return };
            self.result_bytes -= oldest.estimated_bytes();
        }
    }

    /// Removes the results of a group, oldest first.
    pub(crate) fn take_results(&mut self, group_id: u32) -> Vec<DeferredResult> {
        let (taken, kept): (VecDeque<_>, VecDeque<_>) = std::mem::take(&mut self.results)
            .into_iter()
            .partition(|(_, result)| result.group_id == group_id);
        self.results = kept;
        let taken: Vec<DeferredResult> = taken.into_iter().map(|(_, result)| result).collect();
        self.result_bytes -= taken.iter().map(DeferredResult::estimated_bytes).sum::<usize>();
        taken
    }
}
