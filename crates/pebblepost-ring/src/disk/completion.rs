//! Notifications of the disk thread.

use crate::error::RingError;
use std::sync::Arc;

/// Notification of the disk thread about queued writes.
#[derive(Clone, Debug)]
pub enum Completion {
    /// All calls up to and including the one that returned this ticket are durable.
    Synced(u64),
    /// A write attempt failed (ring full or I/O error). The thread retries it until it succeeds or the
    /// disk is closed.
    WriteFailed(Arc<RingError>),
}
