//! Items of a job in the encoding of the messages to the stores, in blocks, with the memory reserved for them.

use crate::text_blocks::TextBlocks;
use nanoserde::SerBin;
use pebblepost_link::MessageTail;
use pebblepost_memory::MemoryReservation;
use pebblepost_messages::batch::ItemEstimate;

/// Size of a block in which items are collected.
const BLOCK_BYTES: usize = 64 * 1024;
/// Length from which on a text becomes blocks of its own.
const MIN_SEPARATE_BYTES: usize = 16 * 1024;

/// Encoded items of a job. Their memory stays reserved until the items are dropped.
#[derive(Debug)]
pub struct EncodedItems {
    count: u64,
    estimated_store_bytes: u64,
    blocks: Vec<Vec<u8>>,
    reservation: MemoryReservation,
}

impl EncodedItems {
    /// Returns the number of items.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Returns the length of the encoding.
    pub fn encoded_bytes(&self) -> usize {
        self.blocks.iter().map(Vec::len).sum()
    }

    /// Returns the estimated memory of the items at a store.
    pub fn estimated_store_bytes(&self) -> u64 {
        self.estimated_store_bytes
    }

    /// Returns the memory that is reserved for the items.
    pub fn reserved_bytes(&self) -> usize {
        self.reservation.bytes()
    }
}

impl MessageTail for EncodedItems {
    fn blocks(&self) -> &[Vec<u8>] {
        &self.blocks
    }
}

/// Collects encoded items.
#[derive(Debug, Default)]
pub(crate) struct ItemEncoder {
    count: u64,
    estimated_store_bytes: u64,
    blocks: Vec<Vec<u8>>,
    last: Vec<u8>,
    full_bytes: usize,
}

impl ItemEncoder {
    /// Returns the number of encoded bytes.
    pub(crate) fn len(&self) -> usize {
        self.full_bytes + self.last.len()
    }

    /// Returns the memory that the encoded bytes take, rounded up to whole blocks.
    pub(crate) fn memory_bytes(&self) -> usize {
        self.full_bytes + self.last.capacity()
    }

    /// Records that an item is complete.
    pub(crate) fn finish_item(&mut self, estimate: ItemEstimate) {
        self.count += 1;
        self.estimated_store_bytes = self.estimated_store_bytes.saturating_add(estimate.bytes());
    }

    /// Appends a number.
    pub(crate) fn push_integer(&mut self, value: u64) {
        self.make_room(size_of::<u64>());
        value.ser_bin(&mut self.last);
    }

    /// Appends whether an optional value follows.
    pub(crate) fn push_presence(&mut self, is_present: bool) {
        self.make_room(1);
        self.last.push(u8::from(is_present));
    }

    /// Appends a short text with its length.
    pub(crate) fn push_text(&mut self, text: &str) {
        self.push_integer(text.len() as u64);
        self.push_bytes(text.as_bytes());
    }

    /// Appends a text with its length. Blocks of a long one are taken over.
    pub(crate) fn push_blocks(&mut self, text: TextBlocks) {
        let length = text.len();
        self.push_integer(length as u64);
        let is_separate = length >= MIN_SEPARATE_BYTES;
        if is_separate {
            self.finish_block();
        }
        for block in text.into_blocks() {
            if is_separate {
                self.full_bytes += block.len();
                self.blocks.push(block);
            } else {
                self.push_bytes(&block);
            }
        }
    }

    /// Returns the items and keeps the reservation with them.
    pub(crate) fn finish(mut self, reservation: MemoryReservation) -> EncodedItems {
        self.finish_block();
        let ItemEncoder { count, estimated_store_bytes, blocks, .. } = self;
        EncodedItems { count, estimated_store_bytes, blocks, reservation }
    }

    fn push_bytes(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            self.make_room(1);
            let room = self.last.capacity() - self.last.len();
            let (fitting, rest) = bytes.split_at(room.min(bytes.len()));
            self.last.extend_from_slice(fitting);
            bytes = rest;
        }
    }

    /// Starts a new block unless the last one has room for this many bytes.
    fn make_room(&mut self, bytes: usize) {
        if self.last.capacity() - self.last.len() < bytes {
            self.finish_block();
            self.last.reserve_exact(BLOCK_BYTES);
        }
    }

    fn finish_block(&mut self) {
        if !self.last.is_empty() {
            let mut block = std::mem::take(&mut self.last);
            block.shrink_to_fit();
            self.full_bytes += block.len();
            self.blocks.push(block);
        }
    }
}
