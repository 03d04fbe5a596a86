//! A write-ahead journal in a ring of preallocated segment files. It recovers from torn, lost and
//! reordered writes.
//!
//! * [`mod@format`]: on-disk layout of frames, segment headers and the identity file; no I/O.
//! * [`replay`]: replays the frames of a chain of segments into the live records; no I/O.
//! * [`storage`]: the file operations that the ring needs. Tests replace them with a simulated disk.
//! * [`journal`]: formatting, recovery, appends and checkpoints over a storage; all calls block.
//! * [`disk`]: a thread that owns a journal and writes queued records to it.
//! * [`error`]: the errors of all modules.
//!
//! Once a [`Disk`] is open, all blocking calls are made on its own thread. Only dropping it may block
//! the caller, for at most 2 s. Records are opaque bytes to this crate.

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
