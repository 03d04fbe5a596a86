//! What the fronts, the worker connections and discovery share in an iteration of the event loop.

use crate::clock::Clock;
use crate::discovery::registry::Registry;
use crate::engine::Input;
use crate::net::Sockets;
use pebblepost_dispatch::api::{RequestId, WorkerId};
use std::net::SocketAddr;

/// How far the daemon's graceful shutdown has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Lifecycle {
    /// No stop signal was received.
    #[default]
    Serving,
    /// A stop signal was received: not ready any more, but connections are accepted until the grace period ends.
    GracePeriod,
    /// Connections are closed after their response.
    Draining,
}

/// The sockets and the state that their protocols share.
pub struct Context {
    /// The sockets.
    pub net: Sockets,
    /// Events that the engine has not processed yet.
    pub inputs: Vec<Input>,
    /// The workers known to this dispatcher.
    pub registry: Registry,
    /// The clock.
    pub clock: Clock,
    /// Whether the daemon is shutting down.
    pub lifecycle: Lifecycle,
    /// Whether new clients should come, as reported by `/ready`.
    pub ready: bool,
    /// Receives log lines.
    pub log: fn(&str),
    last_request_id: u32,
}

impl Context {
    /// A context in which nothing has happened yet.
    pub fn new(net: Sockets, registry: Registry, clock: Clock, log: fn(&str)) -> Self {
        Self {
            net,
            inputs: Vec::new(),
            registry,
            clock,
            lifecycle: Lifecycle::default(),
            ready: false,
            log,
            last_request_id: 0,
        }
    }

    /// Whether a stop signal was received.
    pub fn is_stopping(&self) -> bool {
        self.lifecycle != Lifecycle::Serving
    }

    /// Whether connections are closed after their response.
    pub fn is_draining(&self) -> bool {
        self.lifecycle == Lifecycle::Draining
    }

    /// A request id that was not used before.
    pub fn next_request_id(&mut self) -> RequestId {
        self.last_request_id = self.last_request_id.wrapping_add(1);
        RequestId(self.last_request_id)
    }

    /// The address of a worker that is reached by HTTP.
    pub fn worker_address(&self, worker: WorkerId) -> Option<SocketAddr> {
        self.registry.get(worker)?.address
    }
}
