//! Writing the store's records to the ring: tracks the appends and the checkpoint in flight.

use pebblepost_ring::Disk;
use std::collections::VecDeque;

/// Upper limit on the number of bytes written between checkpoints. The limit in use is a share of the
/// ring, clamped to the upper and the lower limit.
const MAX_BYTES_BETWEEN_CHECKPOINTS: u64 = 64 * 1024 * 1024;
/// Lower limit on the number of bytes written between checkpoints.
const MIN_BYTES_BETWEEN_CHECKPOINTS: u64 = 4 * 1024 * 1024;
/// The ring's capacity is divided by this to get the share that may be written between checkpoints.
const CHECKPOINT_CAPACITY_DIVISOR: u64 = 4;

/// An append that is not yet on disk, with the tickets that the disk and the store use for it.
#[derive(Debug)]
struct PendingAppend {
    disk_ticket: u64,
    store_ticket: u64,
}

/// The ring and the writes in flight.
#[derive(Debug)]
pub(super) struct Journal {
    disk: Disk,
    pending: VecDeque<PendingAppend>,
    /// Disk ticket of the checkpoint in flight.
    pending_checkpoint: Option<u64>,
}

impl Journal {
    pub(super) fn new(disk: Disk) -> Journal {
        Journal { disk, pending: VecDeque::new(), pending_checkpoint: None }
    }

    /// Appends records and associates the append with a ticket of the store.
    pub(super) fn append(&mut self, store_ticket: u64, records: Vec<Vec<u8>>) {
        let disk_ticket = self.disk.append(records);
        self.pending.push_back(PendingAppend { disk_ticket, store_ticket });
    }

    /// Replaces all records on the ring.
    pub(super) fn checkpoint(&mut self, records: Vec<Vec<u8>>) {
        self.pending_checkpoint = Some(self.disk.checkpoint(records));
    }

    /// Records that all writes up to a disk ticket are on disk.
    ///
    /// Returns the newest store ticket among the completed appends, if any.
    pub(super) fn handle_synced(&mut self, disk_ticket: u64) -> Option<u64> {
        if self.pending_checkpoint.is_some_and(|checkpoint| checkpoint <= disk_ticket) {
            self.pending_checkpoint = None;
        }
        let mut synced = None;
        while let Some(append) = self.pending.pop_front_if(|append| append.disk_ticket <= disk_ticket) {
            synced = Some(append.store_ticket);
        }
        synced
    }

    /// Returns whether a checkpoint is due: none is in flight, and enough bytes were written since the
    /// last one.
    pub(super) fn is_checkpoint_due(&self) -> bool {
        let share = self.disk.capacity() / CHECKPOINT_CAPACITY_DIVISOR;
        let max_bytes = share.clamp(MIN_BYTES_BETWEEN_CHECKPOINTS, MAX_BYTES_BETWEEN_CHECKPOINTS);
        self.pending_checkpoint.is_none() && self.disk.bytes_since_checkpoint() > max_bytes
    }
}
