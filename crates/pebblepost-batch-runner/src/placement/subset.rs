//! Deterministic subsetting: which transcribers of a service this proxy sends requests to.
//!
//! If every proxy used every transcriber, the number of connections would grow with the product of both counts. Each
//! proxy therefore uses the first few transcribers of its own rendezvous-hash order, most of them in its own zone.
//! When a transcriber is added or removed, the relative order of the others does not change.
//!
//! This module has no state.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Average number of proxies that use a transcriber. With fewer, a request finds an open connection more often; with
/// more, the load is spread more evenly.
const MEAN_PROXIES_PER_TRANSCRIBER: usize = 2;
/// Minimum number of transcribers in its own zone that a proxy uses.
const MIN_LOCAL_TRANSCRIBERS: usize = 2;
/// Rounds in which every probed transcriber was full before the subset is widened by one step.
const FULL_ROUNDS_PER_WIDENING_STEP: u32 = 3;
/// Maximum number of steps by which a subset is widened.
const MAX_WIDENING_STEPS: usize = 7;

/// Number of transcribers of a service that a proxy uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubsetSize {
    /// Maximum number in the proxy's own zone.
    pub local: usize,
    /// Maximum number in all zones together.
    pub total: usize,
}

impl SubsetSize {
    /// Returns the subset size for a service with `transcribers` transcribers that `proxies` proxies share.
    pub fn new(transcribers: usize, proxies: usize) -> SubsetSize {
        let local = (transcribers * MEAN_PROXIES_PER_TRANSCRIBER)
            .div_ceil(proxies.max(1))
            .max(MIN_LOCAL_TRANSCRIBERS);
        SubsetSize { local, total: local + local.div_ceil(2) }
    }

    /// Returns the size for a request that found every probed transcriber full in `full_rounds` rounds.
    ///
    /// The size grows by one subset every few rounds, so that no transcriber stays idle while a request waits.
    #[must_use]
    pub fn widened_after(self, full_rounds: u32) -> SubsetSize {
        let steps = usize::try_from(full_rounds / FULL_ROUNDS_PER_WIDENING_STEP)
            .unwrap_or(usize::MAX)
            .min(MAX_WIDENING_STEPS);
        let factor = 1 + steps;
        SubsetSize { local: self.local * factor, total: self.total * factor }
    }

    /// Returns the size of a subset of all `transcribers` that contains about as many serving transcribers as this
    /// size states, if `serving` of them serve the model.
    #[must_use]
    pub fn scaled_to_serving(self, transcribers: usize, serving: usize) -> SubsetSize {
        let scale = |size: usize| (size * transcribers).div_ceil(serving.max(1));
        SubsetSize { local: scale(self.local), total: scale(self.total) }
    }
}

/// Retains the subset of `candidates`, which must be in the proxy's order with those of its own zone first. Returns
/// how many of its own zone are retained.
pub fn retain_subset<T>(candidates: &mut Vec<T>, size: SubsetSize, is_local: impl Fn(&T) -> bool) -> usize {
    let local = candidates.iter().filter(|candidate| is_local(candidate)).count();
    let retained = local.min(size.local);
    candidates.drain(retained..local);
    candidates.truncate(size.total);
    retained
}

/// Returns the sort key of a transcriber in a proxy's order (rendezvous hashing).
pub fn rendezvous_hash(node: &str, instance: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (node, instance).hash(&mut hasher);
    hasher.finish()
}
