//! The command `pebblepost keep`, which runs one replica of the fleet store with a configuration file of its own.

use crate::config::json::read_file;
use crate::config::{ConfigError, ConfigProblem};
use pebblepost_fleet_store::replica::{self, ReplicaConfig, ReplicaError};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;
use tokio::signal::unix::{SignalKind, signal};

const MAX_GROUP_NAME_BYTES: usize = 100;
const SESSION_TTL_RANGE_S: RangeInclusive<f64> = 0.5..=600.0;
const HEARTBEAT_INTERVAL_RANGE_MS: RangeInclusive<u64> = 20..=5_000;
const WORKER_THREADS: usize = 2;

/// The configuration file of a replica.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct File")]
struct ReplicaFile {
    /// Name of the store group.
    group: String,
    /// The replica's number. It must never have been used in this group by a replica with another disk.
    id: u64,
    /// Address on which the replica listens.
    listen: SocketAddr,
    /// Folder for the replica's data.
    folder: PathBuf,
    /// Addresses of other replicas by number, for those that are not reached from here at the address known to the group.
    #[serde(default)]
    dial: BTreeMap<u64, SocketAddr>,
    /// Time for which a member's session lasts without a heartbeat, in seconds.
    #[serde(default = "default_session_ttl_s")]
    session_s: f64,
    /// Interval of the leader's heartbeats, in milliseconds. An election begins after five to ten intervals without one.
    #[serde(default = "default_heartbeat_interval_ms")]
    heartbeat_ms: u64,
}

fn default_session_ttl_s() -> f64 {
    10.0
}

fn default_heartbeat_interval_ms() -> u64 {
    100
}

/// The reason why a replica could not start, or stopped.
#[derive(Debug, Error)]
pub enum StoreReplicaError {
    /// The configuration file is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The replica could not start, or stopped.
    #[error(transparent)]
    Replica(#[from] ReplicaError),
    /// The operating system did not provide threads or signal handlers.
    #[error("cannot start the replica's threads or signal handlers: {0}")]
    Io(#[from] std::io::Error),
}

/// Reads the configuration file of a replica.
///
/// # Errors
///
/// If the file cannot be read, or a value is missing, unknown or out of range.
pub fn read_config(path: &Path) -> Result<ReplicaConfig, ConfigError> {
    let file: ReplicaFile = read_file(path)?;
    let fail = |key: &str, problem: ConfigProblem| Err(ConfigError::at_path(path, key, problem));
    if file.group.is_empty() || file.group.len() > MAX_GROUP_NAME_BYTES {
        return fail("group", ConfigProblem::GroupName);
    }
    if file.listen.port() == 0 || file.dial.values().any(|address| address.port() == 0) {
        return fail("listen", ConfigProblem::PortMissing);
    }
    // Every peer that can connect may change the agreed state, so only loopback addresses are allowed.
    if !file.listen.ip().is_loopback() || file.dial.values().any(|address| !address.ip().is_loopback()) {
        return fail("listen", ConfigProblem::ReplicaNotLoopback);
    }
    if !SESSION_TTL_RANGE_S.contains(&file.session_s) {
        return fail("session_s", ConfigProblem::SessionTtl);
    }
    if !HEARTBEAT_INTERVAL_RANGE_MS.contains(&file.heartbeat_ms) {
        return fail("heartbeat_ms", ConfigProblem::HeartbeatInterval);
    }
    Ok(ReplicaConfig {
        group: file.group,
        id: file.id,
        listen: file.listen,
        data_dir: file.folder,
        dial_addresses: file.dial.into_iter().map(|(id, address)| (id, address.to_string())).collect(),
        session_ttl: Duration::from_secs_f64(file.session_s),
        heartbeat_interval: Duration::from_millis(file.heartbeat_ms),
    })
}

/// Runs a replica until it receives SIGTERM or SIGINT.
///
/// # Errors
///
/// If the configuration file is invalid, or the replica cannot start or fails.
pub fn run(path: &Path) -> Result<(), StoreReplicaError> {
    let config = read_config(path)?;
    // The environment variable `FAILPOINTS` selects the injected faults.
    #[cfg(feature = "faults")]
    let _faults = fail::FailScenario::setup();
    let mut runtime = tokio::runtime::Builder::new_multi_thread();
    let runtime = runtime.worker_threads(WORKER_THREADS).enable_all().build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let stop = async {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
        };
        let ready = |address| tracing::info!(%address, "ready");
        Ok(replica::run(config, ready, stop).await?)
    })
}
