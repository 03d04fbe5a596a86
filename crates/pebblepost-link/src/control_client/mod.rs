//! A link to the control primary that is found, kept and re-established.
//!
//! Used by agents and storage machines. The client follows redirects, learns the members of the control plane, sends
//! heartbeats, and delivers everything else as events.

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

/// Limits for links to the control plane. A snapshot contains the whole configuration, of which the control plane
/// accepts up to 33 MiB.
pub const CONTROL_LINK_LIMITS: LinkLimits = LinkLimits {
    max_frame_bytes: 48 * 1024 * 1024,
    max_queued_bytes: 48 * 1024 * 1024,
    connect_timeout: Duration::from_millis(400),
    read_timeout: Duration::from_millis(1500),
};

/// Interval of the heartbeats.
pub const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// Capacity of the channel of events; a full one holds back the reading of the link.
const EVENT_CAPACITY: usize = 16;

/// A change of the link, or a message received over it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlEvent {
    /// A link to the primary at this address is established: it sent something other than a redirect.
    Connected(SocketAddr),
    /// A message of the primary; heartbeats, redirects and lists of members are not delivered.
    Message(FromControl),
    /// The link is lost; the client is looking for the primary again.
    Disconnected,
}

/// State that the sender and the task share.
#[derive(Debug)]
struct State {
    endpoints: Endpoints,
    /// The link to the primary, from its `Connected` event on.
    link: Option<Sender>,
}

/// The sending side; cheap to clone.
#[derive(Clone, Debug)]
pub struct ControlSender {
    state: Rc<RefCell<State>>,
}

impl ControlSender {
    /// Sends a message to the primary. Returns false if there is no link to it.
    pub fn send(&self, message: &ToControl) -> bool {
        self.state.borrow().link.as_ref().is_some_and(|link| link.send(message))
    }

    /// Whether there is a link to the primary.
    pub fn is_connected(&self) -> bool {
        self.state.borrow().link.as_ref().is_some_and(|link| !link.is_closed())
    }

    /// Closes the link, if there is one, so that the client connects again.
    pub fn reconnect(&self) {
        if let Some(link) = &self.state.borrow().link {
            link.close();
        }
    }

    /// Adds seeds of newer settings to the endpoints that are tried.
    pub fn add_seeds(&self, seeds: &[SocketAddr]) {
        self.state.borrow_mut().endpoints.add_seeds(seeds);
    }
}

/// Finds the control primary and keeps a link to it.
#[derive(Debug)]
pub struct ControlClient;

impl ControlClient {
    /// Starts looking for the primary among the seeds, on the caller's `LocalSet`. The messages that `on_connect`
    /// returns are sent first on each new connection (`Subscribe` foremost). The client ends when the receiver of
    /// events is dropped.
    pub fn start(
        seeds: Vec<SocketAddr>, limits: LinkLimits, on_connect: impl Fn() -> Vec<ToControl> + 'static,
    ) -> (ControlSender, mpsc::Receiver<ControlEvent>) {
        let endpoints = Endpoints::new(seeds, random::next_u64());
        let state = Rc::new(RefCell::new(State { endpoints, link: None }));
        let (events, receiver) = mpsc::channel(EVENT_CAPACITY);
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
