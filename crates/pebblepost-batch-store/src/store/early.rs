//! What proxies say of a group to a machine that is not primary of it yet.
//!
//! Proxies follow the feed, and may know of a new primary before it has taken over. What they send
//! it then is kept until it has.

use super::outbox::LinkId;
use pebblepost_messages::batch::{ActiveLease, ItemResult};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Results are kept for this long.
const MOST_AGE: Duration = Duration::from_secs(10);
/// Most bytes of results that are kept.
const MOST_BYTES: usize = 8 * 1024 * 1024;
/// What a result takes beside its text, in bytes.
const RESULT_OVERHEAD_BYTES: usize = 256;

/// A result of an item.
#[derive(Debug)]
pub(super) struct EarlyResult {
    pub(super) group: u32,
    pub(super) job: String,
    pub(super) result: ItemResult,
}

/// What came too early.
#[derive(Debug, Default)]
pub(super) struct Early {
    announced: BTreeMap<LinkId, Vec<ActiveLease>>,
    results: VecDeque<(Duration, EarlyResult)>,
    bytes: usize,
}

impl Early {
    /// Keeps the leases that a proxy announced last.
    pub(super) fn keep_announced(&mut self, link: LinkId, leases: Vec<ActiveLease>) {
        self.announced.insert(link, leases);
    }

    /// A proxy's link is lost.
    pub(super) fn forget(&mut self, link: LinkId) {
        self.announced.remove(&link);
    }

    /// Takes the leases announced of a group.
    pub(super) fn take_announced(&mut self, group: u32) -> Vec<(LinkId, Vec<ActiveLease>)> {
        let of_group = |lease: &mut ActiveLease| lease.store_group == group;
        let taken = self.announced.iter_mut();
        taken.map(|(link, leases)| (*link, leases.extract_if(.., of_group).collect())).collect()
    }

    /// Keeps a result; the oldest ones go if there are too many.
    pub(super) fn keep_result(&mut self, now: Duration, result: EarlyResult) {
        self.bytes += bytes_of(&result);
        self.results.push_back((now, result));
        while self.results.front().is_some_and(|(at, _)| now.saturating_sub(*at) > MOST_AGE)
            || self.bytes > MOST_BYTES
        {
            let Some((_, oldest)) = self.results.pop_front() else { return };
            self.bytes -= bytes_of(&oldest);
        }
    }

    /// Takes the results of a group.
    pub(super) fn take_results(&mut self, group: u32) -> Vec<EarlyResult> {
        let (taken, kept): (VecDeque<_>, VecDeque<_>) =
            std::mem::take(&mut self.results).into_iter().partition(|(_, result)| result.group == group);
        self.results = kept;
        let taken: Vec<EarlyResult> = taken.into_iter().map(|(_, result)| result).collect();
        self.bytes -= taken.iter().map(bytes_of).sum::<usize>();
        taken
    }
}

fn bytes_of(result: &EarlyResult) -> usize {
    RESULT_OVERHEAD_BYTES + result.result.message.len()
}
