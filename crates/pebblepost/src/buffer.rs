//! The one buffer of a connection and direction: grows as it needs, compacted in place.

/// Bytes between what was consumed and what was appended.
#[derive(Debug, Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    start: usize,
}

impl Buffer {
    /// What is in it.
    pub fn data(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    /// Bytes in it.
    pub fn len(&self) -> usize {
        self.bytes.len() - self.start
    }

    /// Nothing is in it.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Appends.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Drops the first `n` bytes. The rest moves to the front once the free room there outgrows it,
    /// so that each byte moves at most about once.
    pub fn consume(&mut self, n: usize) {
        self.start = (self.start + n).min(self.bytes.len());
        if self.is_empty() {
            self.bytes.clear();
            self.start = 0;
            // A rare large message shall not pin its memory for the connection's life.
            self.bytes.shrink_to(16 * 1024);
        } else if self.start > self.len() {
            self.bytes.copy_within(self.start.., 0);
            self.bytes.truncate(self.bytes.len() - self.start);
            self.start = 0;
        }
    }
}
