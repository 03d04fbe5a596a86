//! Links that other programs open to this one.

use super::event::Event;
use crate::store::LinkId;
use eyre::Result;
use pebblepost_link::{LinkLimits, Listener, Receiver, Sender};
use pebblepost_messages::batch::{FromStore, ToStore};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Largest message: a whole batch job.
pub(super) const MOST_FRAME_BYTES: usize = 48 * 1024 * 1024;
/// Bytes that may wait for one program that opened a link.
const MOST_QUEUED_BYTES: usize = 16 * 1024 * 1024;
/// A link that is silent for so long is closed.
pub(super) const SILENCE: Duration = Duration::from_millis(2_000);
/// Time for a connection to come up.
pub(super) const CONNECT: Duration = Duration::from_millis(500);
/// Tries to listen while the port is still taken, and the pause between them.
const LISTEN_TRIES: u32 = 50;
const LISTEN_PAUSE: Duration = Duration::from_millis(100);

#[derive(Debug)]
struct Link {
    sender: Sender,
    /// Something was sent since the last keep-alive was due.
    is_used: bool,
}

/// Links that other programs opened.
#[derive(Debug, Default)]
pub(super) struct Links {
    links: BTreeMap<LinkId, Link>,
}

impl Links {
    pub(super) fn opened(&mut self, id: LinkId, sender: Sender) {
        self.links.insert(id, Link { sender, is_used: false });
    }

    pub(super) fn closed(&mut self, id: LinkId) {
        self.links.remove(&id);
    }

    pub(super) fn send(&mut self, id: LinkId, message: &FromStore) {
        if let Some(link) = self.links.get_mut(&id) {
            link.is_used = true;
            link.sender.send(message);
        }
    }

    /// Sends a sign of life over links that were not used lately.
    pub(super) fn keep_alive(&mut self) {
        for link in self.links.values_mut() {
            if !std::mem::take(&mut link.is_used) {
                link.sender.send(&FromStore::KeepAlive);
            }
        }
    }
}

/// Starts to listen; tries again while the port is taken.
pub(super) async fn listen(address: SocketAddr) -> Result<Listener> {
    let limits = LinkLimits {
        max_frame_bytes: MOST_FRAME_BYTES,
        max_queued_bytes: MOST_QUEUED_BYTES,
        connect_timeout: CONNECT,
        read_timeout: SILENCE,
    };
    let mut tries = 1;
    loop {
        match Listener::bind(address, limits) {
            Ok(listener) => return Ok(listener),
            Err(error) if tries == LISTEN_TRIES => return Err(error.into()),
            Err(error) => log::warn!("{error:#}"),
        }
        tries += 1;
        sleep(LISTEN_PAUSE).await;
    }
}

/// Accepts links and reads from them, each in a task of its own.
pub(super) async fn accept(mut listener: Listener, events: mpsc::Sender<Event>) {
    let mut last = 0;
    loop {
        let (sender, receiver) = match listener.accept().await {
            Ok(link) => link,
            Err(error) => {
                log::warn!("{error:#}");
                continue;
            }
        };
        last += 1;
        spawn_local(serve(LinkId(last), sender, receiver, events.clone()));
    }
}

async fn serve(id: LinkId, sender: Sender, mut receiver: Receiver, events: mpsc::Sender<Event>) {
    if events.send(Event::Opened(id, sender)).await.is_err() {
        return;
    }
    loop {
        let event = match receiver.receive::<ToStore>().await {
            Ok(message) => Event::Received(id, message),
            Err(error) => {
                log::debug!("{error:#}");
                Event::Closed(id)
            }
        };
        let is_last = matches!(event, Event::Closed(_));
        if events.send(event).await.is_err() || is_last {
            return;
        }
    }
}
