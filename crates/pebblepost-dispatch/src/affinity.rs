//! Cache affinity: jobs of one key go to the same few workers, which keep what the key needs.
//!
//! Owns the keys this node has sent to each worker and how often each is asked for; decides nothing.
//!
//! The order of workers for a key is rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings
//! to increase hit rates", 1998) with weights (Schindelhauer and Schomaker, "Weighted distributed hash
//! tables", 2005): every node that knows the same weights has the same order, a worker comes first for the
//! part of the keys that its weight is of all weights, and one that leaves moves only its own keys.

use std::collections::{HashMap, VecDeque};

/// The key of jobs that need nothing.
pub const NO_KEY: u64 = 0;
/// Keys remembered for each worker. Workers keep fewer for each of their slots, but one node sees only a part
/// of their jobs, and keys asked for often stay in front.
const RECENT_KEYS: usize = 8;
/// Jobs over which the popularity of keys is counted.
const POPULARITY_WINDOW: usize = 256;
/// Fewest jobs that a popularity is taken of.
const MIN_POPULARITY_JOBS: usize = POPULARITY_WINDOW / 8;
/// Workers for a key, as a multiple of its part of all jobs: jobs come in bursts, and one node sees a sample.
const REPLICA_HEADROOM: f64 = 1.5;

/// Scatters numbers evenly (the finalizer of SplitMix64).
fn mix(number: u64) -> u64 {
    let number = (number ^ number >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ number >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ number >> 31
}

/// Rank of a worker for a key; the lowest comes first. `name` is the same at every node, `weight` over 0.
pub fn rank(key: u64, name: u64, weight: f64) -> u64 {
    // An exponential draw of rate `weight`; the bits of positive floats are ordered as the floats are.
    let uniform = ((mix(key ^ mix(name)) >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    (-uniform.ln() / weight.max(f64::MIN_POSITIVE)).to_bits()
}

/// The first `count` of some workers in the order of their ranks.
pub fn first_by_rank(
    workers: impl Iterator<Item = usize>, count: usize, rank: impl Fn(&usize) -> u64,
) -> Vec<usize> {
    let mut ordered: Vec<usize> = workers.collect();
    ordered.sort_unstable_by_key(&rank);
    ordered.truncate(count);
    ordered
}

/// Keys of the jobs that one node sent to one worker of late.
#[derive(Clone, Debug, Default)]
pub struct RecentKeys {
    /// The latest is last.
    keys: VecDeque<u64>,
}

impl RecentKeys {
    /// A job of this key was sent to the worker.
    pub fn record(&mut self, key: u64) {
        if key == NO_KEY {
            return;
        }
        self.keys.retain(|known| *known != key);
        self.keys.push_back(key);
        if self.keys.len() > RECENT_KEYS {
            self.keys.pop_front();
        }
    }

    /// Whether a job of this key finds there what it needs, as far as this node can know.
    pub fn contains(&self, key: u64) -> bool {
        key == NO_KEY || self.keys.contains(&key)
    }
}

/// How often each key is asked for, among the last of a node's own jobs that have one.
#[derive(Clone, Debug, Default)]
pub struct KeyPopularity {
    recent: VecDeque<u64>,
    counts: HashMap<u64, usize>,
}

impl KeyPopularity {
    /// A job of this key arrived.
    pub fn record(&mut self, key: u64) {
        if key == NO_KEY {
            return;
        }
        self.recent.push_back(key);
        *self.counts.entry(key).or_default() += 1;
        if self.recent.len() > POPULARITY_WINDOW
            && let Some(oldest) = self.recent.pop_front()
            && let Some(count) = self.counts.get_mut(&oldest)
        {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&oldest);
            }
        }
    }

    /// On how many of so many workers the jobs of a key go: one, unless it is asked for more often than one
    /// worker can bear.
    pub fn workers_per_key(&self, key: u64, workers: usize) -> usize {
        let jobs = self.counts.get(&key).copied().unwrap_or(0) as f64;
        let fraction = jobs / self.recent.len().max(MIN_POPULARITY_JOBS) as f64;
        ((fraction * workers as f64 * REPLICA_HEADROOM).ceil() as usize).clamp(1, workers.max(1))
    }
}
