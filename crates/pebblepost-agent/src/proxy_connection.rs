//! Connections from the proxy on this machine.

use pebblepost_link::{Listener, Receiver, Sender};
use pebblepost_messages::feed::{FeedBatch, FeedReply, FeedUpdate};
use tokio::sync::mpsc;

/// Capacity of the channel to the agent's event loop. Connections wait while it is full.
const MAX_QUEUED_EVENTS: usize = 16;

/// Id of a connection. Each connection gets a new one, so that events of a replaced connection can be
/// ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ConnectionId(u64);

/// Event on a connection from a proxy.
#[derive(Debug)]
pub(crate) enum ProxyEvent {
    /// A proxy connected.
    Connected(ConnectionId, Sender),
    /// A proxy replied to a batch.
    Reply(ConnectionId, FeedReply),
    /// A connection ended.
    Closed(ConnectionId),
}

/// Connection to the proxy over which the feed is sent.
#[derive(Debug)]
pub(crate) struct ProxyConnection {
    id: ConnectionId,
    sender: Sender,
    /// Sequence of the newest batch; 0 before the first one.
    sequence: u64,
    has_snapshot: bool,
}

impl ProxyConnection {
    /// Creates the state of a proxy that has just connected.
    pub(crate) fn new(id: ConnectionId, sender: Sender) -> ProxyConnection {
        ProxyConnection { id, sender, sequence: 0, has_snapshot: false }
    }

    /// Returns the id of the connection.
    pub(crate) fn id(&self) -> ConnectionId {
        self.id
    }

    /// Returns whether a snapshot was sent, to which updates can be applied.
    pub(crate) fn has_snapshot(&self) -> bool {
        self.has_snapshot
    }

    /// Sends the whole state of the feed. Returns the sequence of its batch.
    pub(crate) fn send_snapshot(&mut self, snapshot: Vec<FeedUpdate>) -> u64 {
        self.has_snapshot = true;
        self.send(snapshot)
    }

    /// Sends updates. Returns the sequence of their batch.
    pub(crate) fn send(&mut self, updates: Vec<FeedUpdate>) -> u64 {
        self.sequence += 1;
        self.sender.send(&FeedBatch { sequence: self.sequence, updates });
        self.sequence
    }

    /// Sends an empty batch with the sequence of the newest one.
    pub(crate) fn keep_alive(&self) {
        self.sender.send(&FeedBatch { sequence: self.sequence, updates: Vec::new() });
    }

    /// Closes the connection.
    pub(crate) fn close(&self) {
        self.sender.close();
    }
}

/// Accepts connections from proxies and returns the channel of their events.
///
/// The tasks run on the caller's `LocalSet`. They end after the receiver has been dropped.
pub(crate) fn listen(mut listener: Listener) -> mpsc::Receiver<ProxyEvent> {
    let (events, receiver) = mpsc::channel(MAX_QUEUED_EVENTS);
    tokio::task::spawn_local(async move {
        let mut accepted = 0;
        while !events.is_closed() {
            match listener.accept().await {
                Ok((sender, receiver)) => {
                    accepted += 1;
                    let id = ConnectionId(accepted);
                    tokio::task::spawn_local(relay_replies(id, sender, receiver, events.clone()));
                }
                Err(error) => log::warn!("proxy connection not accepted: {error:#}"),
            }
        }
    });
    receiver
}

/// Sends the events of one connection to the event loop until the connection ends.
async fn relay_replies(
    id: ConnectionId, sender: Sender, mut receiver: Receiver, events: mpsc::Sender<ProxyEvent>,
) {
    if events.send(ProxyEvent::Connected(id, sender)).await.is_err() {
        return;
    }
    let error = loop {
        match receiver.receive::<FeedReply>().await {
            Ok(reply) => {
                if events.send(ProxyEvent::Reply(id, reply)).await.is_err() {
                    return;
                }
            }
            Err(error) => break error,
        }
    };
    log::debug!("proxy connection ended: {error:#}");
    // A send fails only if the receiver was dropped because the agent has ended.
    events.send(ProxyEvent::Closed(id)).await.ok();
}
