//! Events that tasks send to the event loop.

use crate::feed::ConnectionId;
use crate::node::Input;
use pebblepost_link::Sender;
use tokio::sync::mpsc;

/// An event from a task.
#[derive(Debug)]
pub enum Event {
    /// Another program has opened a link.
    LinkOpened {
        /// The link.
        connection: ConnectionId,
        /// Sending half of the link.
        sender: Sender,
    },
    /// The link to another control node is up.
    PeerConnected {
        /// Address of that node.
        address: String,
        /// Sending half of the link.
        sender: Sender,
    },
    /// An input for the control node.
    Input(Input),
}

/// Sender of events to the event loop.
pub type EventSender = mpsc::Sender<Event>;
