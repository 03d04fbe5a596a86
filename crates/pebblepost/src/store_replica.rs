//! `pebblepost keep`: one replica of the fleet store, configured by a file of its own.

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

/// A replica's file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct File")]
struct ReplicaFile {
    /// Name of the group.
    group: String,
    /// The replica's number, never used before in this group by another disk.
    id: u64,
    /// Where it listens.
    listen: SocketAddr,
    /// Its folder.
    folder: PathBuf,
    /// Where other replicas are reached from here, by number, if not at the address that the group knows.
    #[serde(default)]
    dial: BTreeMap<u64, SocketAddr>,
    /// How long a member's session lasts without a heartbeat, in seconds.
    #[serde(default = "default_session_ttl_s")]
    session_s: f64,
    /// Interval of the leader's heartbeats in milliseconds; an election begins after five to ten times that.
    #[serde(default = "default_heartbeat_interval_ms")]
    heartbeat_ms: u64,
}

fn default_session_ttl_s() -> f64 {
    10.0
}

fn default_heartbeat_interval_ms() -> u64 {
    100
}

/// Why a replica could not start, or stopped.
#[derive(Debug, Error)]
pub enum StoreReplicaError {
    /// Its file is wrong.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// It could not start, or stopped.
    #[error(transparent)]
    Replica(#[from] ReplicaError),
    /// The system gives no threads or signals.
    #[error("cannot start: {0}")]
    Io(#[from] std::io::Error),
}

/// Reads a replica's file.
///
/// # Errors
///
/// If the file cannot be read, or a value is missing, unknown or out of its range.
pub fn read(path: &Path) -> Result<ReplicaConfig, ConfigError> {
    let file: ReplicaFile = read_file(path)?;
    let fail = |key: &str, problem: ConfigProblem| Err(ConfigError::at_path(path, key, problem));
    if file.group.is_empty() || file.group.len() > MAX_GROUP_NAME_BYTES {
        return fail("group", ConfigProblem::GroupName);
    }
    if file.listen.port() == 0 || file.dial.values().any(|address| address.port() == 0) {
        return fail("listen", ConfigProblem::PortMissing);
    }
    // Whoever reaches it may change the agreed state, so it stays on this machine.
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

/// Runs a replica until SIGTERM or SIGINT.
///
/// # Errors
///
/// If its file is wrong, or it cannot start or go on.
pub fn run(path: &Path) -> Result<(), StoreReplicaError> {
    let config = read(path)?;
    // Which fault happens when is in the environment (`FAILPOINTS`).
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
