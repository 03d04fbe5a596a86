//! State shared by the two halves of a link and its writer task.

use crate::encoded::EncodedMessage;
use crate::error::{CloseReason, LinkError};
use crate::pacer::Pacer;
use crate::send_queue::{Batch, SendQueue};
use crate::sender::SendOutcome;
use crate::tail::{MessageTail, TailFrame};
use crate::{LinkLimits, frame};
use nanoserde::SerBin;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;

/// Phase of a link. Later phases are never left for earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Messages are sent and received.
    Open,
    /// Closed; the writer task still writes the send queue.
    Flushing,
    /// Closed; nothing more is written.
    Aborted,
}

/// State of one link.
#[derive(Debug)]
pub(crate) struct LinkState {
    /// Address of the peer.
    pub(crate) peer: SocketAddr,
    /// Limits of the link.
    pub(crate) limits: LinkLimits,
    /// Limits the write rate of all links that share it.
    pub(crate) pacer: Option<Rc<Pacer>>,
    /// Wakes the writer task: something is queued, or the link has to be flushed.
    pub(crate) writer_wake: Notify,
    /// Tells the writer task that the link is flushing and its remaining time is limited.
    pub(crate) writer_closing: Notify,
    /// Ends the writer task, even during a write.
    pub(crate) writer_abort: Notify,
    /// Tells the receiver that the link is closed.
    pub(crate) receiver_wake: Notify,
    phase: Cell<Phase>,
    close_reason: RefCell<Option<CloseReason>>,
    queue: RefCell<SendQueue>,
    /// Whether the preamble was taken from the queue. Until then the queue must not be cleared, because the preamble
    /// has to be written before anything else.
    is_preamble_taken: Cell<bool>,
    /// Bytes that were taken from the queue and are not written yet.
    bytes_in_write: Cell<usize>,
    /// Length of the largest frame in the batch that is being written.
    largest_frame_in_write: Cell<usize>,
}

impl LinkState {
    /// Creates the state of an open link. The preamble is queued and written together with the first message.
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
            queue: RefCell::new(SendQueue::with_preamble(frame::PREAMBLE.to_vec())),
            is_preamble_taken: Cell::new(false),
            bytes_in_write: Cell::new(0),
            largest_frame_in_write: Cell::new(0),
        }
    }

    pub(crate) fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Returns the error of a closed link, with the first reason for which it was closed.
    pub(crate) fn closed_error(&self) -> LinkError {
        let reason = self.close_reason.borrow().clone().unwrap_or(CloseReason::ClosedLocally);
        LinkError::Closed { peer: self.peer, reason }
    }

    /// Returns the number of bytes queued or being written.
    pub(crate) fn queued_bytes(&self) -> usize {
        self.queue.borrow().bytes() + self.bytes_in_write.get()
    }

    /// Queues a message. Returns false if the link is closed. Closes the link and returns false if the message
    /// exceeds the frame limit or the queue limit.
    pub(crate) fn enqueue<M: SerBin>(&self, message: &M) -> bool {
        if self.phase() != Phase::Open {
            return false;
        }
        let max_frame_bytes = self.limits.max_frame_bytes;
        if !self.queue.borrow_mut().push(message, max_frame_bytes) {
            self.abort(CloseReason::MessageTooLarge { max_frame_bytes });
            return false;
        }
        self.check_queue_limit()
    }

    /// Queues an encoded message. Fails in the same cases as [`LinkState::enqueue`].
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
        self.check_queue_limit()
    }

    /// Queues a message with a tail. Fails in the same cases as [`LinkState::enqueue`].
    pub(crate) fn enqueue_with_tail(&self, head: &[u8], tail: Rc<dyn MessageTail>) -> bool {
        if self.phase() != Phase::Open {
            return false;
        }
        let max_frame_bytes = self.limits.max_frame_bytes;
        let Some(frame) = TailFrame::new(head, tail, max_frame_bytes) else {
            self.abort(CloseReason::MessageTooLarge { max_frame_bytes });
            return false;
        };
        self.queue.borrow_mut().push_with_tail(frame);
        self.check_queue_limit()
    }

    /// Queues a message if the queue has room for it. Closes the link if the message exceeds the frame limit.
    pub(crate) fn enqueue_if_room<M: SerBin>(&self, message: &M) -> SendOutcome {
        if self.phase() != Phase::Open {
            return SendOutcome::Closed;
        }
        let max_frame_bytes = self.limits.max_frame_bytes;
        let mut frame = Vec::new();
        if !frame::append_frame(message, &mut frame, max_frame_bytes) {
            self.abort(CloseReason::MessageTooLarge { max_frame_bytes });
            return SendOutcome::Closed;
        }
        let oversize_bytes = self.oversize_bytes().max(self.count_if_oversize(frame.len(), frame.len()));
        if self.queued_bytes() + frame.len() - oversize_bytes > self.limits.max_queued_bytes {
            return SendOutcome::NoRoom;
        }
        self.queue.borrow_mut().push_frame(frame);
        self.writer_wake.notify_one();
        SendOutcome::Queued
    }

    /// Drops the frames that were not taken for writing yet. Has no effect before the preamble was taken.
    pub(crate) fn discard_unsent(&self) {
        if self.is_preamble_taken.get() {
            self.queue.borrow_mut().clear();
        }
    }

    /// Takes the next frames for writing. Call this from the writer task only.
    pub(crate) fn take_batch(&self) -> Batch {
        self.is_preamble_taken.set(true);
        let batch = self.queue.borrow_mut().take_batch();
        self.bytes_in_write.set(batch.remaining());
        self.largest_frame_in_write.set(batch.largest_frame_bytes());
        batch
    }

    /// Returns a completely written batch, so that a buffer of it can be reused.
    pub(crate) fn recycle(&self, batch: Batch) {
        self.queue.borrow_mut().recycle(batch);
    }

    /// Wakes the writer task after a message was queued. Closes the link and returns false if the queue now exceeds
    /// its limit.
    fn check_queue_limit(&self) -> bool {
        let queued_bytes = self.queued_bytes();
        let max_queued_bytes = self.limits.max_queued_bytes;
        if queued_bytes > max_queued_bytes && queued_bytes - self.oversize_bytes() > max_queued_bytes {
            self.abort(CloseReason::QueueFull { queued_bytes });
            return false;
        }
        self.writer_wake.notify_one();
        true
    }

    /// Returns the unwritten bytes of the largest message queued or being written if it exceeds the queue limit by
    /// itself, or else 0.
    fn oversize_bytes(&self) -> usize {
        let queued = self.queue.borrow().largest_frame_bytes();
        let in_write = self.largest_frame_in_write.get();
        let queued = self.count_if_oversize(queued, queued);
        queued.max(self.count_if_oversize(in_write, self.bytes_in_write.get()))
    }

    /// Returns the unwritten bytes of a frame that exceeds the queue limit by itself, or else 0.
    fn count_if_oversize(&self, frame_bytes: usize, unwritten_bytes: usize) -> usize {
        if frame_bytes > self.limits.max_queued_bytes { unwritten_bytes } else { 0 }
    }

    /// Sets how many bytes of the taken batch are not written yet.
    pub(crate) fn set_bytes_in_write(&self, bytes: usize) {
        self.bytes_in_write.set(bytes);
    }

    /// Closes the link after the queue has been written. Has no effect on a closed link.
    pub(crate) fn close(&self, reason: CloseReason) {
        if self.phase() == Phase::Open {
            self.phase.set(Phase::Flushing);
            self.set_first_close_reason(reason);
            self.writer_wake.notify_one();
            self.writer_closing.notify_one();
            self.receiver_wake.notify_one();
        }
    }

    /// Closes the link at once, without writing the queue.
    pub(crate) fn abort(&self, reason: CloseReason) {
        if self.phase() != Phase::Aborted {
            self.phase.set(Phase::Aborted);
            self.set_first_close_reason(reason);
            self.writer_abort.notify_one();
            self.receiver_wake.notify_one();
        }
    }

    fn set_first_close_reason(&self, reason: CloseReason) {
        self.close_reason.borrow_mut().get_or_insert(reason);
    }
}
