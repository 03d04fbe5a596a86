//! Stable hashes. Their values are stored and compared between versions of the program, so they never change.

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// 64-bit FNV-1a over the concatenation of `parts`.
pub fn fnv1a(parts: &[&[u8]]) -> u64 {
    let bytes = parts.iter().flat_map(|part| part.iter());
    bytes.fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}

/// Finalizer of SplitMix64: spreads a hash over all 64 bits, so that hashes can be compared by size.
pub fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
