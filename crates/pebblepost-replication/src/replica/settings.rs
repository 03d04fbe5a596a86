//! Timing and limits of a group.

use crate::record::Tolerance;
use std::time::Duration;

/// Timing and limits of a group. All its replicas must use the same values.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaSettings {
    /// Failures that the group must survive.
    pub tolerance: Tolerance,
    /// Interval between two heartbeats of the primary.
    pub heartbeat_interval: Duration,
    /// Time that the primary may act after it sent a heartbeat that was acknowledged.
    pub lease: Duration,
    /// Time that a replica waits after it acknowledged a heartbeat before it campaigns. It must be longer
    /// than `lease`, so that the former primary has stopped acting by then.
    pub election_timeout: Duration,
    /// Time without the acknowledgement of a heartbeat or a pending entry after which a replica is
    /// dropped from the in-sync set.
    pub max_replica_lag: Duration,
    /// Time after which a write to the own disk counts as stalled; the primary then stops acting.
    pub write_timeout: Duration,
    /// Size in bytes of the entries kept in memory, from which lagging replicas are brought up to date
    /// without a snapshot. Entries that an in-sync replica still needs are kept beyond that.
    pub max_log_bytes: usize,
}
