//! Deterministic subsetting: which transcribers of a service this proxy sends work to.
//!
//! If every proxy used every transcriber, connections would grow with the product of both numbers. Each proxy
//! uses the first few in its own order by rendezvous hashing, most of them in its own zone. When a transcriber
//! comes or goes, the order of the others stays.
//!
//! Holds no state.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Proxies that use a transcriber, on average. Fewer would find a connection open more often; more would spread
/// the load better.
const PROXIES_PER_TRANSCRIBER: usize = 2;
/// Transcribers of its own zone that a proxy uses at least.
const MIN_LOCAL: usize = 2;
/// Rounds of probes that find every transcriber full before the subset is widened by a step.
const ROUNDS_PER_STEP: u32 = 3;
/// Steps by which a subset is widened at most.
const MAX_STEPS: usize = 7;

/// How many transcribers of a service a proxy uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubsetSize {
    /// Of its own zone, at most.
    pub local: usize,
    /// Of all zones, at most.
    pub total: usize,
}

impl SubsetSize {
    /// The size for a service of this many transcribers, used by this many proxies.
    pub fn new(transcribers: usize, proxies: usize) -> SubsetSize {
        let local = (transcribers * PROXIES_PER_TRANSCRIBER).div_ceil(proxies.max(1)).max(MIN_LOCAL);
        SubsetSize { local, total: local + local.div_ceil(2) }
    }

    /// The size for a request that found every probed transcriber full in this many rounds: one more subset for
    /// each few rounds, so that no transcriber idles while a request waits.
    #[must_use]
    pub fn widened_after(self, full_rounds: u32) -> SubsetSize {
        let steps = usize::try_from(full_rounds / ROUNDS_PER_STEP).unwrap_or(usize::MAX).min(MAX_STEPS);
        let factor = 1 + steps;
        SubsetSize { local: self.local * factor, total: self.total * factor }
    }

    /// The size of a subset of all transcribers that contains about as many serving ones as this size says,
    /// where `serving` of `transcribers` do.
    #[must_use]
    pub fn scaled_to_serving(self, transcribers: usize, serving: usize) -> SubsetSize {
        let scale = |size: usize| (size * transcribers).div_ceil(serving.max(1));
        SubsetSize { local: scale(self.local), total: scale(self.total) }
    }
}

/// Retains the subset of candidates that are in the proxy's order, those of its own zone first. Returns how many
/// of the own zone were retained.
pub fn retain_subset<T>(candidates: &mut Vec<T>, size: SubsetSize, is_local: impl Fn(&T) -> bool) -> usize {
    let local = candidates.iter().filter(|candidate| is_local(candidate)).count();
    let retained = local.min(size.local);
    candidates.drain(retained..local);
    candidates.truncate(size.total);
    retained
}

/// Sort key of a transcriber in a proxy's order (rendezvous hashing).
pub fn rendezvous_hash(node: &str, instance: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (node, instance).hash(&mut hasher);
    hasher.finish()
}
