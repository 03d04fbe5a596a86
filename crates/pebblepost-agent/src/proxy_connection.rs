//! Connections of the proxy of this machine.

use pebblepost_link::{Listener, Receiver, Sender};
use pebblepost_messages::feed::{FeedBatch, FeedReply, FeedUpdate};
use tokio::sync::mpsc;

const MAX_QUEUED_EVENTS: usize = 16;

/// Identity of a connection; a proxy that was restarted has another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ConnectionId(u64);

/// What happens on connections of proxies.
#[derive(Debug)]
pub(crate) enum ProxyEvent {
    /// A proxy connected.
    Connected(ConnectionId, Sender),
    /// A proxy replied to a batch.
    Reply(ConnectionId, FeedReply),
    /// The connection ended.
    Closed(ConnectionId),
}

/// The connection over which the feed is sent.
#[derive(Debug)]
pub(crate) struct ProxyConnection {
    id: ConnectionId,
    sender: Sender,
    /// Number of the newest batch.
    sequence: u64,
    has_snapshot: bool,
}

impl ProxyConnection {
    /// A proxy that just connected.
    pub(crate) fn new(id: ConnectionId, sender: Sender) -> ProxyConnection {
        ProxyConnection { id, sender, sequence: 0, has_snapshot: false }
    }

    /// Its identity.
    pub(crate) fn id(&self) -> ConnectionId {
        self.id
    }

    /// Whether a snapshot was sent, on which updates build.
    pub(crate) fn has_snapshot(&self) -> bool {
        self.has_snapshot
    }

    /// Sends the whole state of the feed and returns the sequence of its batch.
    pub(crate) fn send_snapshot(&mut self, snapshot: Vec<FeedUpdate>) -> u64 {
        self.has_snapshot = true;
        self.send(snapshot)
    }

    /// Sends updates and returns the sequence of their batch.
    pub(crate) fn send(&mut self, updates: Vec<FeedUpdate>) -> u64 {
        self.sequence += 1;
        self.sender.send(&FeedBatch { sequence: self.sequence, updates });
        self.sequence
    }

    /// Sends an empty batch under the sequence of the newest one.
    pub(crate) fn keep_alive(&self) {
        self.sender.send(&FeedBatch { sequence: self.sequence, updates: Vec::new() });
    }

    /// Closes the connection.
    pub(crate) fn close(&self) {
        self.sender.close();
    }
}

/// Accepts proxies, on the caller's `LocalSet`, until the receiver of events is dropped.
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
                Err(error) => log::warn!("proxy not accepted: {error:#}"),
            }
        }
    });
    receiver
}

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
    // Without a receiver the agent has ended.
    events.send(ProxyEvent::Closed(id)).await.ok();
}
