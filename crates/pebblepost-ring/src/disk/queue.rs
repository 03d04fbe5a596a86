//! What a disk's handle and its thread share: queued writes, and figures for the caller.

use std::{
    sync::{
        Condvar, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

/// Writes that are not on disk.
#[derive(Default)]
pub(super) struct PendingWrites {
    /// Replaces all earlier records.
    pub(super) checkpoint: Option<Vec<Vec<u8>>>,
    /// Records to append after the checkpoint.
    pub(super) records: Vec<Vec<u8>>,
    /// Ticket of the newest call among them.
    pub(super) ticket: u64,
}

impl PendingWrites {
    /// Adds later writes.
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
    /// Ticket up to which the thread has taken writes.
    taken_ticket: u64,
    is_closing: bool,
    has_ended: bool,
}

impl Queue {
    /// Adds writes under the next ticket and wakes the thread.
    pub(super) fn push(&mut self, writes: PendingWrites, shared: &Shared) -> u64 {
        let ticket = self.pending.ticket.max(self.taken_ticket) + 1;
        self.pending.extend(PendingWrites { ticket, ..writes });
        shared.changed.notify_all();
        ticket
    }

    /// Takes what was queued since the last call, if anything was.
    fn take(&mut self) -> Option<PendingWrites> {
        if self.pending.ticket <= self.taken_ticket {
            return None;
        }
        self.taken_ticket = self.pending.ticket;
        Some(std::mem::take(&mut self.pending))
    }
}

/// What the thread finds in the queue.
pub(super) enum Next {
    /// More writes.
    Writes(PendingWrites),
    /// Nothing more: what has failed is to be retried.
    Retry,
    /// The disk is closing, and nothing is queued.
    Close,
}

/// Shared by handle and thread.
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

    pub(super) fn add_bytes(&self, bytes: u64) {
        self.bytes_since_checkpoint.fetch_add(bytes, Ordering::Relaxed);
    }

    pub(super) fn reset_bytes(&self) {
        self.bytes_since_checkpoint.store(0, Ordering::Relaxed);
    }

    pub(super) fn capacity(&self) -> u64 {
        self.capacity.load(Ordering::Relaxed)
    }

    pub(super) fn set_capacity(&self, capacity: u64) {
        self.capacity.store(capacity, Ordering::Relaxed);
    }

    /// Waits for more writes. With `has_failed`, doesn't wait: what has failed is retried.
    pub(super) fn next(&self, has_failed: bool) -> Next {
        let mut queue = self.lock();
        loop {
            if let Some(writes) = queue.take() {
                return Next::Writes(writes);
            }
            if queue.is_closing {
                return Next::Close;
            }
            if has_failed {
                return Next::Retry;
            }
            queue = self.changed.wait(queue).unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Waits for the backoff, or until the disk closes. With `is_full`, a checkpoint ends the wait as
    /// well: it frees space.
    pub(super) fn back_off(&self, backoff: Duration, is_full: bool) {
        let deadline = Instant::now() + backoff;
        let mut queue = self.lock();
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let space_is_freed = is_full && queue.pending.checkpoint.is_some();
            if remaining.is_zero() || queue.is_closing || space_is_freed {
                return;
            }
            queue = self.wait_timeout(queue, remaining);
        }
    }

    /// Asks the thread to end and waits for that; false if it takes longer than the timeout.
    pub(super) fn close(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        let mut queue = self.lock();
        queue.is_closing = true;
        self.changed.notify_all();
        while !queue.has_ended {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return false;
            }
            queue = self.wait_timeout(queue, remaining);
        }
        true
    }

    /// The thread has ended.
    pub(super) fn set_ended(&self) {
        self.lock().has_ended = true;
        self.changed.notify_all();
    }

    fn wait_timeout<'a>(&self, queue: MutexGuard<'a, Queue>, timeout: Duration) -> MutexGuard<'a, Queue> {
        self.changed.wait_timeout(queue, timeout).unwrap_or_else(PoisonError::into_inner).0
    }
}
