//! The sending half of a link.

use crate::encoded::EncodedMessage;
use crate::error::CloseReason;
use crate::state::{LinkState, Phase};
use nanoserde::SerBin;
use std::net::SocketAddr;
use std::rc::Rc;

/// The sending half of a link; cheap to clone. It never blocks: a message that does not fit the queue closes the
/// link.
#[derive(Clone, Debug)]
pub struct Sender {
    state: Rc<LinkState>,
}

impl Sender {
    pub(crate) fn new(state: Rc<LinkState>) -> Sender {
        Sender { state }
    }

    /// Queues a message. Returns false if the link is closed, or was closed because the message does not fit.
    pub fn send<M: SerBin>(&self, message: &M) -> bool {
        self.state.enqueue(message)
    }

    /// Queues a message that is encoded already and may be shared with other links. Returns false as [`Sender::send`]
    /// does.
    pub fn send_encoded(&self, message: &EncodedMessage) -> bool {
        self.state.enqueue_encoded(message)
    }

    /// Queues a message in the place of everything that waits to be written. A frame of which some bytes are written is
    /// still completed first. Returns false as [`Sender::send`] does.
    pub fn send_instead<M: SerBin>(&self, message: &M) -> bool {
        self.state.discard_unsent();
        self.state.enqueue(message)
    }

    /// Closes both halves of the link. The queue is still written, within [`crate::LinkLimits::connect_timeout`].
    pub fn close(&self) {
        self.state.close(CloseReason::ClosedLocally);
    }

    /// Whether the link is closed.
    pub fn is_closed(&self) -> bool {
        self.state.phase() != Phase::Open
    }

    /// Bytes queued or being written.
    pub fn queued_bytes(&self) -> usize {
        self.state.queued_bytes()
    }

    /// Address of the other end.
    pub fn peer(&self) -> SocketAddr {
        self.state.peer
    }
}
