//! Assignment of batch jobs to store groups, the units of replication of the batch store.

/// Number of store groups.
pub const STORE_GROUPS: u32 = 8;

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Store group of a batch job: FNV-1a (64 bit) of its id, modulo the number of groups.
pub fn store_group_of(job: &str) -> u32 {
    let hash =
        job.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
    u32::try_from(hash % u64::from(STORE_GROUPS)).unwrap_or(0)
}
