//! A thread that owns a journal and writes what is queued for it.

use crate::{
    error::RingError,
    format::stored_bytes,
    journal::{Journal, Options, Recovered},
    storage::{FileStorage, Storage},
};
use eyre::{Result, WrapErr};
use std::{
    collections::hash_map::RandomState,
    fmt,
    hash::BuildHasher,
    path::Path,
    sync::{
        Arc, Condvar, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Pause after the first failed write.
const LEAST_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause between two tries of a write.
const MOST_PAUSE: Duration = Duration::from_secs(1);
/// Longest that dropping a disk waits for its thread; a hanging disk is left to itself.
const MOST_CLOSING_WAIT: Duration = Duration::from_secs(2);

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

/// A disk with a thread of its own. Dropping it ends the thread, once what is queued has been
/// tried.
pub struct Disk {
    shared: Arc<Shared>,
}

impl fmt::Debug for Disk {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Disk").finish_non_exhaustive()
    }
}

/// Work not yet on disk.
#[derive(Default)]
struct Work {
    /// Replaces all earlier records.
    checkpoint: Option<Vec<Vec<u8>>>,
    /// Records to append after the checkpoint.
    records: Vec<Vec<u8>>,
    /// Ticket of the last call that this work comes from.
    ticket: u64,
}

impl Work {
    /// Adds later work.
    fn extend(&mut self, later: Work) {
        if later.checkpoint.is_some() {
            self.checkpoint = later.checkpoint;
            self.records.clear();
        }
        if self.records.is_empty() {
            self.records = later.records;
        } else {
            self.records.extend(later.records);
        }
        self.ticket = later.ticket;
    }
}

#[derive(Default)]
struct Queue {
    work: Work,
    /// Ticket up to which the thread has taken work.
    taken: u64,
    closing: bool,
    ended: bool,
}

#[derive(Default)]
struct Shared {
    queue: Mutex<Queue>,
    changed: Condvar,
    bytes_since_checkpoint: AtomicU64,
    capacity: AtomicU64,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Disk {
    /// Opens or formats the ring in `folder`, using at most `most_bytes`; blocks (start of a
    /// program only). `identity` is used when formatting (`None`: drawn at random).
    /// `completed` is called on the disk's thread.
    pub fn open(
        folder: &Path, most_bytes: u64, identity: Option<u64>, completed: Box<dyn Fn(Completion) + Send>,
    ) -> Result<(Disk, Opened)> {
        let storage = FileStorage::open(folder).wrap_err_with(|| format!("opening {}", folder.display()))?;
        let options = Options::new(most_bytes, identity.unwrap_or_else(draw_random));
        Disk::open_storage(storage, options, completed)
            .wrap_err_with(|| format!("opening the ring in {}", folder.display()))
    }

    /// As [`Disk::open`], over any storage.
    pub fn open_storage<S>(
        storage: S, options: Options, completed: Box<dyn Fn(Completion) + Send>,
    ) -> Result<(Disk, Opened)>
    where
        S: Storage + Send + 'static,
        S::File: Send,
    {
        let (journal, recovered) = Journal::open(storage, options)?;
        let shared = Arc::new(Shared::default());
        shared.bytes_since_checkpoint.store(journal.journal_bytes(), Ordering::Relaxed);
        shared.capacity.store(journal.capacity(), Ordering::Relaxed);
        let worker = Worker { journal, shared: Arc::clone(&shared), work: Work::default(), completed };
        thread::Builder::new()
            .name("disk".to_owned())
            .spawn(move || worker.run())
            .wrap_err("starting the disk's thread")?;
        let Recovered { identity, fresh, records } = recovered;
        Ok((Disk { shared }, Opened { identity, fresh, records }))
    }

    /// Queues records to be appended; returns a ticket that rises. Waiting records are written
    /// together and synced once.
    pub fn append(&self, records: Vec<Vec<u8>>) -> u64 {
        let bytes = records.iter().map(|record| stored_bytes(record.len())).sum();
        let mut queue = self.shared.lock();
        self.shared.bytes_since_checkpoint.fetch_add(bytes, Ordering::Relaxed);
        self.push(&mut queue, None, records)
    }

    /// Queues a checkpoint: `records` replace all that was appended before this call. Space of
    /// older records is used again once the checkpoint is on disk.
    pub fn checkpoint(&self, records: Vec<Vec<u8>>) -> u64 {
        let mut queue = self.shared.lock();
        self.shared.bytes_since_checkpoint.store(0, Ordering::Relaxed);
        self.push(&mut queue, Some(records), Vec::new())
    }

    /// Bytes appended since the newest checkpoint, to tell when the next is due.
    pub fn bytes_since_checkpoint(&self) -> u64 {
        self.shared.bytes_since_checkpoint.load(Ordering::Relaxed)
    }

    /// Bytes that the ring can hold between checkpoints without refusing.
    pub fn capacity(&self) -> u64 {
        self.shared.capacity.load(Ordering::Relaxed)
    }

    fn push(&self, queue: &mut Queue, checkpoint: Option<Vec<Vec<u8>>>, records: Vec<Vec<u8>>) -> u64 {
        let ticket = queue.work.ticket.max(queue.taken) + 1;
        queue.work.extend(Work { checkpoint, records, ticket });
        self.shared.changed.notify_all();
        ticket
    }
}

impl Drop for Disk {
    fn drop(&mut self) {
        let deadline = Instant::now() + MOST_CLOSING_WAIT;
        let mut queue = self.shared.lock();
        queue.closing = true;
        self.shared.changed.notify_all();
        while !queue.ended {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                log::warn!("the disk hangs at the end: its thread is left to itself");
                return;
            }
            queue = self.shared.changed.wait_timeout(queue, left).unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

/// Signals the end of the thread, also when a callback panics.
struct EndSignal(Arc<Shared>);

impl Drop for EndSignal {
    fn drop(&mut self) {
        self.0.lock().ended = true;
        self.0.changed.notify_all();
    }
}

struct Worker<S: Storage> {
    journal: Journal<S>,
    shared: Arc<Shared>,
    /// Work taken from the queue and not yet on disk.
    work: Work,
    completed: Box<dyn Fn(Completion) + Send>,
}

impl<S: Storage> Worker<S> {
    fn run(mut self) {
        let _signal = EndSignal(Arc::clone(&self.shared));
        let mut pause = LEAST_PAUSE;
        let mut refused = false;
        while self.take_work(refused) {
            match self.write() {
                Ok(()) => {
                    if refused {
                        log::info!("the disk takes writes again");
                    }
                    (refused, pause) = (false, LEAST_PAUSE);
                    (self.completed)(Completion::Synced(self.work.ticket));
                    self.make_ahead();
                }
                Err(error) => {
                    if !refused {
                        log::warn!("the disk refuses writes: {error}");
                    }
                    refused = true;
                    (self.completed)(Completion::Refusing(error.to_string()));
                    let full = matches!(error, RingError::Full { .. });
                    self.pause(pause, full);
                    pause = (pause * 2).min(MOST_PAUSE);
                }
            }
        }
    }

    /// Waits for work unless some is left from a failed try. `false`: the disk is closing.
    fn take_work(&mut self, refused: bool) -> bool {
        let mut queue = self.shared.lock();
        loop {
            if queue.work.ticket > queue.taken {
                queue.taken = queue.work.ticket;
                let later = std::mem::take(&mut queue.work);
                self.work.extend(later);
                return true;
            }
            if queue.closing {
                return false;
            }
            if refused {
                return true;
            }
            queue = self.shared.changed.wait(queue).unwrap_or_else(PoisonError::into_inner);
        }
    }

    fn write(&mut self) -> Result<(), RingError> {
        if let Some(records) = &self.work.checkpoint {
            self.journal.checkpoint(records)?;
            self.work.checkpoint = None;
            self.publish_capacity();
        }
        if !self.work.records.is_empty() {
            self.journal.append(&self.work.records)?;
            self.work.records = Vec::new();
            self.publish_capacity();
        }
        Ok(())
    }

    fn publish_capacity(&self) {
        self.shared.capacity.store(self.journal.capacity(), Ordering::Relaxed);
    }

    fn make_ahead(&mut self) {
        if let Err(error) = self.journal.make_ahead() {
            log::debug!("no segment made ahead: {error}");
        }
    }

    /// Waits before the next try; less if a checkpoint comes that makes room.
    fn pause(&self, pause: Duration, full: bool) {
        let deadline = Instant::now() + pause;
        let mut queue = self.shared.lock();
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let room_comes = full && queue.work.checkpoint.is_some();
            if left.is_zero() || queue.closing || room_comes {
                return;
            }
            queue = self.shared.changed.wait_timeout(queue, left).unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

/// A random number other than 0.
fn draw_random() -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    RandomState::new().hash_one((time, std::process::id())).max(1)
}
