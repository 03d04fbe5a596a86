//! A ring of preallocated files that survives torn, absent and reordered writes.
//!
//! Interface agreed with the programs. Blocking calls are made on the disk's own thread only:
//! [`Disk`] owns that thread.

use eyre::Result;
use std::path::Path;

/// What a disk held at its opening.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Opened {
    /// Random identity drawn when the disk was formatted, or the one given to [`Disk::open`].
    pub identity: u64,
    /// The disk was empty and has just been formatted.
    pub fresh: bool,
    /// All live records, in the order written: those of the newest whole checkpoint first.
    pub records: Vec<Vec<u8>>,
}

/// A finished piece of work of the disk's thread.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Completion {
    /// All records appended up to this ticket are on disk.
    Synced(u64),
    /// The disk refuses writes (full, failing); they are retried until they pass.
    Refusing(String),
}

/// A disk with a thread of its own. Dropping it ends the thread.
#[derive(Debug)]
pub struct Disk;

#[allow(unused_variables)]
impl Disk {
    /// Opens or formats the ring in `folder`, using at most `most_bytes`; blocks (start of a
    /// program only). `identity` is used when formatting (`None`: drawn at random).
    /// `completed` is called on the disk's thread.
    pub fn open(
        folder: &Path, most_bytes: u64, identity: Option<u64>, completed: Box<dyn Fn(Completion) + Send>,
    ) -> Result<(Disk, Opened)> {
        todo!()
    }
    /// Queues records to be appended; returns a ticket that rises. Waiting records are written
    /// together and synced once.
    pub fn append(&self, records: Vec<Vec<u8>>) -> u64 {
        todo!()
    }
    /// Queues a checkpoint: `records` replace all that was appended before this call. Space of
    /// older records is used again once the checkpoint is on disk.
    pub fn checkpoint(&self, records: Vec<Vec<u8>>) -> u64 {
        todo!()
    }
    /// Bytes appended since the newest checkpoint, to tell when the next is due.
    pub fn bytes_since_checkpoint(&self) -> u64 {
        todo!()
    }
    /// Bytes that the ring can hold between checkpoints without refusing.
    pub fn capacity(&self) -> u64 {
        todo!()
    }
}
