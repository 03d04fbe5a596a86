//! What the disk's thread reports.

use crate::error::RingError;
use std::sync::Arc;

/// What the disk's thread reports.
#[derive(Clone, Debug)]
pub enum Completion {
    /// All records appended up to this ticket are on disk.
    Synced(u64),
    /// A write failed (disk full, I/O error); it is retried until it succeeds.
    WriteFailed(Arc<RingError>),
}
