//! The 64-bit FNV-1a hash, whose values do not change between builds.
//!
//! Programs of different versions must agree on the assignment of batch jobs and weight versions, and tests compare
//! digests of whole runs with approved ones. The hashers of the standard library do not guarantee stable values.
//!
//! FNV-1a is not collision resistant: an attacker can choose inputs with equal hashes.
//!
//! Source: Fowler, Noll, Vo and Eastlake, "The FNV Non-Cryptographic Hash Algorithm" (RFC 9923).

const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0000_0100_0000_01b3;

/// State of an incremental 64-bit FNV-1a hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fnv1a(u64);

impl Default for Fnv1a {
    fn default() -> Fnv1a {
        Fnv1a(OFFSET_BASIS)
    }
}

impl Fnv1a {
    /// Adds bytes without their length. The split of the input into calls does not change the hash.
    pub fn update(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(PRIME);
        }
    }

    /// Adds a number as eight bytes, little endian.
    pub fn number(&mut self, number: u64) {
        self.update(&number.to_le_bytes());
    }

    /// Adds the length of `bytes` as a number, then `bytes`, so that the boundaries between byte strings change the
    /// hash.
    pub fn bytes(&mut self, bytes: &[u8]) {
        self.number(bytes.len() as u64);
        self.update(bytes);
    }

    /// Returns the hash of everything added so far.
    pub fn finish(self) -> u64 {
        self.0
    }
}

/// Returns the hash of the concatenation of `parts`.
pub fn fnv1a(parts: &[&[u8]]) -> u64 {
    let mut hash = Fnv1a::default();
    parts.iter().for_each(|part| hash.update(part));
    hash.finish()
}
