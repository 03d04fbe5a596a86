//! Client for the control plane: finds the primary, keeps a link to it and reconnects after a failure.
//!
//! Agents and storage nodes use it. The client follows redirects, learns the members of the control plane, sends
//! heartbeats and delivers all other messages as events.

mod assembler;
mod backoff;
mod endpoints;
mod random;
mod task;

pub use assembler::{AssembleError, FeedAssembler};

use crate::{LinkLimits, Sender};
use endpoints::Endpoints;
use pebblepost_messages::control::{FromControl, ToControl};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use task::Task;
use tokio::sync::mpsc;

/// Limits for links to the control plane. A frame has to hold a snapshot, which contains the whole configuration. The
/// control plane accepts configurations of up to 33 MiB.
pub const CONTROL_LINK_LIMITS: LinkLimits = LinkLimits {
    max_frame_bytes: 48 * 1024 * 1024,
    max_queued_bytes: 48 * 1024 * 1024,
    connect_timeout: Duration::from_millis(400),
    read_timeout: Duration::from_millis(1500),
};

/// Interval at which the client sends heartbeats.
pub const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// Capacity of the event channel. While it is full, the client does not read from the link.
const EVENT_CHANNEL_CAPACITY: usize = 16;

/// A change of the link's state, or a message received over it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlEvent {
    /// A link to the primary at this address is established. A node counts as primary once it has sent a message
    /// other than a redirect.
    Connected(SocketAddr),
    /// A message from the primary. Heartbeats, redirects and member lists are not delivered.
    Message(FromControl),
    /// The link to the primary is lost. The client is looking for the primary again.
    Disconnected,
}

/// State shared by the sender and the client task.
#[derive(Debug)]
struct State {
    endpoints: Endpoints,
    /// Link to the primary; set when its [`ControlEvent::Connected`] is emitted.
    link: Option<Sender>,
}

/// Sends messages to the control primary; cheap to clone.
#[derive(Clone, Debug)]
pub struct ControlSender {
    state: Rc<RefCell<State>>,
}

impl ControlSender {
    /// Sends a message to the primary. Returns false if there is no open link to it.
    pub fn send(&self, message: &ToControl) -> bool {
        self.state.borrow().link.as_ref().is_some_and(|link| link.send(message))
    }

    /// Returns whether there is an open link to the primary.
    pub fn is_connected(&self) -> bool {
        self.state.borrow().link.as_ref().is_some_and(|link| !link.is_closed())
    }

    /// Closes the link to the primary, if there is one, so that the client reconnects.
    pub fn reconnect(&self) {
        if let Some(link) = &self.state.borrow().link {
            link.close();
        }
    }

    /// Adds the seeds of newer settings to the endpoints that are tried.
    pub fn add_seeds(&self, seeds: &[SocketAddr]) {
        self.state.borrow_mut().endpoints.add_seeds(seeds);
    }
}

/// Client that finds the control primary and keeps a link to it.
#[derive(Debug)]
pub struct ControlClient;

impl ControlClient {
    /// Starts the client on the caller's `LocalSet`. It looks for the primary among the seeds.
    ///
    /// The messages that `on_connect` returns, normally beginning with `Subscribe`, are sent first on each new
    /// connection. The client ends when the receiver of events is dropped.
    pub fn start(
        seeds: Vec<SocketAddr>, limits: LinkLimits, on_connect: impl Fn() -> Vec<ToControl> + 'static,
    ) -> (ControlSender, mpsc::Receiver<ControlEvent>) {
        let endpoints = Endpoints::new(seeds, random::next_u64());
        let state = Rc::new(RefCell::new(State { endpoints, link: None }));
        let (events, receiver) = mpsc::channel(EVENT_CHANNEL_CAPACITY);
        let task = Task { state: Rc::clone(&state), events: events.clone(), limits, on_connect };
        tokio::task::spawn_local(async move {
            tokio::select! {
                () = events.closed() => {}
                () = task.run() => {}
            }
        });
        (ControlSender { state }, receiver)
    }
}
