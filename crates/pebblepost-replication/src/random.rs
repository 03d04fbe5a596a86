//! A small seeded generator for backoff and jitter. It is not cryptographically secure.

use std::time::Duration;

/// A 64-bit xorshift generator.
#[derive(Clone, Debug)]
pub(crate) struct Random(u64);

impl Random {
    /// Creates a generator. The seed is mixed, so that similar seeds give different sequences, and the
    /// state is odd, because xorshift never leaves the state 0.
    pub(crate) fn new(seed: u64) -> Self {
        const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
        Self((seed ^ SEED_MULTIPLIER).wrapping_mul(SEED_MULTIPLIER) | 1)
    }

    pub(crate) fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// Returns a duration from zero to below `limit`, a multiple of 1/1,024 of it.
    pub(crate) fn duration_below(&mut self, limit: Duration) -> Duration {
        const STEPS: u32 = 1024;
        let step = u32::try_from(self.next() >> 32 & u64::from(STEPS - 1)).unwrap_or(0);
        limit * step / STEPS
    }
}
