//! FNV-1a hashes: stable across versions of the program and of the compiler.

const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0000_0100_0000_01b3;

/// FNV-1a over the given parts, one after the other.
pub fn fnv1a(parts: &[&[u8]]) -> u64 {
    let bytes = parts.iter().flat_map(|part| part.iter());
    bytes.fold(OFFSET, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(PRIME))
}

/// Spreads a hash over all of its bits (the finalizer of SplitMix64), for comparisons by size.
pub fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
