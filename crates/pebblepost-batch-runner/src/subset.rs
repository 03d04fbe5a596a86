//! Which transcribers of a service a proxy sends work to.
//!
//! A fleet in which every proxy talks to every transcriber opens connections by the product of both numbers. Each proxy
//! keeps to a few, its first ones by rendezvous hashing, most of them in its own zone; where one goes, the next takes its
//! place and the others stay.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Proxies to whose subset a transcriber belongs, on average: fewer mean that a connection to the one chosen is there
/// already, more spread the load better.
const SHARED_BY: usize = 2;
/// Transcribers of its own zone that a proxy sends work to at least.
const LEAST_NEAR: usize = 2;

/// Tries that find all full before a request looks beyond its proxy's subset; then so many for each further step.
const TRIES_EACH_SIZE: u32 = 3;

/// Steps by which a request looks beyond the subset at most.
const MOST_STEPS: usize = 7;

/// How many transcribers of a service a proxy sends work to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubsetSize {
    /// Of its own zone.
    pub near: usize,
    /// Of all zones.
    pub all: usize,
}

impl SubsetSize {
    /// For a service of so many transcribers, and so many proxies that send work to them.
    pub fn new(transcribers: usize, proxies: usize) -> SubsetSize {
        let near = (transcribers * SHARED_BY).div_ceil(proxies.max(1)).max(LEAST_NEAR);
        SubsetSize { near, all: near + near.div_ceil(2) }
    }

    /// The size for a request that found all full so often: as large again after every few tries, so that no transcriber
    /// rests while a request waits.
    pub fn after_tries(self, tries: u32) -> SubsetSize {
        let factor = 1 + usize::try_from(tries / TRIES_EACH_SIZE).unwrap_or(usize::MAX).min(MOST_STEPS);
        SubsetSize { near: self.near * factor, all: self.all * factor }
    }

    /// The size of a subset of which as many serve a request as this one holds, where `serving` of `all` do.
    pub fn of_which_serve(self, all: usize, serving: usize) -> SubsetSize {
        let widen = |size: usize| (size * all).div_ceil(serving.max(1));
        SubsetSize { near: widen(self.near), all: widen(self.all) }
    }
}

/// Keeps the subset of candidates that are in a proxy's order, those of its own zone first; how many of these are kept.
pub fn keep<T>(candidates: &mut Vec<T>, size: SubsetSize, is_near: impl Fn(&T) -> bool) -> usize {
    let near = candidates.iter().filter(|candidate| is_near(candidate)).count();
    let kept = near.min(size.near);
    candidates.drain(kept..near);
    candidates.truncate(size.all);
    kept
}

/// The place of a transcriber in a proxy's order: where one comes or goes, the others keep theirs.
pub fn affinity(node: &str, instance: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (node, instance).hash(&mut hasher);
    hasher.finish()
}
