//! Random numbers for spreading load. They are not reproducible and not suitable for secrets.

use std::hash::{BuildHasher, Hasher, RandomState};

/// Returns a number derived from the random keys of the standard library's hash maps.
pub(super) fn next_u64() -> u64 {
    RandomState::new().build_hasher().finish()
}
