//! The disk thread: writes what is queued, retries failed writes and reports completions.

use super::{
    completion::Completion,
    queue::{NextAction, PendingWrites, Shared},
};
use crate::{error::RingError, journal::Journal, storage::Storage};
use std::{sync::Arc, time::Duration};

/// Backoff after the first failed attempt; it doubles with each further one.
const RETRY_BACKOFF_INITIAL: Duration = Duration::from_millis(50);
/// Longest backoff between two attempts.
const RETRY_BACKOFF_MAX: Duration = Duration::from_secs(1);

/// Reports the end of the thread when dropped, so that it is reported also after a panic in the
/// callback.
struct ThreadFinishedGuard(Arc<Shared>);

impl Drop for ThreadFinishedGuard {
    fn drop(&mut self) {
        self.0.set_thread_finished();
    }
}

/// State of the disk thread.
pub(super) struct DiskThread<S: Storage> {
    journal: Journal<S>,
    shared: Arc<Shared>,
    /// Writes taken from the queue that are not durable yet.
    pending: PendingWrites,
    on_completion: Box<dyn Fn(Completion) + Send>,
}

impl<S: Storage> DiskThread<S> {
    pub(super) fn new(
        journal: Journal<S>, shared: Arc<Shared>, on_completion: Box<dyn Fn(Completion) + Send>,
    ) -> DiskThread<S> {
        DiskThread { journal, shared, pending: PendingWrites::default(), on_completion }
    }

    /// Writes what is queued until the disk closes.
    pub(super) fn run(mut self) {
        let _guard = ThreadFinishedGuard(Arc::clone(&self.shared));
        let mut backoff = RETRY_BACKOFF_INITIAL;
        let mut has_failed = false;
        while self.take_writes(has_failed) {
            match self.write() {
                Ok(()) => {
                    if has_failed {
                        log::info!("disk write succeeded after failed attempts");
                    }
                    (has_failed, backoff) = (false, RETRY_BACKOFF_INITIAL);
                    (self.on_completion)(Completion::Synced(self.pending.ticket));
                    self.preallocate();
                }
                Err(error) => {
                    if !has_failed {
                        log::warn!("disk write failed, retrying error={error}");
                    }
                    has_failed = true;
                    let is_full = matches!(error, RingError::Full { .. });
                    (self.on_completion)(Completion::WriteFailed(Arc::new(error)));
                    self.shared.back_off(backoff, is_full);
                    backoff = (backoff * 2).min(RETRY_BACKOFF_MAX);
                }
            }
        }
    }

    /// Takes queued writes, waiting for them unless a failed attempt has to be retried. Returns false if
    /// the disk is closing.
    fn take_writes(&mut self, has_failed: bool) -> bool {
        match self.shared.next_action(has_failed) {
            NextAction::Write(later) => self.pending.extend(later),
            NextAction::Retry => {}
            NextAction::Close => return false,
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
            log::debug!("segment preallocation failed, the next write creates the file error={error}");
        }
    }
}
