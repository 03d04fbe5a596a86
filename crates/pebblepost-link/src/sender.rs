//! The writing half of a link.

use crate::shared::{Phase, Shared};
use nanoserde::SerBin;
use std::net::SocketAddr;
use std::rc::Rc;

/// The writing half of a link; cheap to clone. Never blocks: what can't be queued closes the link.
#[derive(Clone, Debug)]
pub struct Sender {
    shared: Rc<Shared>,
}

impl Sender {
    pub(crate) fn new(shared: Rc<Shared>) -> Sender {
        Sender { shared }
    }

    /// Queues a message. False if the link is closed or was closed by this.
    pub fn send<M: SerBin>(&self, message: &M) -> bool {
        self.shared.queue(message)
    }

    /// Closes the link, both halves. What is queued is still written, within the time that a connection has
    /// to come up.
    pub fn close(&self) {
        self.shared.close("closed by this end");
    }

    /// Whether the link is closed.
    pub fn is_closed(&self) -> bool {
        self.shared.phase() != Phase::Open
    }

    /// Bytes that wait to be written.
    pub fn queued_bytes(&self) -> usize {
        self.shared.queued_bytes()
    }

    /// Address of the other end.
    pub fn peer(&self) -> SocketAddr {
        self.shared.peer
    }
}
