//! Snapshots that are transferred in chunks.

use super::message::MAX_PAYLOAD_BYTES;

/// A snapshot in transfer to another replica.
#[derive(Debug)]
pub(super) struct OutgoingSnapshot {
    /// Index of the last entry that it covers.
    pub(super) index: u64,
    /// Epoch of that entry.
    pub(super) index_epoch: u64,
    pub(super) data: Vec<u8>,
    /// Number of bytes that the receiver has acknowledged.
    pub(super) offset: usize,
}

impl OutgoingSnapshot {
    /// Returns the next chunk.
    pub(super) fn chunk(&self) -> &[u8] {
        let end = self.data.len().min(self.offset + MAX_PAYLOAD_BYTES);
        &self.data[self.offset..end]
    }

    /// Records that the receiver holds this many bytes. Returns whether the transfer is complete.
    pub(super) fn on_received(&mut self, offset: u64) -> bool {
        let offset = usize::try_from(offset).unwrap_or(usize::MAX);
        let is_complete = offset >= self.data.len();
        if !is_complete {
            self.offset = offset;
        }
        is_complete
    }
}

/// A snapshot that is being received.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    /// Index of the last entry that it covers.
    pub(super) index: u64,
    pub(super) data: Vec<u8>,
}

impl IncomingSnapshot {
    pub(super) fn new(index: u64) -> Self {
        Self { index, data: Vec::new() }
    }

    /// Adds a chunk if it directly follows the bytes received so far. Returns their new number.
    pub(super) fn add_chunk(&mut self, offset: u64, bytes: &[u8]) -> u64 {
        if offset == self.data.len() as u64 {
            self.data.extend_from_slice(bytes);
        }
        self.data.len() as u64
    }
}
