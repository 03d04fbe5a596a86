//! State shared by the fronts, the worker connections and discovery within an iteration of the event loop.

use crate::clock::Clock;
use crate::discovery::registry::Registry;
use crate::engine::Input;
use crate::net::Sockets;
use pebblepost_dispatch::api::{RequestId, WorkerId};
use std::net::SocketAddr;

/// The phase of the daemon's graceful shutdown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Lifecycle {
    /// The shutdown has not begun.
    #[default]
    Serving,
    /// The shutdown has begun. The daemon reports that it is not ready, but accepts connections until the grace period ends.
    GracePeriod,
    /// The grace period has ended. Client connections are closed after their response.
    Draining,
}

/// The sockets and the state shared by their protocols.
pub struct Context {
    /// The sockets and timers.
    pub net: Sockets,
    /// Inputs that the engine has not processed yet.
    pub inputs: Vec<Input>,
    /// The workers known to this dispatcher.
    pub registry: Registry,
    /// The clock of the event loop.
    pub clock: Clock,
    /// The phase of the graceful shutdown.
    pub lifecycle: Lifecycle,
    /// Whether the daemon is ready for new clients, as reported by `/ready`.
    pub ready: bool,
    /// Receives log lines.
    pub log: fn(&str),
    last_request_id: u32,
}

impl Context {
    /// Creates a context without pending inputs.
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

    /// Returns whether the shutdown has begun.
    pub fn is_stopping(&self) -> bool {
        self.lifecycle != Lifecycle::Serving
    }

    /// Returns whether the daemon is draining.
    pub fn is_draining(&self) -> bool {
        self.lifecycle == Lifecycle::Draining
    }

    /// Returns a new request id. Ids are 32-bit and wrap around.
    pub fn next_request_id(&mut self) -> RequestId {
        self.last_request_id = self.last_request_id.wrapping_add(1);
        RequestId(self.last_request_id)
    }

    /// Returns the address of a worker that is reached by HTTP; `None` if it is unknown or connected to another front.
    pub fn worker_address(&self, worker: WorkerId) -> Option<SocketAddr> {
        self.registry.get(worker)?.address
    }
}
