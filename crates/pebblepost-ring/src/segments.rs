//! The segment files: their names, which of them are free, and their preparation for use.

use crate::{
    error::{RingError, Step},
    storage::Storage,
};
use std::collections::{BTreeSet, VecDeque};

const SEGMENT_PREFIX: &str = "segment-";

/// A segment in use: the file that holds it and its number in the journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Segment {
    pub(crate) slot: u32,
    pub(crate) number: u64,
}

/// Name of the file of a slot.
pub(crate) fn slot_name(slot: u32) -> String {
    format!("{SEGMENT_PREFIX}{slot:04}")
}

/// Slot of a file name, if it is one of a segment.
pub(crate) fn slot_of(name: &str) -> Option<u32> {
    name.strip_prefix(SEGMENT_PREFIX)?.parse().ok()
}

/// The slots that hold no live segment.
#[derive(Debug)]
pub(crate) struct SlotPool {
    segment_bytes: u32,
    free: VecDeque<u32>,
    unallocated: VecDeque<u32>,
    /// Slots whose file could not be prepared so far: its length or name may not be durable.
    unsynced: BTreeSet<u32>,
}

impl SlotPool {
    /// A pool of slots: the files of `free` exist, those of `unallocated` may still be created.
    pub(crate) fn new(segment_bytes: u32, free: VecDeque<u32>, unallocated: VecDeque<u32>) -> SlotPool {
        SlotPool { segment_bytes, free, unallocated, unsynced: BTreeSet::new() }
    }

    /// Number of slots that can be taken.
    pub(crate) fn available(&self) -> u64 {
        (self.free.len() + self.unallocated.len()) as u64
    }

    /// Takes a slot for a new segment. Its file exists durably at full length.
    pub(crate) fn take<S: Storage>(&mut self, storage: &mut S) -> Result<(u32, S::File), RingError> {
        let queue = if self.free.is_empty() { &mut self.unallocated } else { &mut self.free };
        let Some(slot) = queue.pop_front() else {
            return Err(RingError::Full { needed: u64::from(self.segment_bytes), available: 0 });
        };
        let unsynced = self.unsynced.contains(&slot);
        match prepare(storage, slot, self.segment_bytes, unsynced) {
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

    /// Gives a slot back.
    pub(crate) fn release(&mut self, slot: u32) {
        self.free.push_back(slot);
    }

    /// Creates one more file if none is free, so that the next segment needn't wait for it.
    pub(crate) fn preallocate<S: Storage>(&mut self, storage: &mut S) -> Result<(), RingError> {
        if self.free.is_empty() && !self.unallocated.is_empty() {
            let (slot, _) = self.take(storage)?;
            self.release(slot);
        }
        Ok(())
    }
}

/// Opens the file of a slot; creates it and syncs its length and its name if need be, or if an
/// earlier attempt was left `unsynced`.
pub(crate) fn prepare<S: Storage>(
    storage: &mut S, slot: u32, segment_bytes: u32, unsynced: bool,
) -> Result<S::File, RingError> {
    let name = slot_name(slot);
    let length = u64::from(segment_bytes);
    let mut file = storage.create(&name).map_err(RingError::storage(Step::Preparing))?;
    let found = storage.length(&mut file).map_err(RingError::storage(Step::Preparing))?;
    if found != length || unsynced {
        storage.set_length(&mut file, length).map_err(RingError::storage(Step::Preparing))?;
        storage.sync_all(&mut file).map_err(RingError::storage(Step::Preparing))?;
        storage.sync_folder().map_err(RingError::storage(Step::Preparing))?;
    }
    Ok(file)
}
