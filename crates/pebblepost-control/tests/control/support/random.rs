//! A seeded generator of pseudo-random numbers, so that simulations can be repeated.

/// The SplitMix64 generator; the field is its state.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns a number below `bound`. Panics if `bound` is 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }
}
