//! Byte buffer of one direction of a connection. It grows as needed and is compacted in place.

/// Capacity that an emptied buffer keeps, in bytes.
const RETAINED_CAPACITY_BYTES: usize = 16 * 1024;

/// Bytes that were appended and not consumed yet.
#[derive(Debug, Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    start: usize,
}

impl Buffer {
    /// The bytes that were not consumed yet.
    pub fn data(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    /// Number of bytes that were not consumed yet.
    pub fn len(&self) -> usize {
        self.bytes.len() - self.start
    }

    /// Whether all bytes were consumed.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Appends bytes.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Consumes the first `count` bytes, or all if there are fewer.
    ///
    /// The rest moves to the front once the free space there exceeds it, so each byte moves at most about once.
    pub fn consume(&mut self, count: usize) {
        self.start = (self.start + count).min(self.bytes.len());
        if self.is_empty() {
            self.bytes.clear();
            self.start = 0;
            // A rare large message must not pin its memory for the connection's lifetime.
            self.bytes.shrink_to(RETAINED_CAPACITY_BYTES);
        } else if self.start > self.len() {
            self.bytes.copy_within(self.start.., 0);
            self.bytes.truncate(self.bytes.len() - self.start);
            self.start = 0;
        }
    }
}
