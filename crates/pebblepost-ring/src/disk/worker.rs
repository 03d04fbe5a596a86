//! The disk's thread: takes queued writes, retries what fails, reports what is durable.

use super::{
    completion::Completion,
    queue::{Next, PendingWrites, Shared},
};
use crate::{error::RingError, journal::Journal, storage::Storage};
use std::{sync::Arc, time::Duration};

/// Backoff after the first failed write, doubled with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Longest backoff between two attempts of a write.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Signals the end of the thread, also when a callback panics.
struct EndSignal(Arc<Shared>);

impl Drop for EndSignal {
    fn drop(&mut self) {
        self.0.set_ended();
    }
}

/// The thread's state.
pub(super) struct Worker<S: Storage> {
    journal: Journal<S>,
    shared: Arc<Shared>,
    /// Writes taken from the queue and not on disk.
    pending: PendingWrites,
    completed: Box<dyn Fn(Completion) + Send>,
}

impl<S: Storage> Worker<S> {
    pub(super) fn new(
        journal: Journal<S>, shared: Arc<Shared>, completed: Box<dyn Fn(Completion) + Send>,
    ) -> Worker<S> {
        Worker { journal, shared, pending: PendingWrites::default(), completed }
    }

    /// Writes until the disk closes.
    pub(super) fn run(mut self) {
        let _signal = EndSignal(Arc::clone(&self.shared));
        let mut backoff = INITIAL_BACKOFF;
        let mut has_failed = false;
        while self.take_writes(has_failed) {
            match self.write() {
                Ok(()) => {
                    if has_failed {
                        log::info!("disk writes succeed again");
                    }
                    (has_failed, backoff) = (false, INITIAL_BACKOFF);
                    (self.completed)(Completion::Synced(self.pending.ticket));
                    self.preallocate();
                }
                Err(error) => {
                    if !has_failed {
                        log::warn!("disk write failed error={error}");
                    }
                    has_failed = true;
                    let is_full = matches!(error, RingError::Full { .. });
                    (self.completed)(Completion::WriteFailed(Arc::new(error)));
                    self.shared.back_off(backoff, is_full);
                    backoff = (backoff * 2).min(MAX_BACKOFF);
                }
            }
        }
    }

    /// Waits for writes unless some are left from a failed attempt. False: the disk is closing.
    fn take_writes(&mut self, has_failed: bool) -> bool {
        match self.shared.next(has_failed) {
            Next::Writes(later) => self.pending.extend(later),
            Next::Retry => {}
            Next::Close => return false,
        }
        true
    }

    fn write(&mut self) -> Result<(), RingError> {
        if let Some(records) = &self.pending.checkpoint {
            self.journal.checkpoint(records)?;
            self.pending.checkpoint = None;
            self.publish_capacity();
        }
        if !self.pending.records.is_empty() {
            self.journal.append(&self.pending.records)?;
            self.pending.records = Vec::new();
            self.publish_capacity();
        }
        Ok(())
    }

    fn publish_capacity(&self) {
        self.shared.set_capacity(self.journal.capacity());
    }

    fn preallocate(&mut self) {
        if let Err(error) = self.journal.preallocate() {
            log::debug!("segment preallocation failed error={error}");
        }
    }
}
