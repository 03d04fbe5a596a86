//! A simulated disk with power loss, and a journal whose recoveries are checked against a model.

pub mod checked;
pub mod simulated_disk;

/// A small seeded generator (SplitMix64).
#[derive(Clone, Debug)]
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    pub fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit
    }

    pub fn one_in(&mut self, count: u64) -> bool {
        self.below(count) == 0
    }
}
