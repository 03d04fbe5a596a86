//! The queue of records to write to the disk, and the index up to which the log is persisted.

use super::disk_record::DiskRecord;
use std::collections::VecDeque;
use std::time::Duration;

/// A write in flight.
#[derive(Debug)]
struct Write {
    token: u64,
    last_index: u64,
    started_at: Duration,
}

/// Records that wait to be passed to the caller, and writes in flight.
#[derive(Debug, Default)]
pub(super) struct WriteQueue {
    issued_token: u64,
    persisted_token: u64,
    /// Token of the write that includes the newest epoch record.
    epoch_token: u64,
    /// The log is on disk up to this index.
    persisted_index: u64,
    in_flight: VecDeque<Write>,
    pending: Vec<DiskRecord>,
}

impl WriteQueue {
    /// Creates a queue for a disk that holds the log up to an index.
    pub(super) fn new(persisted_index: u64) -> Self {
        Self { persisted_index, ..Self::default() }
    }

    pub(super) fn push(&mut self, record: DiskRecord) {
        if matches!(record, DiskRecord::Epoch(_)) {
            self.epoch_token = self.issued_token + 1;
        }
        self.pending.push(record);
    }

    /// Records that entries at `index` and above are replaced, so that the old ones on disk no longer
    /// count as persisted.
    pub(super) fn truncate_from(&mut self, index: u64) {
        let last_kept = index.saturating_sub(1);
        self.persisted_index = self.persisted_index.min(last_kept);
        for write in &mut self.in_flight {
            write.last_index = write.last_index.min(last_kept);
        }
    }

    /// Starts the next write. Returns its token and records, or `None` if there is nothing to write.
    pub(super) fn flush(&mut self, now: Duration, last_index: u64) -> Option<(u64, Vec<DiskRecord>)> {
        if self.pending.is_empty() {
            return None;
        }
        self.issued_token += 1;
        self.in_flight.push_back(Write { token: self.issued_token, last_index, started_at: now });
        Some((self.issued_token, std::mem::take(&mut self.pending)))
    }

    /// Records that all writes up to this token are on disk.
    pub(super) fn complete(&mut self, token: u64) {
        while let Some(write) = self.in_flight.pop_front_if(|write| write.token <= token) {
            self.persisted_token = write.token;
            self.persisted_index = write.last_index;
        }
    }

    /// Returns the index up to which the log is on disk.
    pub(super) fn persisted_index(&self) -> u64 {
        self.persisted_index
    }

    /// Returns whether the newest epoch record is on disk.
    pub(super) fn is_epoch_persisted(&self) -> bool {
        self.persisted_token >= self.epoch_token
    }

    /// Returns whether the oldest write in flight has taken longer than `timeout`.
    pub(super) fn is_stalled(&self, now: Duration, timeout: Duration) -> bool {
        self.in_flight.front().is_some_and(|write| now.saturating_sub(write.started_at) > timeout)
    }
}
