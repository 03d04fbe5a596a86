//! Tasks that read inbound links of other programs, and maintain links to other control nodes.

use super::event::{Event, EventSender};
use crate::feed::ConnectionId;
use crate::node::Input;
use pebblepost_link::control_client::FeedAssembler;
use pebblepost_link::{LinkLimits, Listener, Receiver, Sender, connect};
use pebblepost_messages::control::{FromControl, ToControl};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Limits of all links of a control node.
pub(super) const LINK_LIMITS: LinkLimits = LinkLimits {
    max_frame_bytes: 48 * 1024 * 1024,
    max_queued_bytes: 64 * 1024 * 1024,
    connect_timeout: Duration::from_millis(400),
    read_timeout: Duration::from_millis(2500),
};

/// Backoff after the first failure of a link to another control node. It is doubled with each further failure.
const RECONNECT_BACKOFF_MIN: Duration = Duration::from_millis(50);
/// Upper bound on the backoff.
const RECONNECT_BACKOFF_MAX: Duration = Duration::from_millis(800);
/// Delay after an inbound link could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts links of other programs. Never returns.
pub(super) async fn accept_links(mut listener: Listener, events: EventSender) {
    let mut connection: ConnectionId = 0;
    loop {
        match listener.accept().await {
            Ok((sender, receiver)) => {
                connection += 1;
                spawn_local(read_link(connection, sender, receiver, events.clone()));
            }
            Err(error) => {
                log::warn!("inbound link not accepted: {error:#}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Maintains a link to another control node, and reconnects with a backoff, until the task is aborted or the event
/// loop has ended.
pub(super) async fn maintain_peer_link(address: SocketAddr, events: EventSender) {
    let name = address.to_string();
    let mut backoff = RECONNECT_BACKOFF_MIN;
    loop {
        match connect(address, LINK_LIMITS).await {
            Ok((sender, receiver)) => {
                let connected = Event::PeerConnected { address: name.clone(), sender };
                if events.send(connected).await.is_err() {
                    return;
                }
                if read_peer_link(&name, receiver, &events).await {
                    backoff = RECONNECT_BACKOFF_MIN;
                }
                let disconnected = Input::PeerDisconnected { address: name.clone() };
                if events.send(Event::Input(disconnected)).await.is_err() {
                    return;
                }
            }
            Err(error) => log::debug!("link to control node not connected: {error:#}"),
        }
        sleep(backoff).await;
        backoff = (backoff * 2).min(RECONNECT_BACKOFF_MAX);
    }
}

async fn read_link(connection: ConnectionId, sender: Sender, mut receiver: Receiver, events: EventSender) {
    if events.send(Event::LinkOpened { connection, sender }).await.is_err() {
        return;
    }
    loop {
        let input = match receiver.receive::<ToControl>().await {
            Ok(message) => Input::Message { connection, message },
            Err(error) => {
                log::debug!("inbound link closed connection={connection}: {error:#}");
                // The event loop may have ended.
                events.send(Event::Input(Input::Disconnected { connection })).await.ok();
                return;
            }
        };
        if events.send(Event::Input(input)).await.is_err() {
            return;
        }
    }
}

/// Reads messages until the link is closed or fails. Returns whether any message arrived.
async fn read_peer_link(address: &str, mut receiver: Receiver, events: &EventSender) -> bool {
    let mut has_received = false;
    let mut assembler = FeedAssembler::default();
    loop {
        match receiver.receive::<FromControl>().await {
            Ok(message) => {
                has_received = true;
                let message = match assembler.receive(message) {
                    Ok(Some(message)) => message,
                    Ok(None) => continue,
                    Err(error) => {
                        log::warn!("link to control node closed: invalid feed peer={address} error={error}");
                        return has_received;
                    }
                };
                let input = Input::PeerMessage { address: address.to_string(), message };
                if events.send(Event::Input(input)).await.is_err() {
                    return has_received;
                }
            }
            Err(error) => {
                log::debug!("link to control node closed peer={address}: {error:#}");
                return has_received;
            }
        }
    }
}
