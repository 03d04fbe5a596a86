//! What a replica has handed to its disk, and how far that is written.

use super::DiskRecord;
use std::collections::VecDeque;
use std::time::Duration;

/// A write under way.
#[derive(Debug)]
struct Write {
    token: u64,
    last_index: u64,
    at: Duration,
}

/// Records waiting to be handed out, and writes under way.
#[derive(Debug, Default)]
pub(super) struct DiskQueue {
    issued: u64,
    persisted: u64,
    /// Token whose write holds the newest epoch record.
    epoch_token: u64,
    /// The log is on disk up to this index.
    log_persisted: u64,
    writes: VecDeque<Write>,
    waiting: Vec<DiskRecord>,
}

impl DiskQueue {
    /// A disk that holds the log up to an index.
    pub(super) fn new(log_persisted: u64) -> Self {
        Self { log_persisted, ..Self::default() }
    }

    pub(super) fn push(&mut self, record: DiskRecord) {
        if matches!(record, DiskRecord::Epoch(_)) {
            self.epoch_token = self.issued + 1;
        }
        self.waiting.push(record);
    }

    /// Entries at `index` and above are replaced: what is on disk of them counts no more.
    pub(super) fn truncated_from(&mut self, index: u64) {
        let most = index.saturating_sub(1);
        self.log_persisted = self.log_persisted.min(most);
        for write in &mut self.writes {
            write.last_index = write.last_index.min(most);
        }
    }

    /// The records to be written next, with their token.
    pub(super) fn flush(&mut self, now: Duration, last_index: u64) -> Option<(u64, Vec<DiskRecord>)> {
        if self.waiting.is_empty() {
            return None;
        }
        self.issued += 1;
        self.writes.push_back(Write { token: self.issued, last_index, at: now });
        Some((self.issued, std::mem::take(&mut self.waiting)))
    }

    /// Everything up to a token is on disk.
    pub(super) fn complete(&mut self, token: u64) {
        while self.writes.front().is_some_and(|write| write.token <= token) {
            let Some(write) = self.writes.pop_front() else { return };
            self.persisted = write.token;
            self.log_persisted = write.last_index;
        }
    }

    /// The log is on disk up to this index.
    pub(super) fn log_persisted(&self) -> u64 {
        self.log_persisted
    }

    /// Whether the newest epoch record is on disk.
    pub(super) fn is_epoch_persisted(&self) -> bool {
        self.persisted >= self.epoch_token
    }

    /// Whether a write has taken longer than `most`.
    pub(super) fn is_hanging(&self, now: Duration, most: Duration) -> bool {
        self.writes.front().is_some_and(|write| now.saturating_sub(write.at) > most)
    }
}
