//! Links that other programs open to this machine: listening, receiving and sending.

use super::event::Event;
use crate::store::LinkId;
use eyre::Result;
use pebblepost_link::{LinkLimits, Listener, Receiver, Sender};
use pebblepost_messages::batch::{FromStore, JobResponse, ToStore};
use std::borrow::Cow;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Maximum size of a message. A message may contain a whole batch job.
pub(super) const MAX_FRAME_BYTES: usize = 48 * 1024 * 1024;
/// Maximum number of bytes queued for sending over one inbound link.
const MAX_QUEUED_BYTES_PER_LINK: usize = 16 * 1024 * 1024;
/// Number of queued bytes from which on a link gets no further large message: requests for work wait, and reads are
/// answered that the store is unavailable, so that they are repeated.
const CONGESTION_BYTES: usize = 4 * 1024 * 1024;
/// Time without incoming data after which a link is closed.
pub(super) const READ_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time limit for opening a link.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of attempts to bind the listener, as the port may still be in use.
const MAX_LISTEN_ATTEMPTS: u32 = 50;
/// Time between attempts to bind the listener.
const LISTEN_RETRY_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Debug)]
struct Link {
    sender: Sender,
    /// Whether a message was sent since the last round of keep-alives.
    was_used: bool,
    /// Request for work that waits until the link is no longer congested.
    waiting_request: Option<ToStore>,
}

impl Link {
    fn is_congested(&self) -> bool {
        self.sender.queued_bytes() > CONGESTION_BYTES
    }
}

/// The senders of the inbound links.
#[derive(Debug, Default)]
pub(super) struct InboundLinks {
    links: BTreeMap<LinkId, Link>,
}

impl InboundLinks {
    pub(super) fn add(&mut self, id: LinkId, sender: Sender) {
        self.links.insert(id, Link { sender, was_used: false, waiting_request: None });
    }

    pub(super) fn remove(&mut self, id: LinkId) {
        self.links.remove(&id);
    }

    /// Sends a message. Over a congested link, answers to reads are sent without their content.
    pub(super) fn send(&mut self, id: LinkId, message: &FromStore) {
        let Some(link) = self.links.get_mut(&id) else { return };
        let message = if link.is_congested() { without_content(message) } else { Cow::Borrowed(message) };
        link.was_used = true;
        link.sender.send(&*message);
    }

    /// Returns a received message that can be handled now. A request for work over a congested link is kept until
    /// [`InboundLinks::take_ready_requests`] returns it.
    pub(super) fn admit(&mut self, id: LinkId, message: ToStore) -> Option<ToStore> {
        let is_request = matches!(message, ToStore::RequestWork { .. } | ToStore::RequestSendableWork { .. });
        match self.links.get_mut(&id) {
            Some(link) if is_request && link.is_congested() => {
                link.waiting_request = Some(message);
                None
            }
            _ => Some(message),
        }
    }

    /// Takes the kept requests for work over links that are no longer congested.
    pub(super) fn take_ready_requests(&mut self) -> Vec<(LinkId, ToStore)> {
        let ready = self.links.iter_mut().filter(|(_, link)| !link.is_congested());
        ready.filter_map(|(id, link)| Some((*id, link.waiting_request.take()?))).collect()
    }

    /// Sends a keep-alive over each link that was not used since the last call.
    pub(super) fn send_keep_alives(&mut self) {
        for link in self.links.values_mut() {
            if !std::mem::take(&mut link.was_used) {
                link.sender.send(&FromStore::KeepAlive);
            }
        }
    }
}

/// Returns an answer to a read that the store is unavailable; other messages are returned unchanged.
fn without_content(message: &FromStore) -> Cow<'_, FromStore> {
    match message {
        FromStore::Results { call, answer: JobResponse::Found(_) } => {
            Cow::Owned(FromStore::Results { call: *call, answer: JobResponse::Unavailable })
        }
        FromStore::Body { call, answer: JobResponse::Found(_) } => {
            Cow::Owned(FromStore::Body { call: *call, answer: JobResponse::Unavailable })
        }
        _ => Cow::Borrowed(message),
    }
}

/// Binds the listener, and retries if that fails, for instance because the port is still in use.
///
/// # Errors
///
/// Returns the error of the last attempt after [`MAX_LISTEN_ATTEMPTS`] attempts.
pub(super) async fn listen(address: SocketAddr) -> Result<Listener> {
    let limits = LinkLimits {
        max_frame_bytes: MAX_FRAME_BYTES,
        max_queued_bytes: MAX_QUEUED_BYTES_PER_LINK,
        connect_timeout: CONNECT_TIMEOUT,
        read_timeout: READ_TIMEOUT,
    };
    let mut attempts = 1;
    loop {
        match Listener::bind(address, limits) {
            Ok(listener) => return Ok(listener),
            Err(error) if attempts == MAX_LISTEN_ATTEMPTS => return Err(error.into()),
            Err(error) => log::warn!("listener not bound, retrying error={error:#}"),
        }
        attempts += 1;
        sleep(LISTEN_RETRY_INTERVAL).await;
    }
}

/// Accepts links and spawns a task for each that receives its messages.
pub(super) async fn accept_links(mut listener: Listener, events: mpsc::Sender<Event>) {
    let mut last_link = 0;
    loop {
        let (sender, receiver) = match listener.accept().await {
            Ok(link) => link,
            Err(error) => {
                log::warn!("inbound link not accepted error={error:#}");
                continue;
            }
        };
        last_link += 1;
        spawn_local(serve_link(LinkId(last_link), sender, receiver, events.clone()));
    }
}

/// Sends the events of one link to the event loop until the link is lost.
async fn serve_link(id: LinkId, sender: Sender, mut receiver: Receiver, events: mpsc::Sender<Event>) {
    if events.send(Event::Opened(id, sender)).await.is_err() {
        return;
    }
    loop {
        let event = match receiver.receive::<ToStore>().await {
            Ok(message) => Event::Received(id, message),
            Err(error) => {
                log::info!("inbound link lost error={error:#}");
                Event::Closed(id)
            }
        };
        let is_last = matches!(event, Event::Closed(_));
        if events.send(event).await.is_err() || is_last {
            return;
        }
    }
}
