//! `pebblepost keep`: one keeper of the agreed store.

use crate::config::{ConfigError, check};
use pebblepost_fleet_store::replica::{self, ReplicaConfig, ReplicaError};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;
use tokio::signal::unix::{SignalKind, signal};

/// A keeper's file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    /// Name of the group.
    group: String,
    /// Its number, never used before in this group by another disk.
    id: u64,
    /// Where it listens.
    listen: SocketAddr,
    /// Its folder.
    folder: PathBuf,
    /// Where other keepers are reached from here, by number, if not at the address that the group knows.
    #[serde(default)]
    dial: BTreeMap<u64, SocketAddr>,
    /// How long a member's session lasts without a beat.
    #[serde(default = "ten")]
    session_s: f64,
    /// How often the leader is heard; an election begins after five to ten times that.
    #[serde(default = "hundred")]
    heartbeat_ms: u64,
}

fn ten() -> f64 {
    10.0
}

fn hundred() -> u64 {
    100
}

/// Why a keeper could not start, or ended.
#[derive(Debug, Error)]
pub enum KeepError {
    /// Its file is wrong.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// It could not start, or ended.
    #[error(transparent)]
    Keeper(#[from] ReplicaError),
    /// No threads or signals are to be had.
    #[error("cannot start: {0}")]
    Io(#[from] std::io::Error),
}

/// Reads a keeper's file.
pub fn read(path: &Path) -> Result<ReplicaConfig, ConfigError> {
    let file: File = check::read(path)?;
    let wrong = |key: &str, what: &str| Err(check::wrong(path, key, what));
    if file.group.is_empty() || file.group.len() > 100 {
        return wrong("group", "a name of 1 to 100 bytes");
    }
    if file.listen.port() == 0 || file.dial.values().any(|a| a.port() == 0) {
        return wrong("listen", "a port is missing");
    }
    // Whoever reaches it may change the agreed state, so it stays on this machine.
    if !file.listen.ip().is_loopback() || file.dial.values().any(|a| !a.ip().is_loopback()) {
        return wrong("listen", "listen and dial must be loopback addresses");
    }
    if !(0.5..=600.0).contains(&file.session_s) {
        return wrong("session_s", "0.5 to 600 seconds");
    }
    if !(20..=5_000).contains(&file.heartbeat_ms) {
        return wrong("heartbeat_ms", "20 to 5000 milliseconds");
    }
    Ok(ReplicaConfig {
        group: file.group,
        id: file.id,
        listen: file.listen,
        folder: file.folder,
        dial: file.dial.into_iter().map(|(id, address)| (id, address.to_string())).collect(),
        session_ttl: Duration::from_secs_f64(file.session_s),
        heartbeat_interval: Duration::from_millis(file.heartbeat_ms),
    })
}

/// Runs a keeper until SIGTERM or SIGINT.
pub fn run(path: &Path) -> Result<(), KeepError> {
    let settings = read(path)?;
    // Which fault happens when is in the environment (`FAILPOINTS`).
    #[cfg(feature = "faults")]
    let _faults = fail::FailScenario::setup();
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    runtime.block_on(async {
        let (mut term, mut int) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
        let stop = async {
            tokio::select! {
                _ = term.recv() => {}
                _ = int.recv() => {}
            }
        };
        let ready = |address| tracing::info!(%address, "ready");
        Ok(replica::run(settings, ready, stop).await?)
    })
}
