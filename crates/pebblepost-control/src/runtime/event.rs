//! What tasks report to the loop.

use crate::feed::ConnectionId;
use crate::node::Input;
use pebblepost_link::Sender;
use tokio::sync::mpsc;

/// A report of a task.
#[derive(Debug)]
pub enum Event {
    /// Another program has opened a link.
    LinkOpened {
        /// The link.
        connection: ConnectionId,
        /// Its sending half.
        sender: Sender,
    },
    /// The link to another control process is up.
    PeerConnected {
        /// Its address.
        address: String,
        /// Its sending half.
        sender: Sender,
    },
    /// An input of the control node.
    Input(Input),
}

/// Where tasks send their reports.
pub type EventSender = mpsc::Sender<Event>;
