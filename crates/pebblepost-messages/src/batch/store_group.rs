//! Assignment of batch jobs to store groups, the units of replication of the batch store.

use pebblepost_stable_hash::fnv1a;

/// Number of store groups.
pub const STORE_GROUPS: u32 = 8;

/// Returns the store group of a batch job: the 64-bit FNV-1a hash of its id, modulo the number of groups.
///
/// Stored jobs and programs of other builds depend on the mapping, so it must not change.
pub fn store_group_of(job: &str) -> u32 {
    let hash = fnv1a(&[job.as_bytes()]);
    u32::try_from(hash % u64::from(STORE_GROUPS)).unwrap_or(0)
}
