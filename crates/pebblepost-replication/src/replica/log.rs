//! The in-memory log of a replica: a base index, up to which entries are no longer kept, and the
//! entries after it.
//!
//! Indexes start at 1. The log does no disk I/O.

use crate::codec::Blob;
use nanoserde::{DeBin, SerBin};
use std::collections::VecDeque;

/// An entry with the epoch in which it was first appended.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct LogEntry {
    pub epoch: u64,
    pub data: Blob,
}

/// The most recent entries of the log.
#[derive(Debug, Default)]
pub(super) struct Log {
    base_index: u64,
    base_epoch: u64,
    entries: VecDeque<LogEntry>,
    bytes: usize,
}

impl Log {
    /// Returns the index of the newest entry that is no longer kept; 0 at first.
    pub(super) fn base_index(&self) -> u64 {
        self.base_index
    }

    pub(super) fn last_index(&self) -> u64 {
        self.base_index + self.entries.len() as u64
    }

    pub(super) fn last_epoch(&self) -> u64 {
        self.entries.back().map_or(self.base_epoch, |entry| entry.epoch)
    }

    /// Returns the size of the kept entries in bytes.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the epoch of the entry at an index, which may be the base index.
    pub(super) fn epoch_at(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_epoch);
        }
        self.entry(index).map(|entry| entry.epoch)
    }

    pub(super) fn entry(&self, index: u64) -> Option<&LogEntry> {
        let position = index.checked_sub(self.base_index + 1)?;
        self.entries.get(usize::try_from(position).ok()?)
    }

    /// Iterates over the kept entries from an index, with their indexes.
    pub(super) fn entries_from(&self, index: u64) -> impl Iterator<Item = (u64, &LogEntry)> {
        let first = index.max(self.base_index + 1);
        let skip_count = usize::try_from(first - self.base_index - 1).unwrap_or(usize::MAX);
        (first..).zip(self.entries.iter().skip(skip_count))
    }

    /// Appends an entry and returns its index.
    pub(super) fn push(&mut self, entry: LogEntry) -> u64 {
        self.bytes += entry.data.len();
        self.entries.push_back(entry);
        self.last_index()
    }

    /// Removes the entries at `index` and above.
    pub(super) fn truncate_from(&mut self, index: u64) {
        while self.last_index() >= index {
            let Some(entry) = self.entries.pop_back() else { return };
            self.bytes -= entry.data.len();
        }
    }

    /// Drops the oldest entries, at most up to `max_index`, until at most `max_bytes` are kept.
    pub(super) fn trim(&mut self, max_index: u64, max_bytes: usize) {
        while self.bytes > max_bytes && self.base_index < max_index {
            let Some(entry) = self.entries.pop_front() else { return };
            self.bytes -= entry.data.len();
            self.base_index += 1;
            self.base_epoch = entry.epoch;
        }
    }

    /// Empties the log, because a snapshot covers everything up to `index`.
    pub(super) fn reset(&mut self, index: u64, epoch: u64) {
        *self = Self { base_index: index, base_epoch: epoch, ..Self::default() };
    }

    /// Returns the newest index up to `max_index` whose epoch is at most `max_epoch`, or `None` if it
    /// is no longer kept. A log that ends at `max_index` and `max_epoch` agrees with this one at most
    /// up to the returned index.
    pub(super) fn last_index_at_most(&self, max_index: u64, max_epoch: u64) -> Option<u64> {
        let mut index = max_index.min(self.last_index());
        while self.epoch_at(index)? > max_epoch {
            index = index.checked_sub(1)?;
        }
        Some(index)
    }
}
