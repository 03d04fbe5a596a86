//! A seeded random number generator.

#[derive(Clone, Debug)]
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        let mut random = Self((seed + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
        for _ in 0..4 {
            random.next();
        }
        random
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d)
    }

    /// Returns a number from `low` to below `high`.
    pub fn range(&mut self, low: u64, high: u64) -> u64 {
        low + (self.next() >> 16) % high.saturating_sub(low).max(1)
    }

    pub fn index(&mut self, count: usize) -> usize {
        self.range(0, count as u64) as usize
    }

    /// Returns true with a probability of `share` in 1,000.
    pub fn permille(&mut self, share: u64) -> bool {
        self.range(0, 1000) < share
    }
}
