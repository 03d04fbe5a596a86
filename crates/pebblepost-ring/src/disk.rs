//! A thread that owns a journal and writes what is queued for it.
//!
//! [`Disk`] is the caller's handle and never blocks on the storage, but when it is opened and
//! dropped. `queue` holds what the two sides share, `worker` is the thread.

mod completion;
mod queue;
mod worker;

use crate::{
    error::{OpenError, RingError},
    format::stored_bytes,
    journal::{Journal, Options, Recovered},
    storage::{FileStorage, Storage},
};
use queue::{PendingWrites, Shared};
use std::{
    collections::hash_map::RandomState,
    fmt,
    hash::BuildHasher,
    path::Path,
    sync::Arc,
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use worker::Worker;

pub use completion::Completion;

/// Longest that dropping a disk waits for its thread; a hanging disk is left behind.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// A disk with a thread of its own. Dropping it ends the thread, once what is queued has been
/// attempted.
pub struct Disk {
    shared: Arc<Shared>,
}

impl fmt::Debug for Disk {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Disk").finish_non_exhaustive()
    }
}

impl Disk {
    /// Opens or formats the ring in `folder`, using at most `max_bytes`; blocks (start of a program
    /// only). `identity` is used when formatting (`None`: drawn at random). `completed` is called on
    /// the disk's thread.
    ///
    /// # Errors
    ///
    /// Fails if the folder can't be opened, the ring is damaged or too small, or the storage fails.
    pub fn open(
        folder: &Path, max_bytes: u64, identity: Option<u64>, completed: Box<dyn Fn(Completion) + Send>,
    ) -> Result<(Disk, Recovered), OpenError> {
        let storage = FileStorage::open(folder)
            .map_err(|source| OpenError::Folder { folder: folder.to_path_buf(), source })?;
        let options = Options::new(max_bytes, identity.unwrap_or_else(random_identity));
        Disk::open_storage(storage, options, completed)
            .map_err(|source| OpenError::Ring { folder: folder.to_path_buf(), source })
    }

    /// As [`Disk::open`], over any storage.
    ///
    /// # Errors
    ///
    /// Fails if the ring is damaged or too small, the storage fails or no thread can be started.
    pub fn open_storage<S>(
        storage: S, options: Options, completed: Box<dyn Fn(Completion) + Send>,
    ) -> Result<(Disk, Recovered), RingError>
    where
        S: Storage + Send + 'static,
        S::File: Send,
    {
        let (journal, recovered) = Journal::open(storage, options)?;
        let shared = Arc::new(Shared::new(journal.journal_bytes(), journal.capacity()));
        let worker = Worker::new(journal, Arc::clone(&shared), completed);
        thread::Builder::new()
            .name("disk".to_owned())
            .spawn(move || worker.run())
            .map_err(|source| RingError::Thread { source })?;
        Ok((Disk { shared }, recovered))
    }

    /// Queues records to be appended; returns a ticket that rises. Queued records are written
    /// together and synced once.
    pub fn append(&self, records: Vec<Vec<u8>>) -> u64 {
        let bytes = records.iter().map(|record| stored_bytes(record.len())).sum();
        let mut queue = self.shared.lock();
        self.shared.add_bytes(bytes);
        queue.push(PendingWrites { checkpoint: None, records, ticket: 0 }, &self.shared)
    }

    /// Queues a checkpoint: `records` replace all that was appended before this call. Space of
    /// older records is used again once the checkpoint is on disk.
    pub fn checkpoint(&self, records: Vec<Vec<u8>>) -> u64 {
        let mut queue = self.shared.lock();
        self.shared.reset_bytes();
        queue.push(PendingWrites { checkpoint: Some(records), records: Vec::new(), ticket: 0 }, &self.shared)
    }

    /// Bytes appended since the newest checkpoint, by which the next one can be timed.
    pub fn bytes_since_checkpoint(&self) -> u64 {
        self.shared.bytes_since_checkpoint()
    }

    /// Bytes that the ring can hold between two checkpoints before it is full.
    pub fn capacity(&self) -> u64 {
        self.shared.capacity()
    }
}

impl Drop for Disk {
    fn drop(&mut self) {
        if !self.shared.close(CLOSE_TIMEOUT) {
            log::warn!("disk close timed out, its thread is left behind");
        }
    }
}

/// A random number other than 0.
fn random_identity() -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    RandomState::new().hash_one((time, std::process::id())).max(1)
}
