//! What the halves of a link and its writing task share.

use crate::LinkLimits;
use crate::frame;
use nanoserde::SerBin;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use tokio::sync::Notify;

/// How far a link is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Both halves work.
    Open,
    /// Closed; what is queued is still written.
    Flushing,
    /// Closed; nothing more is written.
    Aborted,
}

/// State of one link.
#[derive(Debug)]
pub(crate) struct Shared {
    /// The other end.
    pub(crate) peer: SocketAddr,
    /// Limits of the link.
    pub(crate) limits: LinkLimits,
    /// Wakes the writing task: something is queued, or the link is to be flushed.
    pub(crate) writer_wake: Notify,
    /// Bounds the rest of the writing task's time: the link is closed.
    pub(crate) writer_closing: Notify,
    /// Ends the writing task, also in the middle of a write.
    pub(crate) writer_abort: Notify,
    /// Wakes the receiver: the link is closed.
    pub(crate) receiver_wake: Notify,
    phase: Cell<Phase>,
    reason: RefCell<Option<String>>,
    queue: RefCell<Vec<u8>>,
    bytes_in_write: Cell<usize>,
}

impl Shared {
    /// A link that is open; the preamble waits to go out with the first message.
    pub(crate) fn new(peer: SocketAddr, limits: LinkLimits) -> Shared {
        Shared {
            peer,
            limits,
            writer_wake: Notify::new(),
            writer_closing: Notify::new(),
            writer_abort: Notify::new(),
            receiver_wake: Notify::new(),
            phase: Cell::new(Phase::Open),
            reason: RefCell::new(None),
            queue: RefCell::new(frame::PREAMBLE.to_vec()),
            bytes_in_write: Cell::new(0),
        }
    }

    /// How far the link is.
    pub(crate) fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Why the link was closed.
    pub(crate) fn reason(&self) -> String {
        self.reason.borrow().clone().unwrap_or_else(|| "closed".to_owned())
    }

    /// Bytes that wait to be written.
    pub(crate) fn queued_bytes(&self) -> usize {
        self.queue.borrow().len() + self.bytes_in_write.get()
    }

    /// Queues a message; closes the link if it can't be.
    pub(crate) fn queue<M: SerBin>(&self, message: &M) -> bool {
        if self.phase() != Phase::Open {
            return false;
        }
        if !frame::append(message, &mut self.queue.borrow_mut(), self.limits.max_frame_bytes) {
            self.abort(format!("a message is over {} bytes", self.limits.max_frame_bytes));
            return false;
        }
        let queued = self.queued_bytes();
        if queued > self.limits.max_queued_bytes {
            self.abort(format!("{queued} bytes wait to be written, more than allowed"));
            return false;
        }
        self.writer_wake.notify_one();
        true
    }

    /// Takes all that is queued.
    pub(crate) fn take_queue(&self) -> Vec<u8> {
        let taken = std::mem::take(&mut *self.queue.borrow_mut());
        self.bytes_in_write.set(taken.len());
        taken
    }

    /// Gives a written buffer back for use as the next queue.
    pub(crate) fn give_back(&self, mut buffer: Vec<u8>) {
        let mut queue = self.queue.borrow_mut();
        if queue.capacity() == 0 {
            buffer.clear();
            *queue = buffer;
        }
    }

    /// Notes how much of a taken queue is still to be written.
    pub(crate) fn set_bytes_in_write(&self, bytes: usize) {
        self.bytes_in_write.set(bytes);
    }

    /// Closes the link after what is queued has been written.
    pub(crate) fn close(&self, reason: &str) {
        if self.phase() == Phase::Open {
            self.phase.set(Phase::Flushing);
            self.note(reason.to_owned());
            self.writer_wake.notify_one();
            self.writer_closing.notify_one();
            self.receiver_wake.notify_one();
        }
    }

    /// Closes the link at once.
    pub(crate) fn abort(&self, reason: String) {
        if self.phase() != Phase::Aborted {
            self.phase.set(Phase::Aborted);
            self.note(reason);
            self.writer_abort.notify_one();
            self.receiver_wake.notify_one();
        }
    }

    fn note(&self, reason: String) {
        self.reason.borrow_mut().get_or_insert(reason);
    }
}
