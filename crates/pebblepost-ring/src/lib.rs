//! A ring of preallocated files that survives torn, absent and reordered writes.
//!
//! * [`format`]: layout of frames, segment headers and the identity file; no I/O.
//! * [`replay`]: folds the frames of a chain of segments into the live records; no I/O.
//! * [`storage`]: the file operations needed, on real files or on a simulated disk.
//! * [`journal`]: formatting, recovery, appends and checkpoints over a storage, all blocking.
//! * [`disk`]: a thread that owns a journal and serves a queue.
//!
//! Blocking calls are made on the disk's own thread only: [`Disk`] owns that thread.

pub mod disk;
pub mod error;
pub mod format;
pub mod journal;
mod recovery;
pub mod replay;
mod segments;
pub mod storage;
mod writer;

pub use disk::{Completion, Disk, Opened};
