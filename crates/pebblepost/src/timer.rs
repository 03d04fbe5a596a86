//! The daemon's timers.

use crate::connection_key::ConnectionKey;
use crate::engine::EngineTimer;

/// The purpose of a timer.
#[derive(Clone, Copy, Debug)]
pub enum Timer {
    /// A timer of the engine.
    Engine(EngineTimer),
    /// The deadline of a connection, whose meaning depends on the connection's role.
    Connection(ConnectionKey),
    /// The time limit for a connection's peer to read some of the pending output.
    WriteTimeout(ConnectionKey),
    /// The end of the grace period of a shutdown, at which the listeners and idle connections of clients are closed.
    GracePeriodEnd,
    /// The time at which listeners that paused for lack of descriptors accept again.
    ResumeAccepting,
    /// The next call to discovery.
    DiscoveryCall,
    /// The next periodic report to the fleet agent.
    FleetReport,
    /// The Faktory front's check for expired workers, reservations and responses.
    FaktoryExpiry,
}
