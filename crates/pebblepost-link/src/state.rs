//! State that the halves of a link and its writing task share.

use crate::encoded::EncodedMessage;
use crate::error::{CloseReason, LinkError};
use crate::pacer::Pacer;
use crate::send_queue::{Batch, SendQueue};
use crate::{LinkLimits, frame};
use nanoserde::SerBin;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;

/// Phase of a link; it only goes forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Both halves work.
    Open,
    /// Closed; the send queue is still written.
    Flushing,
    /// Closed; nothing more is written.
    Aborted,
}

/// State of one link.
#[derive(Debug)]
pub(crate) struct LinkState {
    /// Address of the other end.
    pub(crate) peer: SocketAddr,
    /// Limits of the link.
    pub(crate) limits: LinkLimits,
    /// Limits the rate of writing, together with other links.
    pub(crate) pacer: Option<Rc<Pacer>>,
    /// Wakes the writing task: something is queued, or the link is to be flushed.
    pub(crate) writer_wake: Notify,
    /// The link is flushing: the writing task has a bounded time left.
    pub(crate) writer_closing: Notify,
    /// Ends the writing task, also inside a write.
    pub(crate) writer_abort: Notify,
    /// Wakes the receiver: the link is closed.
    pub(crate) receiver_wake: Notify,
    phase: Cell<Phase>,
    close_reason: RefCell<Option<CloseReason>>,
    queue: RefCell<SendQueue>,
    /// The preamble, which has to be written before anything else, was taken from the queue.
    is_preamble_taken: Cell<bool>,
    /// Bytes taken from the queue and not yet written.
    bytes_in_write: Cell<usize>,
}

impl LinkState {
    /// An open link. The preamble is queued and goes out with the first message.
    pub(crate) fn new(peer: SocketAddr, limits: LinkLimits, pacer: Option<Rc<Pacer>>) -> LinkState {
        LinkState {
            peer,
            limits,
            pacer,
            writer_wake: Notify::new(),
            writer_closing: Notify::new(),
            writer_abort: Notify::new(),
            receiver_wake: Notify::new(),
            phase: Cell::new(Phase::Open),
            close_reason: RefCell::new(None),
            queue: RefCell::new(SendQueue::starting_with(frame::PREAMBLE.to_vec())),
            is_preamble_taken: Cell::new(false),
            bytes_in_write: Cell::new(0),
        }
    }

    /// Current phase.
    pub(crate) fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// The error of a closed link, with the first reason for which it was closed.
    pub(crate) fn closed_error(&self) -> LinkError {
        let reason = self.close_reason.borrow().clone().unwrap_or(CloseReason::ClosedLocally);
        LinkError::Closed { peer: self.peer, reason }
    }

    /// Bytes queued or being written.
    pub(crate) fn queued_bytes(&self) -> usize {
        self.queue.borrow().bytes() + self.bytes_in_write.get()
    }

    /// Queues a message. Returns false if the link is closed, and closes it if the message does not fit.
    pub(crate) fn enqueue<M: SerBin>(&self, message: &M) -> bool {
        if self.phase() != Phase::Open {
            return false;
        }
        let max_frame_bytes = self.limits.max_frame_bytes;
        if !self.queue.borrow_mut().push(message, max_frame_bytes) {
            self.abort(CloseReason::MessageTooLarge { max_frame_bytes });
            return false;
        }
        self.queue_grew()
    }

    /// Queues a message that is encoded already. Returns false as [`LinkState::enqueue`] does.
    pub(crate) fn enqueue_encoded(&self, message: &EncodedMessage) -> bool {
        if self.phase() != Phase::Open {
            return false;
        }
        let max_frame_bytes = self.limits.max_frame_bytes;
        if message.message_bytes() > max_frame_bytes {
            self.abort(CloseReason::MessageTooLarge { max_frame_bytes });
            return false;
        }
        self.queue.borrow_mut().push_shared(Rc::clone(message.frame()));
        self.queue_grew()
    }

    /// Drops the frames of which nothing is written yet.
    pub(crate) fn discard_unsent(&self) {
        if self.is_preamble_taken.get() {
            self.queue.borrow_mut().clear();
        }
    }

    /// Takes the next frames for writing.
    pub(crate) fn take_batch(&self) -> Batch {
        self.is_preamble_taken.set(true);
        let batch = self.queue.borrow_mut().take_batch();
        self.bytes_in_write.set(batch.remaining());
        batch
    }

    /// Returns a written batch, whose buffers are reused.
    pub(crate) fn recycle(&self, batch: Batch) {
        self.queue.borrow_mut().recycle(batch);
    }

    /// Wakes the writing task. Returns false, and closes the link, if the queue is full.
    fn queue_grew(&self) -> bool {
        let queued_bytes = self.queued_bytes();
        if queued_bytes > self.limits.max_queued_bytes {
            self.abort(CloseReason::QueueFull { queued_bytes });
            return false;
        }
        self.writer_wake.notify_one();
        true
    }

    /// Sets how much of a taken queue is still to be written.
    pub(crate) fn set_bytes_in_write(&self, bytes: usize) {
        self.bytes_in_write.set(bytes);
    }

    /// Closes the link once the queue is written.
    pub(crate) fn close(&self, reason: CloseReason) {
        if self.phase() == Phase::Open {
            self.phase.set(Phase::Flushing);
            self.set_close_reason(reason);
            self.writer_wake.notify_one();
            self.writer_closing.notify_one();
            self.receiver_wake.notify_one();
        }
    }

    /// Closes the link at once.
    pub(crate) fn abort(&self, reason: CloseReason) {
        if self.phase() != Phase::Aborted {
            self.phase.set(Phase::Aborted);
            self.set_close_reason(reason);
            self.writer_abort.notify_one();
            self.receiver_wake.notify_one();
        }
    }

    /// The first reason stays.
    fn set_close_reason(&self, reason: CloseReason) {
        self.close_reason.borrow_mut().get_or_insert(reason);
    }
}
