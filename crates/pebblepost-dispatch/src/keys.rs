//! Where to find what jobs of one key need: an order of workers for each key, and what this node has sent
//! where. No I/O, no clock.
//!
//! The order is rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to increase hit
//! rates", 1998) with weights (Schindelhauer and Schomaker, "Weighted distributed hash tables", 2005): every
//! node that knows the same weights has the same order, a worker comes first for a part of the keys that is
//! its weight's part of all, and one that leaves moves only its own keys.

use std::collections::{HashMap, VecDeque};

/// Keys remembered for each worker. Workers keep fewer for each of their slots, but what one node sees is a
/// part of what they get, and what is often asked for stays in front.
const MEMORY: usize = 8;

/// Scatters numbers evenly (the last steps of SplitMix64).
fn mix(n: u64) -> u64 {
    let n = (n ^ n >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let n = (n ^ n >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    n ^ n >> 31
}

/// A worker's place for a key: the least comes first. `name`: the same at every node, `weight` over 0.
pub fn place(key: u64, name: u64, weight: f64) -> u64 {
    // An exponential draw of rate `weight`; the bits of positive numbers are ordered as they are.
    let lot = ((mix(key ^ mix(name)) >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    (-lot.ln() / weight.max(f64::MIN_POSITIVE)).to_bits()
}

/// The first `most` of some workers by their places.
pub fn first(workers: impl Iterator<Item = usize>, most: usize, place: impl Fn(&usize) -> u64) -> Vec<usize> {
    let mut all: Vec<usize> = workers.collect();
    all.sort_unstable_by_key(&place);
    all.truncate(most);
    all
}

/// What a node's own jobs at one worker were about of late.
#[derive(Clone, Debug, Default)]
pub struct Kept {
    keys: VecDeque<u64>, // The latest last.
}

impl Kept {
    /// A job was sent there; key 0: it is about nothing.
    pub fn sent(&mut self, key: u64) {
        if key == 0 {
            return;
        }
        self.keys.retain(|k| *k != key);
        self.keys.push_back(key);
        if self.keys.len() > MEMORY {
            self.keys.pop_front();
        }
    }

    /// Whether a job of this key would find there what it needs, as far as this node can know.
    pub fn has(&self, key: u64) -> bool {
        key == 0 || self.keys.contains(&key)
    }
}

/// How often each key is asked for, among the last of a node's own jobs that have one.
#[derive(Clone, Debug, Default)]
pub struct Asked {
    recent: VecDeque<u64>,
    counts: HashMap<u64, usize>,
}

/// Jobs that count in it.
const RECENT: usize = 256;

/// Part of the fleet that the jobs of a key get, as a multiple of their part of all jobs: they come in
/// bunches, and what one node sees of them is a sample.
const SPREAD: f64 = 1.5;

impl Asked {
    /// A job of this key came; key 0: it is about nothing.
    pub fn count(&mut self, key: u64) {
        if key == 0 {
            return;
        }
        self.recent.push_back(key);
        *self.counts.entry(key).or_default() += 1;
        if self.recent.len() > RECENT
            && let Some(old) = self.recent.pop_front()
            && let Some(left) = self.counts.get_mut(&old)
        {
            *left -= 1;
            if *left == 0 {
                self.counts.remove(&old);
            }
        }
    }

    /// On how many of so many workers its jobs go, in the key's order: one, unless it is asked for more often
    /// than one can bear.
    pub fn replicas(&self, key: u64, workers: usize) -> usize {
        let asked = self.counts.get(&key).copied().unwrap_or(0) as f64;
        let part = asked / self.recent.len().max(RECENT / 8) as f64;
        ((part * workers as f64 * SPREAD).ceil() as usize).clamp(1, workers.max(1))
    }
}
