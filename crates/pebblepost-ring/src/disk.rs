//! A thread that owns a journal and writes queued records to it.
//!
//! [`Disk`] is the caller's handle. It blocks on the storage only while it is opened or dropped.
//! `queue` holds the state shared by handle and thread, `worker` the thread.

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
use worker::DiskThread;

pub use completion::Completion;

/// Longest time that dropping a [`Disk`] waits for its thread. A thread that hangs in a storage call
/// is detached.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Handle of a journal that is written by a thread of its own.
///
/// Dropping it ends the thread once every queued write has been attempted, and blocks until then or
/// for at most 2 s. Writes that have failed are not retried after that.
pub struct Disk {
    shared: Arc<Shared>,
}

impl fmt::Debug for Disk {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Disk").finish_non_exhaustive()
    }
}

impl Disk {
    /// Opens the ring in `folder`, formatting it if there is none, and starts its thread. The ring uses
    /// at most `max_bytes`.
    ///
    /// This call blocks and is meant for the start of a program. `identity` is used only when formatting
    /// and is random if it is `None`. `on_completion` is called on the disk thread, which writes nothing
    /// until it returns.
    ///
    /// # Errors
    ///
    /// Fails if the folder can't be opened, the ring is damaged or too small, the storage fails or the
    /// thread can't be started.
    pub fn open(
        folder: &Path, max_bytes: u64, identity: Option<u64>, on_completion: Box<dyn Fn(Completion) + Send>,
    ) -> Result<(Disk, Recovered), OpenError> {
        let storage = FileStorage::open(folder)
            .map_err(|source| OpenError::Folder { folder: folder.to_path_buf(), source })?;
        let options = Options::new(max_bytes, identity.unwrap_or_else(random_identity));
        Disk::open_storage(storage, options, on_completion)
            .map_err(|source| OpenError::Ring { folder: folder.to_path_buf(), source })
    }

    /// Opens the ring in any storage; otherwise the same as [`Disk::open`].
    ///
    /// # Errors
    ///
    /// Fails if the ring is damaged or too small, the storage fails or the thread can't be started.
    pub fn open_storage<S>(
        storage: S, options: Options, on_completion: Box<dyn Fn(Completion) + Send>,
    ) -> Result<(Disk, Recovered), RingError>
    where
        S: Storage + Send + 'static,
        S::File: Send,
    {
        let (journal, recovered) = Journal::open(storage, options)?;
        let shared = Arc::new(Shared::new(journal.journal_bytes(), journal.capacity()));
        let disk_thread = DiskThread::new(journal, Arc::clone(&shared), on_completion);
        thread::Builder::new()
            .name("disk".to_owned())
            .spawn(move || disk_thread.run())
            .map_err(|source| RingError::Thread { source })?;
        Ok((Disk { shared }, recovered))
    }

    /// Queues records to be appended and returns the ticket of this call. Tickets increase with each
    /// call; [`Completion::Synced`] reports them. Records that are queued together are written together
    /// and synced once.
    pub fn append(&self, records: Vec<Vec<u8>>) -> u64 {
        let bytes = records.iter().map(|record| stored_bytes(record.len())).sum();
        let mut queue = self.shared.lock();
        self.shared.add_bytes_since_checkpoint(bytes);
        queue.push(PendingWrites { checkpoint: None, records, ticket: 0 }, &self.shared)
    }

    /// Queues a checkpoint and returns the ticket of this call. `records` replace everything that was
    /// appended before. The space of the replaced records is reused once the checkpoint is durable.
    pub fn checkpoint(&self, records: Vec<Vec<u8>>) -> u64 {
        let mut queue = self.shared.lock();
        self.shared.reset_bytes_since_checkpoint();
        queue.push(PendingWrites { checkpoint: Some(records), records: Vec::new(), ticket: 0 }, &self.shared)
    }

    /// Returns how many bytes were queued since the newest call of [`Disk::checkpoint`]. Callers use it
    /// to decide when the next checkpoint is due.
    pub fn bytes_since_checkpoint(&self) -> u64 {
        self.shared.bytes_since_checkpoint()
    }

    /// Returns how many bytes the ring can hold between two checkpoints, as of the last completed
    /// write. Writes beyond it fail with [`RingError::Full`] and are retried.
    pub fn capacity(&self) -> u64 {
        self.shared.capacity()
    }
}

impl Drop for Disk {
    fn drop(&mut self) {
        if !self.shared.close(CLOSE_TIMEOUT) {
            log::warn!("disk thread did not end within {} s of closing, detached", CLOSE_TIMEOUT.as_secs());
        }
    }
}

/// Returns a random identity other than 0.
fn random_identity() -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    RandomState::new().hash_one((time, std::process::id())).max(1)
}
