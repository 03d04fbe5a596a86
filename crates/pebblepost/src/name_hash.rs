//! Hashing of names, which the decision module compares as numbers.

use std::hash::{DefaultHasher, Hasher};

/// Hashes a name. The hash is the same at every dispatcher.
pub fn hash_name(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write(name.as_bytes());
    hasher.finish()
}
