//! Buffer of received bytes, held in blocks.

use crate::{MemoryReservation, OutOfMemory};
use bytes::{Buf, Bytes, BytesMut};
use std::cell::Cell;
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;

/// Size of a block that received bytes are collected in.
pub const BLOCK_BYTES: usize = 64 * 1024;

/// Received bytes and their reservation. Reading the buffer releases each block once it is read.
#[derive(Debug)]
pub struct BlockBuffer {
    blocks: VecDeque<Bytes>,
    /// Bytes that do not fill a block yet.
    partial: BytesMut,
    unread_bytes: usize,
    reservation: MemoryReservation,
}

impl BlockBuffer {
    /// Creates an empty buffer that grows this reservation.
    pub fn new(reservation: MemoryReservation) -> BlockBuffer {
        BlockBuffer { blocks: VecDeque::new(), partial: BytesMut::new(), unread_bytes: 0, reservation }
    }

    /// Returns the number of bytes that have not been read.
    pub fn unread_bytes(&self) -> usize {
        self.unread_bytes
    }

    /// Grows the reservation to `bytes` in total, before they arrive.
    ///
    /// # Errors
    /// The budget does not allow it.
    pub fn reserve(&mut self, bytes: usize) -> Result<(), OutOfMemory> {
        self.reservation.grow_to(bytes)
    }

    /// Appends bytes. The first ones, and whole blocks, are kept without a copy; others are copied into blocks, so that
    /// many small parts take no more memory than their bytes.
    ///
    /// # Errors
    /// The budget does not allow the bytes.
    pub fn push(&mut self, data: Bytes) -> Result<(), OutOfMemory> {
        self.reservation.grow_to(self.unread_bytes + data.len())?;
        self.unread_bytes += data.len();
        if self.blocks.is_empty() && self.partial.is_empty() {
            self.blocks.push_back(data);
        } else {
            self.copy(&data);
        }
        Ok(())
    }

    /// Returns the bytes in one piece, with their reservation.
    pub fn into_bytes(mut self) -> (Bytes, MemoryReservation) {
        self.finish_block();
        if self.blocks.len() <= 1 {
            let bytes = self.blocks.pop_front().unwrap_or_default();
            return (bytes, self.reservation);
        }
        let mut bytes = BytesMut::with_capacity(self.unread_bytes);
        while let Some(block) = self.blocks.pop_front() {
            bytes.extend_from_slice(&block);
        }
        (bytes.freeze(), self.reservation)
    }

    /// Returns the bytes as a reader, and their reservation, which the caller shrinks as the bytes are read.
    pub fn into_reader(mut self) -> (BlockReader, MemoryReservation) {
        self.finish_block();
        let unread_bytes = Rc::new(Cell::new(self.unread_bytes));
        (BlockReader { blocks: self.blocks, unread_bytes }, self.reservation)
    }

    fn copy(&mut self, mut data: &[u8]) {
        while !data.is_empty() {
            if self.partial.capacity() == 0 {
                self.partial.reserve(BLOCK_BYTES);
            }
            let room = BLOCK_BYTES - self.partial.len();
            let (fitting, rest) = data.split_at(room.min(data.len()));
            self.partial.extend_from_slice(fitting);
            data = rest;
            if self.partial.len() == BLOCK_BYTES {
                self.finish_block();
            }
        }
    }

    fn finish_block(&mut self) {
        if !self.partial.is_empty() {
            self.blocks.push_back(std::mem::take(&mut self.partial).freeze());
        }
    }
}

/// Reads the bytes of a [`BlockBuffer`] and drops each block that is read.
#[derive(Debug)]
pub struct BlockReader {
    blocks: VecDeque<Bytes>,
    unread_bytes: Rc<Cell<usize>>,
}

impl BlockReader {
    /// Returns the number of bytes that have not been read, which is updated by each read.
    pub fn unread_bytes(&self) -> Rc<Cell<usize>> {
        self.unread_bytes.clone()
    }
}

impl io::Read for BlockReader {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        while let Some(block) = self.blocks.front_mut() {
            if block.is_empty() {
                self.blocks.pop_front();
                continue;
            }
            let length = block.len().min(buffer.len());
            block.copy_to_slice(&mut buffer[..length]);
            self.unread_bytes.set(self.unread_bytes.get() - length);
            return Ok(length);
        }
        Ok(0)
    }
}
