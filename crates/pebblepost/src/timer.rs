//! Keys of the daemon's timers.

use crate::connection_key::ConnectionKey;
use crate::engine::EngineTimer;

/// What a timer of the daemon is for.
#[derive(Clone, Copy, Debug)]
pub enum Timer {
    /// A timer of the engine.
    Engine(EngineTimer),
    /// The deadline of a connection, whose meaning depends on its role.
    Connection(ConnectionKey),
    /// A connection's peer has to have read some output by now.
    WriteTimeout(ConnectionKey),
    /// The grace period after the stop signal ends: listeners and idle connections are closed.
    GracePeriodEnd,
    /// Listeners that ran out of descriptors accept again.
    ResumeAccepting,
    /// Discovery is called again.
    DiscoveryCall,
    /// The fleet store is told what is in force here.
    FleetReport,
    /// The Faktory front looks for expired workers, reservations and responses.
    FaktoryExpiry,
}
