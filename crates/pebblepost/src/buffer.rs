//! A byte buffer for one direction of a connection, which grows as needed and is compacted in place.

/// Capacity that an emptied buffer keeps, in bytes.
const RETAINED_CAPACITY_BYTES: usize = 16 * 1024;

/// Bytes that have been appended and not consumed yet.
#[derive(Debug, Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    /// Offset in `bytes` of the first byte that has not been consumed.
    start: usize,
}

impl Buffer {
    /// Returns the bytes that have not been consumed.
    pub fn data(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    /// Returns the number of bytes that have not been consumed.
    pub fn len(&self) -> usize {
        self.bytes.len() - self.start
    }

    /// Returns whether all bytes have been consumed.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Appends bytes at the end.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Consumes the first `count` bytes, or all if there are fewer.
    ///
    /// The remaining bytes are moved to the front once the consumed space there exceeds them, which limits the cost of moving to
    /// about one copy per byte.
    pub fn consume(&mut self, count: usize) {
        self.start = (self.start + count).min(self.bytes.len());
        if self.is_empty() {
            self.bytes.clear();
            self.start = 0;
            // Without this, one large message would hold its memory for the connection's lifetime.
            self.bytes.shrink_to(RETAINED_CAPACITY_BYTES);
        } else if self.start > self.len() {
            self.bytes.copy_within(self.start.., 0);
            self.bytes.truncate(self.bytes.len() - self.start);
            self.start = 0;
        }
    }
}
