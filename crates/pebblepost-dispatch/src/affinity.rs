//! Cache affinity: jobs with the same key go to the same few workers, which cache what the key needs.
//!
//! Owns the keys that this dispatcher has sent to each worker and the popularity of keys. Makes no decisions.
//!
//! The order of workers for a key is rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings
//! to increase hit rates", 1998) with weights (Schindelhauer and Schomaker, "Weighted distributed hash
//! tables", 2005). All dispatchers that know the same weights have the same order. A worker comes first for a
//! fraction of the keys equal to its fraction of the total weight. A worker that leaves moves only its own
//! keys.

use std::collections::{HashMap, VecDeque};

/// Key of jobs that need nothing cached.
pub const NO_KEY: u64 = 0;
/// Number of keys remembered for each worker. Workers cache fewer keys for each of their slots, but one
/// dispatcher sees only a part of their jobs, and popular keys stay recent.
const RECENT_KEYS_PER_WORKER: usize = 8;
/// Number of jobs over which the popularity of keys is counted.
const POPULARITY_WINDOW_JOBS: usize = 256;
/// Minimum number of jobs assumed when a popularity is computed.
const MIN_POPULARITY_JOBS: usize = POPULARITY_WINDOW_JOBS / 8;
/// Number of workers for a key as a multiple of its fraction of all jobs. The headroom covers bursts and the
/// fact that one dispatcher sees only a sample.
const WORKERS_PER_KEY_HEADROOM: f64 = 1.5;

/// Scatters numbers evenly (the finalizer of SplitMix64).
fn mix(number: u64) -> u64 {
    let number = (number ^ number >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ number >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ number >> 31
}

/// Returns the rank of a worker for a key; the lowest rank comes first. `name` must be the same at every
/// dispatcher and `weight` greater than 0.
pub fn rank(key: u64, name: u64, weight: f64) -> u64 {
    // An exponential draw of rate `weight`. The bits of positive floats are ordered as the floats are.
    let uniform = ((mix(key ^ mix(name)) >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    (-uniform.ln() / weight.max(f64::MIN_POSITIVE)).to_bits()
}

/// Returns the first `count` of `workers` in the order of their ranks.
pub fn first_by_rank(
    workers: impl Iterator<Item = usize>, count: usize, rank: impl Fn(&usize) -> u64,
) -> Vec<usize> {
    let mut ordered: Vec<usize> = workers.collect();
    ordered.sort_unstable_by_key(&rank);
    ordered.truncate(count);
    ordered
}

/// Keys of the jobs that one dispatcher recently sent to one worker.
#[derive(Clone, Debug, Default)]
pub struct RecentKeys {
    /// Oldest first.
    keys: VecDeque<u64>,
}

impl RecentKeys {
    /// Records that a job with this key was sent to the worker.
    pub fn record(&mut self, key: u64) {
        if key == NO_KEY {
            return;
        }
        self.keys.retain(|known| *known != key);
        self.keys.push_back(key);
        if self.keys.len() > RECENT_KEYS_PER_WORKER {
            self.keys.pop_front();
        }
    }

    /// Returns whether the worker is likely to have cached what a job with this key needs.
    pub fn contains(&self, key: u64) -> bool {
        key == NO_KEY || self.keys.contains(&key)
    }
}

/// Popularity of each key among the last jobs of a dispatcher that have one.
#[derive(Clone, Debug, Default)]
pub struct KeyPopularity {
    recent: VecDeque<u64>,
    counts: HashMap<u64, usize>,
}

impl KeyPopularity {
    /// Records the arrival of a job with this key.
    pub fn record(&mut self, key: u64) {
        if key == NO_KEY {
            return;
        }
        self.recent.push_back(key);
        *self.counts.entry(key).or_default() += 1;
        if self.recent.len() > POPULARITY_WINDOW_JOBS
            && let Some(oldest) = self.recent.pop_front()
            && let Some(count) = self.counts.get_mut(&oldest)
        {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&oldest);
            }
        }
    }

    /// Returns the number of workers, out of `workers`, that serve the jobs of a key: one, unless its jobs
    /// are too many for one worker.
    pub fn workers_per_key(&self, key: u64, workers: usize) -> usize {
        let jobs = self.counts.get(&key).copied().unwrap_or(0) as f64;
        let fraction = jobs / self.recent.len().max(MIN_POPULARITY_JOBS) as f64;
        ((fraction * workers as f64 * WORKERS_PER_KEY_HEADROOM).ceil() as usize).clamp(1, workers.max(1))
    }
}
