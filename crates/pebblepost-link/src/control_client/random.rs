//! Random numbers for load spreading; not reproducible, and not for secrets.

use std::hash::{BuildHasher, Hasher, RandomState};

/// A number from the random keys of the standard library's hash maps.
pub(super) fn next_u64() -> u64 {
    RandomState::new().build_hasher().finish()
}
