//! Stable hashes. Their values are stored and compared between versions of the program, so they never change.

pub use pebblepost_stable_hash::fnv1a;

/// Finalizer of SplitMix64: spreads a hash over all 64 bits, so that hashes can be compared by size.
pub fn finalize_splitmix64(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
