//! State shared by a disk's handle and its thread: queued writes and the fill level of the ring.

use std::{
    sync::{
        Condvar, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

/// Writes that are not durable yet.
#[derive(Default)]
pub(super) struct PendingWrites {
    /// Records of a checkpoint, which replaces all earlier records.
    pub(super) checkpoint: Option<Vec<Vec<u8>>>,
    /// Records to append after the checkpoint.
    pub(super) records: Vec<Vec<u8>>,
    /// Ticket of the newest call whose writes are included.
    pub(super) ticket: u64,
}

impl PendingWrites {
    /// Merges later writes into these. A later checkpoint drops the earlier records.
    pub(super) fn extend(&mut self, later: PendingWrites) {
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

/// The queue between handle and thread.
#[derive(Default)]
pub(super) struct Queue {
    pending: PendingWrites,
    /// Ticket up to which the thread has taken writes from the queue.
    taken_ticket: u64,
    is_closing: bool,
    is_thread_finished: bool,
}

impl Queue {
    /// Adds writes under the next ticket and wakes the thread.
    pub(super) fn push(&mut self, writes: PendingWrites, shared: &Shared) -> u64 {
        let ticket = self.pending.ticket.max(self.taken_ticket) + 1;
        self.pending.extend(PendingWrites { ticket, ..writes });
        shared.changed.notify_all();
        ticket
    }

    /// Takes the writes queued since the last call; `None` if there are none.
    fn take(&mut self) -> Option<PendingWrites> {
        if self.pending.ticket <= self.taken_ticket {
            return None;
        }
        self.taken_ticket = self.pending.ticket;
        Some(std::mem::take(&mut self.pending))
    }
}

/// Next action of the disk thread.
pub(super) enum NextAction {
    /// Write these after what is left of a failed attempt.
    Write(PendingWrites),
    /// Retry the failed attempt; nothing more is queued.
    Retry,
    /// End the thread: the disk is closing and nothing more is queued.
    Close,
}

/// State shared by the handle and the thread.
#[derive(Default)]
pub(super) struct Shared {
    queue: Mutex<Queue>,
    changed: Condvar,
    bytes_since_checkpoint: AtomicU64,
    capacity: AtomicU64,
}

impl Shared {
    pub(super) fn new(bytes_since_checkpoint: u64, capacity: u64) -> Shared {
        Shared {
            bytes_since_checkpoint: AtomicU64::new(bytes_since_checkpoint),
            capacity: AtomicU64::new(capacity),
            ..Shared::default()
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn bytes_since_checkpoint(&self) -> u64 {
        self.bytes_since_checkpoint.load(Ordering::Relaxed)
    }

    pub(super) fn add_bytes_since_checkpoint(&self, bytes: u64) {
        self.bytes_since_checkpoint.fetch_add(bytes, Ordering::Relaxed);
    }

    pub(super) fn reset_bytes_since_checkpoint(&self) {
        self.bytes_since_checkpoint.store(0, Ordering::Relaxed);
    }

    pub(super) fn capacity(&self) -> u64 {
        self.capacity.load(Ordering::Relaxed)
    }

    pub(super) fn set_capacity(&self, capacity: u64) {
        self.capacity.store(capacity, Ordering::Relaxed);
    }

    /// Waits until there is something to do. With `has_failed` it returns at once, because the failed
    /// attempt has to be retried.
    pub(super) fn next_action(&self, has_failed: bool) -> NextAction {
        let mut queue = self.lock();
        loop {
            if let Some(writes) = queue.take() {
                return NextAction::Write(writes);
            }
            if queue.is_closing {
                return NextAction::Close;
            }
            if has_failed {
                return NextAction::Retry;
            }
            queue = self.changed.wait(queue).unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Waits for the backoff or until the disk closes. With `is_full`, a queued checkpoint ends the wait
    /// as well, because it frees space.
    pub(super) fn back_off(&self, backoff: Duration, is_full: bool) {
        let deadline = Instant::now() + backoff;
        let mut queue = self.lock();
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let frees_space = is_full && queue.pending.checkpoint.is_some();
            if remaining.is_zero() || queue.is_closing || frees_space {
                return;
            }
            queue = self.wait_timeout(queue, remaining);
        }
    }

    /// Tells the thread to end and waits for it. Returns false if it has not ended within the timeout.
    pub(super) fn close(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        let mut queue = self.lock();
        queue.is_closing = true;
        self.changed.notify_all();
        while !queue.is_thread_finished {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return false;
            }
            queue = self.wait_timeout(queue, remaining);
        }
        true
    }

    /// Records that the thread has ended and wakes [`Shared::close`].
    pub(super) fn set_thread_finished(&self) {
        self.lock().is_thread_finished = true;
        self.changed.notify_all();
    }

    fn wait_timeout<'a>(&self, queue: MutexGuard<'a, Queue>, timeout: Duration) -> MutexGuard<'a, Queue> {
        self.changed.wait_timeout(queue, timeout).unwrap_or_else(PoisonError::into_inner).0
    }
}
