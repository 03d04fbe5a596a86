//! A journal in a ring of preallocated files that survives torn, lost and reordered writes.
//!
//! * [`mod@format`]: layout of frames, segment headers and the identity file; no I/O.
//! * [`replay`]: folds the frames of a chain of segments into the live records; no I/O.
//! * [`storage`]: the file operations needed, on real files or on a simulated disk.
//! * [`journal`]: formatting, recovery, appends and checkpoints over a storage, all blocking.
//! * [`disk`]: a thread that owns a journal and serves a queue.
//! * [`error`]: what can fail.
//!
//! Once a [`Disk`] is open, blocking calls are made on its own thread only. The ring never looks into
//! the records: their meaning is the caller's.

pub mod disk;
pub mod error;
pub mod format;
mod identity_file;
pub mod journal;
mod recovery;
pub mod replay;
mod segments;
pub mod storage;
mod writer;

pub use disk::{Completion, Disk};
pub use journal::Recovered;
