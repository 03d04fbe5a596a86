//! The sending half of a link.

use crate::encoded::EncodedMessage;
use crate::error::CloseReason;
use crate::state::{LinkState, Phase};
use crate::tail::MessageTail;
use nanoserde::SerBin;
use std::net::SocketAddr;
use std::rc::Rc;

/// Result of [`Sender::send_if_room`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// The message was queued. This does not mean that the peer receives it.
    Queued,
    /// The queue has no room for the message now, so it was dropped. The link stays open.
    NoRoom,
    /// The link is closed, or the message exceeded the frame limit and closed it.
    Closed,
}

/// The sending half of a link; cheap to clone. Sending never blocks: a message that exceeds the frame limit or the
/// queue limit closes the link, except that [`Sender::send_if_room`] drops one for which the queue has no room.
#[derive(Clone, Debug)]
pub struct Sender {
    state: Rc<LinkState>,
}

impl Sender {
    pub(crate) fn new(state: Rc<LinkState>) -> Sender {
        Sender { state }
    }

    /// Queues a message. Returns false if the link is closed or if this message exceeded a limit and closed it. True
    /// does not mean that the peer receives the message.
    pub fn send<M: SerBin>(&self, message: &M) -> bool {
        self.state.enqueue(message)
    }

    /// Queues a message unless the queue would then exceed its limit. For protocols that send a lost message again.
    pub fn send_if_room<M: SerBin>(&self, message: &M) -> SendOutcome {
        self.state.enqueue_if_room(message)
    }

    /// Queues an encoded message, which may be shared with other links. Returns false in the same cases as
    /// [`Sender::send`].
    pub fn send_encoded(&self, message: &EncodedMessage) -> bool {
        self.state.enqueue_encoded(message)
    }

    /// Queues the message that consists of these encoded bytes and a tail, which is not copied. Returns false in the same
    /// cases as [`Sender::send`].
    pub fn send_with_tail(&self, head: &[u8], tail: Rc<dyn MessageTail>) -> bool {
        self.state.enqueue_with_tail(head, tail)
    }

    /// Drops all queued messages and queues this one in their place. Frames already taken for writing are still
    /// written first. Returns false in the same cases as [`Sender::send`].
    pub fn send_replacing_queue<M: SerBin>(&self, message: &M) -> bool {
        self.state.discard_unsent();
        self.state.enqueue(message)
    }

    /// Closes both halves of the link. Queued messages are still written, for at most
    /// [`crate::LinkLimits::connect_timeout`].
    pub fn close(&self) {
        self.state.close(CloseReason::ClosedLocally);
    }

    /// Returns whether the link is closed.
    pub fn is_closed(&self) -> bool {
        self.state.phase() != Phase::Open
    }

    /// Returns the number of bytes queued or being written.
    pub fn queued_bytes(&self) -> usize {
        self.state.queued_bytes()
    }

    /// Returns the address of the peer.
    pub fn peer(&self) -> SocketAddr {
        self.state.peer
    }
}
