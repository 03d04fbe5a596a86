//! Segment files: naming, allocation of free slots and preparation for use.
//!
//! A slot is the number in a file's name. The file of a slot is reused for segments with ever higher
//! segment numbers.

use crate::{
    error::{RingError, Step},
    storage::Storage,
};
use std::collections::{BTreeSet, VecDeque};

const SEGMENT_PREFIX: &str = "segment-";

/// A segment in use: the slot of its file and its number in the journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Segment {
    pub(crate) slot: u32,
    pub(crate) number: u64,
}

/// Returns the file name of a slot.
pub(crate) fn slot_name(slot: u32) -> String {
    format!("{SEGMENT_PREFIX}{slot:04}")
}

/// Returns the slot of a segment file, or `None` for any other file name.
pub(crate) fn slot_of(name: &str) -> Option<u32> {
    name.strip_prefix(SEGMENT_PREFIX)?.parse().ok()
}

/// Allocates the slots that hold no live segment.
#[derive(Debug)]
pub(crate) struct SlotPool {
    segment_bytes: u32,
    free: VecDeque<u32>,
    unallocated: VecDeque<u32>,
    /// Slots whose last preparation failed: the length or name of the file may not be durable.
    unsynced: BTreeSet<u32>,
}

impl SlotPool {
    /// Creates a pool. The files of `free` slots exist; those of `unallocated` slots are created when
    /// they are needed.
    pub(crate) fn new(segment_bytes: u32, free: VecDeque<u32>, unallocated: VecDeque<u32>) -> SlotPool {
        SlotPool { segment_bytes, free, unallocated, unsynced: BTreeSet::new() }
    }

    /// Returns the number of slots that can be acquired.
    pub(crate) fn available_count(&self) -> u64 {
        (self.free.len() + self.unallocated.len()) as u64
    }

    /// Acquires a slot for a new segment. When this returns, the file has its full length and both
    /// length and name are durable. Existing files are preferred to new ones.
    ///
    /// # Errors
    ///
    /// Fails if no slot is left or the storage fails. A slot that could not be prepared returns to
    /// the end of the free list.
    pub(crate) fn acquire<S: Storage>(&mut self, storage: &mut S) -> Result<(u32, S::File), RingError> {
        let queue = if self.free.is_empty() { &mut self.unallocated } else { &mut self.free };
        let Some(slot) = queue.pop_front() else {
            return Err(RingError::Full { needed: u64::from(self.segment_bytes), available: 0 });
        };
        let is_unsynced = self.unsynced.contains(&slot);
        match prepare_file(storage, slot, self.segment_bytes, is_unsynced) {
            Ok(file) => {
                self.unsynced.remove(&slot);
                Ok((slot, file))
            }
            Err(error) => {
                self.unsynced.insert(slot);
                self.free.push_back(slot);
                Err(error)
            }
        }
    }

    /// Returns a slot to the pool.
    pub(crate) fn release(&mut self, slot: u32) {
        self.free.push_back(slot);
    }

    /// Creates one more file if no existing one is free, so that the next segment needn't wait for it.
    pub(crate) fn preallocate<S: Storage>(&mut self, storage: &mut S) -> Result<(), RingError> {
        if self.free.is_empty() && !self.unallocated.is_empty() {
            let (slot, _) = self.acquire(storage)?;
            self.release(slot);
        }
        Ok(())
    }
}

/// Opens or creates the file of a slot. Sets its length, and syncs length and name, if the file is not
/// of the full length or if an earlier preparation of it failed (`is_unsynced`).
pub(crate) fn prepare_file<S: Storage>(
    storage: &mut S, slot: u32, segment_bytes: u32, is_unsynced: bool,
) -> Result<S::File, RingError> {
    let name = slot_name(slot);
    let length = u64::from(segment_bytes);
    let mut file = storage.create(&name).map_err(RingError::storage(Step::Preparing))?;
    let current_length = storage.length(&mut file).map_err(RingError::storage(Step::Preparing))?;
    if current_length != length || is_unsynced {
        storage.set_length(&mut file, length).map_err(RingError::storage(Step::Preparing))?;
        storage.sync_all(&mut file).map_err(RingError::storage(Step::Preparing))?;
        storage.sync_folder().map_err(RingError::storage(Step::Preparing))?;
    }
    Ok(file)
}
