//! The configuration of a replica, and that of its Raft node.

use openraft::{Config, ConfigError, SnapshotPolicy};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

/// An election begins after this many heartbeat intervals without a leader, at the earliest.
const MIN_ELECTION_HEARTBEATS: u64 = 5;
/// An election begins after this many heartbeat intervals without a leader, at the latest.
const MAX_ELECTION_HEARTBEATS: u64 = 10;
/// How long the transfer of a chunk of a snapshot may take, in milliseconds.
const INSTALL_SNAPSHOT_TIMEOUT_MS: u64 = 5_000;
/// Most entries in one Raft message.
const MAX_ENTRIES_PER_MESSAGE: u64 = 32;
/// A replica this many entries behind is sent a snapshot, and is no voter until it has caught up.
const REPLICATION_LAG_THRESHOLD: u64 = 2_000;
/// A snapshot is taken after this many entries.
const ENTRIES_PER_SNAPSHOT: u64 = 2_000;
/// Longest chunk of a snapshot, in bytes.
const SNAPSHOT_CHUNK_BYTES: u64 = 512 * 1024;
/// Entries that stay in the log after a snapshot, for replicas that are a little behind.
const ENTRIES_KEPT_AFTER_SNAPSHOT: u64 = 500;
/// The heartbeat interval that stands for one too long to be counted, in milliseconds.
const FALLBACK_HEARTBEAT_MS: u64 = 100;

/// The configuration of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    /// Name of the group.
    pub group: String,
    /// The replica's number, which no other disk of this group has ever had.
    pub id: u64,
    /// The loopback address to listen on.
    pub listen: SocketAddr,
    /// The folder of its disk.
    pub data_dir: PathBuf,
    /// Addresses of other replicas from here, by number, where they differ from those of the group's
    /// membership.
    pub dial_addresses: BTreeMap<u64, String>,
    /// How long a member's session lasts without a heartbeat.
    pub session_ttl: Duration,
    /// The interval of the leader's Raft heartbeats.
    pub heartbeat_interval: Duration,
}

impl ReplicaConfig {
    /// The configuration of the Raft node.
    pub(super) fn raft_config(&self) -> Result<Arc<Config>, Box<ConfigError>> {
        let heartbeat_ms =
            u64::try_from(self.heartbeat_interval.as_millis()).unwrap_or(FALLBACK_HEARTBEAT_MS).max(1);
        let config = Config {
            cluster_name: self.group.clone(),
            heartbeat_interval: heartbeat_ms,
            election_timeout_min: heartbeat_ms * MIN_ELECTION_HEARTBEATS,
            election_timeout_max: heartbeat_ms * MAX_ELECTION_HEARTBEATS,
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
