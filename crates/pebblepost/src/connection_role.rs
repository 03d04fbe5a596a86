//! The role of a connection, with the state of its protocol.

use crate::discovery::call::WatchCall;
use crate::front::faktory::session::Session;
use crate::front::platform::client::ClientState;
use crate::workers::connection::WorkerConnection;

/// The role of a connection.
#[derive(Debug)]
pub enum ConnectionRole {
    /// A client of the platform front.
    Client(ClientState),
    /// A connection to a worker.
    Worker(WorkerConnection),
    /// A call to discovery.
    Discovery(WatchCall),
    /// A producer or worker of the Faktory front.
    Faktory(Session),
    /// A load balancer that sends health checks by HTTP.
    Health,
    /// A connection that is closed once its pending output is sent.
    Closing,
}

impl ConnectionRole {
    /// Returns whether the peer is trusted to send large messages, which holds for workers and discovery.
    pub fn is_trusted(&self) -> bool {
        matches!(self, Self::Worker(_) | Self::Discovery(_))
    }

    /// Returns whether this is a client that waits for a response.
    pub fn awaits_response(&self) -> bool {
        matches!(self, Self::Client(ClientState::AwaitingResponse(_)))
    }

    /// Returns whether the connection is closed once its pending output is sent.
    pub fn is_closing(&self) -> bool {
        matches!(self, Self::Closing)
    }

    /// Returns whether the connection may use a reserved descriptor. The reserve lets the daemon reach discovery when clients use all
    /// other descriptors.
    pub fn may_use_reserved_descriptors(&self) -> bool {
        matches!(self, Self::Discovery(_))
    }
}
