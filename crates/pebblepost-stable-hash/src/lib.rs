//! FNV-1a of 64 bits: a hash whose values never change between builds.
//!
//! Programs of different versions have to agree on where a batch job or a weight version belongs, and tests compare digests of
//! whole runs with approved ones; the hashers of the standard library promise neither. It is no protection
//! against chosen collisions.
//!
//! Source: Fowler, Noll, Vo and Eastlake, "The FNV Non-Cryptographic Hash Algorithm" (RFC 9923).

const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0000_0100_0000_01b3;

/// A hash in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fnv1a(u64);

impl Default for Fnv1a {
    fn default() -> Fnv1a {
        Fnv1a(OFFSET_BASIS)
    }
}

impl Fnv1a {
    /// Adds bytes as they are.
    pub fn update(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(PRIME);
        }
    }

    /// Adds a number: its eight bytes, little endian.
    pub fn number(&mut self, number: u64) {
        self.update(&number.to_le_bytes());
    }

    /// Adds the length of some bytes, then the bytes, so that the borders of a sequence count.
    pub fn bytes(&mut self, bytes: &[u8]) {
        self.number(bytes.len() as u64);
        self.update(bytes);
    }

    /// The hash of everything added so far.
    pub fn finish(self) -> u64 {
        self.0
    }
}

/// Hash of the concatenation of `parts`.
pub fn fnv1a(parts: &[&[u8]]) -> u64 {
    let mut hash = Fnv1a::default();
    parts.iter().for_each(|part| hash.update(part));
    hash.finish()
}
