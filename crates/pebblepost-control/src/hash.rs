//! Stable hash functions. Their values are stored and compared between versions of the program, so they must not
//! change.

pub use pebblepost_stable_hash::fnv1a;

/// Applies the finalizer of SplitMix64, which spreads a hash over all 64 bits, so that hashes can be compared by value.
pub fn finalize_splitmix64(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
