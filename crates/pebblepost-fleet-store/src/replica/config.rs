//! The configuration of a replica and of its Raft node.

use openraft::{Config, ConfigError, SnapshotPolicy};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

/// Minimum election timeout, in heartbeat intervals.
const MIN_ELECTION_TIMEOUT_HEARTBEATS: u64 = 5;
/// Maximum election timeout, in heartbeat intervals.
const MAX_ELECTION_TIMEOUT_HEARTBEATS: u64 = 10;
/// Time limit for the transfer of one chunk of a snapshot, in milliseconds.
const INSTALL_SNAPSHOT_TIMEOUT_MS: u64 = 5_000;
/// Maximum number of log entries in one Raft message.
const MAX_ENTRIES_PER_MESSAGE: u64 = 32;
/// Number of entries behind the leader from which a replica is sent a snapshot, and up to which a learner
/// counts as caught up and can become a voter.
const REPLICATION_LAG_THRESHOLD: u64 = 2_000;
/// Number of log entries between two snapshots.
const ENTRIES_PER_SNAPSHOT: u64 = 2_000;
/// Maximum length of one chunk of a snapshot, in bytes.
const SNAPSHOT_CHUNK_BYTES: u64 = 512 * 1024;
/// Number of entries that stay in the log after a snapshot, so that replicas that are slightly behind need no
/// snapshot.
const ENTRIES_KEPT_AFTER_SNAPSHOT: u64 = 500;
/// Heartbeat interval that replaces a configured one whose milliseconds exceed `u64`, in milliseconds.
const FALLBACK_HEARTBEAT_MS: u64 = 100;

/// The configuration of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    /// The name of the group.
    pub group: String,
    /// The replica's number. It must never have been used with another disk in this group.
    pub id: u64,
    /// The loopback address to listen on.
    pub listen: SocketAddr,
    /// The directory of the replica's disk.
    pub data_dir: PathBuf,
    /// Addresses of other replicas by number, which replace those in the group's membership.
    pub dial_addresses: BTreeMap<u64, String>,
    /// Time after which a member's session expires without a heartbeat.
    pub session_ttl: Duration,
    /// The interval between the leader's Raft heartbeats.
    pub heartbeat_interval: Duration,
}

impl ReplicaConfig {
    /// Returns the configuration of the Raft node.
    pub(super) fn raft_config(&self) -> Result<Arc<Config>, Box<ConfigError>> {
        let heartbeat_ms =
            u64::try_from(self.heartbeat_interval.as_millis()).unwrap_or(FALLBACK_HEARTBEAT_MS).max(1);
        let config = Config {
            cluster_name: self.group.clone(),
            heartbeat_interval: heartbeat_ms,
            election_timeout_min: heartbeat_ms * MIN_ELECTION_TIMEOUT_HEARTBEATS,
            election_timeout_max: heartbeat_ms * MAX_ELECTION_TIMEOUT_HEARTBEATS,
            install_snapshot_timeout: INSTALL_SNAPSHOT_TIMEOUT_MS,
            max_payload_entries: MAX_ENTRIES_PER_MESSAGE,
            replication_lag_threshold: REPLICATION_LAG_THRESHOLD,
            snapshot_policy: SnapshotPolicy::LogsSinceLast(ENTRIES_PER_SNAPSHOT),
            snapshot_max_chunk_size: SNAPSHOT_CHUNK_BYTES,
            max_in_snapshot_log_to_keep: ENTRIES_KEPT_AFTER_SNAPSHOT,
            ..Config::default()
        };
        config.validate().map(Arc::new).map_err(Box::new)
    }
}
