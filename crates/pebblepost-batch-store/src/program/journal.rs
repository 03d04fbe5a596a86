//! The records of the store on the ring: which appends and which checkpoint are in flight.

use pebblepost_ring::Disk;
use std::collections::VecDeque;

/// A checkpoint is due after this many bytes, or after a share of the ring if that is less.
const MAX_BYTES_BETWEEN_CHECKPOINTS: u64 = 64 * 1024 * 1024;
/// Lower limit on the bytes between checkpoints.
const MIN_BYTES_BETWEEN_CHECKPOINTS: u64 = 4 * 1024 * 1024;
/// One in this many parts of the ring may be written between checkpoints.
const CHECKPOINT_DIVISOR: u64 = 4;

/// An append that is not on disk yet, under the disk's and the store's ticket.
#[derive(Debug)]
struct PendingAppend {
    disk_ticket: u64,
    store_ticket: u64,
}

/// The ring and what is being written to it.
#[derive(Debug)]
pub(super) struct Journal {
    disk: Disk,
    pending: VecDeque<PendingAppend>,
    /// The disk's ticket of a checkpoint that is not on disk yet.
    pending_checkpoint: Option<u64>,
}

impl Journal {
    pub(super) fn new(disk: Disk) -> Journal {
        Journal { disk, pending: VecDeque::new(), pending_checkpoint: None }
    }

    /// Appends records under a ticket of the store.
    pub(super) fn append(&mut self, store_ticket: u64, records: Vec<Vec<u8>>) {
        let disk_ticket = self.disk.append(records);
        self.pending.push_back(PendingAppend { disk_ticket, store_ticket });
    }

    /// Replaces all records.
    pub(super) fn checkpoint(&mut self, records: Vec<Vec<u8>>) {
        self.pending_checkpoint = Some(self.disk.checkpoint(records));
    }

    /// All writes up to a ticket of the disk are on disk; the newest ticket of the store among them.
    pub(super) fn synced(&mut self, disk_ticket: u64) -> Option<u64> {
        if self.pending_checkpoint.is_some_and(|checkpoint| checkpoint <= disk_ticket) {
            self.pending_checkpoint = None;
        }
        let mut synced = None;
        while let Some(append) = self.pending.pop_front_if(|append| append.disk_ticket <= disk_ticket) {
            synced = Some(append.store_ticket);
        }
        synced
    }

    /// Whether a checkpoint is due: none is in flight, and enough was written since the last one.
    pub(super) fn is_checkpoint_due(&self) -> bool {
        let share = self.disk.capacity() / CHECKPOINT_DIVISOR;
        let max_bytes = share.clamp(MIN_BYTES_BETWEEN_CHECKPOINTS, MAX_BYTES_BETWEEN_CHECKPOINTS);
        self.pending_checkpoint.is_none() && self.disk.bytes_since_checkpoint() > max_bytes
    }
}
