//! A small seeded generator for backoff and staggering. Not for anything that must be unpredictable.

use std::time::Duration;

/// An xorshift generator (64 bits).
#[derive(Clone, Debug)]
pub(crate) struct Random(u64);

impl Random {
    /// A generator for a seed.
    pub(crate) fn new(seed: u64) -> Self {
        const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;
        Self((seed ^ SPREAD).wrapping_mul(SPREAD) | 1)
    }

    /// The next number.
    pub(crate) fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// A duration below `limit`, in steps of a 1,024th of it.
    pub(crate) fn duration_below(&mut self, limit: Duration) -> Duration {
        const STEPS: u32 = 1024;
        let step = u32::try_from(self.next() >> 32 & u64::from(STEPS - 1)).unwrap_or(0);
        limit * step / STEPS
    }
}
