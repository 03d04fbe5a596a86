//! Messages of proxies that concern store groups of which this machine may become primary.
//!
//! Proxies follow the feed and may learn of a new primary before its term starts. Their messages are kept
//! until it does.

use super::outbox::LinkId;
use pebblepost_messages::batch::{ActiveLease, ItemResult};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Maximum age of a deferred result; older ones are dropped when another result arrives.
const MAX_DEFERRED_RESULT_AGE: Duration = Duration::from_secs(10);
/// Maximum estimated memory of the deferred results; beyond it the oldest are dropped.
const MAX_DEFERRED_RESULT_BYTES: usize = 8 * 1024 * 1024;
/// Estimated memory of a result, excluding its text.
const RESULT_OVERHEAD_BYTES: usize = 256;

/// A deferred result of an item.
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

/// Lease reports and results that arrived before a term as primary.
#[derive(Debug, Default)]
pub(crate) struct DeferredMessages {
    reported_leases: BTreeMap<LinkId, Vec<ActiveLease>>,
    /// Results with their time of arrival, oldest first.
    results: VecDeque<(Duration, DeferredResult)>,
    result_bytes: usize,
}

impl DeferredMessages {
    /// Keeps the leases of a proxy's report in place of those of its earlier one.
    pub(crate) fn set_reported_leases(&mut self, link: LinkId, leases: Vec<ActiveLease>) {
        self.reported_leases.insert(link, leases);
    }

    /// Drops the report of a proxy whose link is lost.
    pub(crate) fn remove_link(&mut self, link: LinkId) {
        self.reported_leases.remove(&link);
    }

    /// Removes and returns the reported leases of a store group, by proxy.
    pub(crate) fn take_reported_leases(&mut self, group_id: u32) -> Vec<(LinkId, Vec<ActiveLease>)> {
        let is_of_group = |lease: &mut ActiveLease| lease.store_group == group_id;
        let reports = self.reported_leases.iter_mut();
        reports.map(|(link, leases)| (*link, leases.extract_if(.., is_of_group).collect())).collect()
    }

    /// Keeps a result, and drops the oldest ones that exceed the maximum age or total size.
    pub(crate) fn push_result(&mut self, now: Duration, result: DeferredResult) {
        self.result_bytes += result.estimated_bytes();
        self.results.push_back((now, result));
        while self.results.front().is_some_and(|(at, _)| now.saturating_sub(*at) > MAX_DEFERRED_RESULT_AGE)
            || self.result_bytes > MAX_DEFERRED_RESULT_BYTES
        {
            let Some((_, oldest)) = self.results.pop_front() else { return };
            self.result_bytes -= oldest.estimated_bytes();
        }
    }

    /// Removes and returns the results of a store group, oldest first.
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
