//! Links that other programs open to this one: listening, reading and sending.

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

/// Limit on the size of a message, which may be a whole batch job, in bytes.
pub(super) const MAX_FRAME_BYTES: usize = 48 * 1024 * 1024;
/// Limit on the bytes queued for one inbound link.
const MAX_QUEUED_BYTES: usize = 16 * 1024 * 1024;
/// A link over which nothing arrives for this time is closed.
pub(super) const READ_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time limit of connecting.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Attempts to listen while the port is still in use.
const MAX_LISTEN_ATTEMPTS: u32 = 50;
/// Time between attempts to listen.
const LISTEN_RETRY_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Debug)]
struct Link {
    sender: Sender,
    /// Something was sent since keep-alives were due last.
    is_used: bool,
}

/// The sending sides of inbound links.
#[derive(Debug, Default)]
pub(super) struct InboundLinks {
    links: BTreeMap<LinkId, Link>,
}

impl InboundLinks {
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

    /// Sends a keep-alive over each link that was not used since the last call.
    pub(super) fn keep_alive(&mut self) {
        for link in self.links.values_mut() {
            if !std::mem::take(&mut link.is_used) {
                link.sender.send(&FromStore::KeepAlive);
            }
        }
    }
}

/// Starts to listen; retries while the port is in use.
pub(super) async fn listen(address: SocketAddr) -> Result<Listener> {
    let limits = LinkLimits {
        max_frame_bytes: MAX_FRAME_BYTES,
        max_queued_bytes: MAX_QUEUED_BYTES,
        connect_timeout: CONNECT_TIMEOUT,
        read_timeout: READ_TIMEOUT,
    };
    let mut attempts = 1;
    loop {
        match Listener::bind(address, limits) {
            Ok(listener) => return Ok(listener),
            Err(error) if attempts == MAX_LISTEN_ATTEMPTS => return Err(error.into()),
            Err(error) => log::warn!("not listening yet error={error:#}"),
        }
        attempts += 1;
        sleep(LISTEN_RETRY_INTERVAL).await;
    }
}

/// Accepts links and reads from them, each in a task of its own.
pub(super) async fn accept(mut listener: Listener, events: mpsc::Sender<Event>) {
    let mut last_link = 0;
    loop {
        let (sender, receiver) = match listener.accept().await {
            Ok(link) => link,
            Err(error) => {
                log::warn!("link not accepted error={error:#}");
                continue;
            }
        };
        last_link += 1;
        spawn_local(serve(LinkId(last_link), sender, receiver, events.clone()));
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
                log::debug!("inbound link lost error={error:#}");
                Event::Closed(id)
            }
        };
        let is_last = matches!(event, Event::Closed(_));
        if events.send(event).await.is_err() || is_last {
            return;
        }
    }
}
