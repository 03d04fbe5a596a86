//! Tasks beside the loop: links that others open, links to other control processes, orders and
//! reports.

use crate::feed::ConnectionId;
use crate::node::Input;
use crate::program::LINK_LIMITS;
use bytes::Bytes;
use pebblepost_link::{Listener, Receiver, Sender, connect};
use pebblepost_messages::control::{FromControl, ToControl};
use pebblepost_rollout::{Order, OrderAnswer, Reported};
use pebblepost_transcriber::{Client, Target};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// Pause after a link to another control process failed; doubled with each failure.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest such pause.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// Pause after a link could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time for the answer to an order or a report.
const ORDER_TIME: Duration = Duration::from_millis(400);

/// Something that a task tells the loop.
#[derive(Debug)]
pub enum Event {
    /// Another program opened a link.
    Opened {
        /// The link.
        connection: ConnectionId,
        /// Its writing half.
        sender: Sender,
    },
    /// The link to another control process is up.
    PeerUp {
        /// Its address.
        address: String,
        /// Its writing half.
        sender: Sender,
    },
    /// Something for the core.
    Input(Input),
}

/// Where tasks tell the loop.
pub type EventSender = mpsc::Sender<Event>;

/// Accepts links of other programs.
pub async fn accept_links(mut listener: Listener, events: EventSender) {
    let mut connection: ConnectionId = 0;
    loop {
        match listener.accept().await {
            Ok((sender, receiver)) => {
                connection += 1;
                spawn_local(read_link(connection, sender, receiver, events.clone()));
            }
            Err(error) => {
                log::warn!("{error:#}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn read_link(connection: ConnectionId, sender: Sender, mut receiver: Receiver, events: EventSender) {
    if events.send(Event::Opened { connection, sender }).await.is_err() {
        return;
    }
    loop {
        let input = match receiver.receive::<ToControl>().await {
            Ok(message) => Input::Message { connection, message },
            Err(error) => {
                log::debug!("{error:#}");
                events.send(Event::Input(Input::Disconnected { connection })).await.ok();
                return;
            }
        };
        if events.send(Event::Input(input)).await.is_err() {
            return;
        }
    }
}

/// Keeps a link to another control process until the task is aborted.
pub async fn keep_peer_link(address: SocketAddr, events: EventSender) {
    let name = address.to_string();
    let mut pause = FIRST_PAUSE;
    loop {
        match connect(address, LINK_LIMITS).await {
            Ok((sender, receiver)) => {
                let up = Event::PeerUp { address: name.clone(), sender };
                if events.send(up).await.is_err() {
                    return;
                }
                if read_peer_link(&name, receiver, &events).await {
                    pause = FIRST_PAUSE;
                }
                if events.send(Event::Input(Input::PeerDisconnected { address: name.clone() })).await.is_err()
                {
                    return;
                }
            }
            Err(error) => log::debug!("{error:#}"),
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

/// Reads until the link ends; whether anything came.
async fn read_peer_link(address: &str, mut receiver: Receiver, events: &EventSender) -> bool {
    let mut any = false;
    loop {
        match receiver.receive::<FromControl>().await {
            Ok(message) => {
                any = true;
                let input = Input::PeerMessage { address: address.to_string(), message };
                if events.send(Event::Input(input)).await.is_err() {
                    return any;
                }
            }
            Err(error) => {
                log::debug!("{error:#}");
                return any;
            }
        }
    }
}

/// Sends an order to a transcriber and tells the loop how it was answered. `decided` is when the
/// lease was looked at: an order that could not be sent soon after is not sent at all, as another
/// process may hold the lease by then.
pub async fn send_order(client: Client, order: Order, body: Vec<u8>, decided: Instant, events: EventSender) {
    let left = ORDER_TIME.saturating_sub(decided.elapsed());
    let target = target(&order.instance, &order.address).filter(|_| !left.is_zero());
    let answer = match target {
        Some(target) => match client.order(&target, Bytes::from(body), left).await {
            Ok(status) => order_answer(status.as_u16()),
            Err(pebblepost_transcriber::ClientError::NotSent) => OrderAnswer::Refused,
            Err(_) => OrderAnswer::Unknown,
        },
        None => OrderAnswer::Refused,
    };
    log::debug!("order to {}: {answer:?}", order.instance);
    events.send(Event::Input(Input::OrderAnswered { order, answer })).await.ok();
}

fn order_answer(status: u16) -> OrderAnswer {
    match status {
        200 => OrderAnswer::AlreadyHolds,
        202 => OrderAnswer::UnderWay,
        409 => OrderAnswer::Conflict,
        412 => OrderAnswer::Fenced,
        _ => OrderAnswer::Refused,
    }
}

/// Asks a transcriber for its report and tells the loop.
pub async fn ask_report(client: Client, instance: String, address: String, events: EventSender) {
    let report = match target(&instance, &address) {
        Some(target) => client.load_report(&target, ORDER_TIME).await.ok().flatten(),
        None => None,
    };
    let report = report.map(|load| Reported {
        busy: load.order_in_progress,
        models: load.models,
        running: load.running,
    });
    events.send(Event::Input(Input::LoadReported { instance, report })).await.ok();
}

fn target(instance: &str, address: &str) -> Option<Target> {
    Some(Target { instance: instance.into(), address: address.parse().ok()? })
}
