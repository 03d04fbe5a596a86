//! Timing and limits of a group.

use crate::record::Tolerance;
use std::time::Duration;

/// Timing and limits of a group; the same at all its replicas.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaSettings {
    /// Losses that the group must survive.
    pub tolerance: Tolerance,
    /// Interval between two heartbeats of the primary.
    pub heartbeat_interval: Duration,
    /// How long an acknowledged heartbeat lets the primary act, counted from its sending.
    pub lease: Duration,
    /// Election timeout: how long a replica waits after a heartbeat before it stands for election;
    /// more than `lease`.
    pub election_timeout: Duration,
    /// A replica that has not acknowledged an entry or a heartbeat for this long is dropped.
    pub max_replica_lag: Duration,
    /// A primary whose own disk has not completed a write for this long stops acting.
    pub write_timeout: Duration,
    /// Bytes of entries kept in memory, to bring replicas up to date without a snapshot.
    pub max_log_bytes: usize,
}
