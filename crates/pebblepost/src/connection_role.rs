//! What a connection is for, with the state of its protocol.

use crate::discovery::call::WatchCall;
use crate::front::faktory::session::Session;
use crate::front::platform::client::ClientState;
use crate::workers::connection::WorkerConnection;

/// What a connection is for.
#[derive(Debug)]
pub enum ConnectionRole {
    /// A client of the platform's front.
    Client(ClientState),
    /// A connection to a worker.
    Worker(WorkerConnection),
    /// A call to discovery.
    Discovery(WatchCall),
    /// A producer or worker of the Faktory front.
    Faktory(Session),
    /// A load balancer's health checks by HTTP.
    Health,
    /// Only the last output remains to be sent.
    Closing,
}

impl ConnectionRole {
    /// Whether its peer is trusted with large messages: a worker or discovery.
    pub fn is_trusted(&self) -> bool {
        matches!(self, Self::Worker(_) | Self::Discovery(_))
    }

    /// Whether it is a client whose response is pending.
    pub fn awaits_response(&self) -> bool {
        matches!(self, Self::Client(ClientState::AwaitingResponse(_)))
    }

    /// Whether only the last output remains to be sent.
    pub fn is_closing(&self) -> bool {
        matches!(self, Self::Closing)
    }

    /// Whether it may use a descriptor of the reserve: clients that fill the others must not keep the daemon from its list
    /// of workers.
    pub fn may_use_reserved_descriptors(&self) -> bool {
        matches!(self, Self::Discovery(_))
    }
}
