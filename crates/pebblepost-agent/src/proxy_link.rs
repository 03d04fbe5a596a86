//! The link to the proxy of this machine.

use eyre::Result;
use pebblepost_link::{LinkError, Listener, Receiver, Sender};
use pebblepost_messages::feed::{FeedBatch, FeedReply, FeedUpdate};
use tokio::sync::mpsc;

const MOST_WAITING_EVENTS: usize = 16;

/// What happens on links of proxies. A proxy that was started anew has another number.
#[derive(Debug)]
pub(crate) enum ProxyEvent {
    /// A proxy connected.
    Connected(u64, Sender),
    /// A proxy confirmed.
    Reply(u64, FeedReply),
    /// The link ended.
    Closed(u64),
}

/// The proxy that is fed.
#[derive(Debug)]
pub(crate) struct ProxyLink {
    /// Number of the proxy.
    pub(crate) number: u64,
    /// Whether it was given a snapshot.
    pub(crate) fed: bool,
    sender: Sender,
    sequence: u64,
}

impl ProxyLink {
    /// A proxy that just connected.
    pub(crate) fn new(number: u64, sender: Sender) -> ProxyLink {
        ProxyLink { number, fed: false, sender, sequence: 0 }
    }

    /// Sends updates; the number of their batch.
    pub(crate) fn send(&mut self, updates: Vec<FeedUpdate>) -> u64 {
        self.sequence += 1;
        self.sender.send(&FeedBatch { sequence: self.sequence, updates });
        self.sequence
    }

    /// Sends a batch that says nothing new, under the number of the one before.
    pub(crate) fn keep_alive(&self) {
        self.sender.send(&FeedBatch { sequence: self.sequence, updates: Vec::new() });
    }

    /// Ends the link.
    pub(crate) fn close(&self) {
        self.sender.close();
    }
}

/// Accepts proxies, on the caller's `LocalSet`, until the receiver of events is dropped.
pub(crate) fn listen(mut listener: Listener) -> mpsc::Receiver<ProxyEvent> {
    let (events, receiver) = mpsc::channel(MOST_WAITING_EVENTS);
    tokio::task::spawn_local(async move {
        let mut number = 0;
        while !events.is_closed() {
            match listener.accept().await {
                Ok((sender, receiver)) => {
                    number += 1;
                    tokio::task::spawn_local(follow(number, sender, receiver, events.clone()));
                }
                Err(error) => log::warn!("a proxy could not connect: {error:#}"),
            }
        }
    });
    receiver
}

async fn follow(number: u64, sender: Sender, mut receiver: Receiver, events: mpsc::Sender<ProxyEvent>) {
    if events.send(ProxyEvent::Connected(number, sender)).await.is_err() {
        return;
    }
    let error = loop {
        let reply: Result<FeedReply, LinkError> = receiver.receive().await;
        match reply {
            Ok(reply) => {
                if events.send(ProxyEvent::Reply(number, reply)).await.is_err() {
                    return;
                }
            }
            Err(error) => break error,
        }
    };
    log::debug!("proxy: {error:#}");
    events.send(ProxyEvent::Closed(number)).await.ok();
}
