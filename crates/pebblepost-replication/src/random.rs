//! A small seeded generator for back-off and staggering.

use std::time::Duration;

/// An xorshift generator.
#[derive(Clone, Debug)]
pub(crate) struct Random(u64);

impl Random {
    /// A generator for a seed.
    pub(crate) fn new(seed: u64) -> Self {
        const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;
        Self((seed ^ SPREAD).wrapping_mul(SPREAD) | 1)
    }

    /// Next number.
    pub(crate) fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// A duration below `most`.
    pub(crate) fn below(&mut self, most: Duration) -> Duration {
        const STEPS: u32 = 1024;
        let step = u32::try_from(self.next() >> 32 & u64::from(STEPS - 1)).unwrap_or(0);
        most * step / STEPS
    }
}
