//! Workers: their records in the state, and the observations of dispatchers.
//!
//! With its heartbeats a dispatcher sends only the differences from the replicated list
//! ([`Follower::diff_observations`](crate::follower::Follower::diff_observations)). The Raft leader commits
//! what a majority reports alike ([`majority_worker_update`](crate::leader::majority_worker_update)). So a
//! dispatcher that is partitioned from a worker or from discovery changes nothing, and a correct list causes
//! no traffic.

use crate::name::{Name, Text};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Maximum number of workers in the diff of one heartbeat. The first ones by name are kept, so that all
/// dispatchers report on the same workers.
pub const MAX_WORKER_DIFF_ENTRIES: usize = 64;

/// The last known record of a worker.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Worker {
    /// Address of the worker, if it is the same for all dispatchers.
    #[serde(rename = "dial", default)]
    pub address: Option<SocketAddr>,
    /// Zone of the worker; empty if it has none.
    #[serde(default)]
    pub zone: Text,
    /// Machine type of the worker; empty if it is unknown.
    #[serde(rename = "kind", default)]
    pub machine_type: Text,
    /// Time of its last start, in Unix time in milliseconds; 0 if that was long ago.
    #[serde(rename = "born_ms", default)]
    pub started_at_ms: u64,
    /// Highest number of free slots seen.
    #[serde(default)]
    pub slots: u32,
    /// Status observed by a majority of the dispatchers, or `None` if none was reported.
    #[serde(rename = "sight", default, skip_serializing_if = "Option::is_none")]
    pub status: Option<WorkerStatus>,
}

impl Worker {
    /// Returns the observation of a majority of the dispatchers, or `None` if no status was reported.
    pub fn observation(&self) -> Option<WorkerObservation> {
        Some(WorkerObservation {
            zone: self.zone.clone(),
            machine_type: self.machine_type.clone(),
            status: self.status?,
        })
    }
}

/// The status of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerStatus {
    /// The worker accepts work.
    Ready,
    /// The worker started recently and accepts little work (slow start).
    #[serde(rename = "cold")]
    WarmingUp,
    /// The worker is draining or does not answer.
    #[serde(rename = "out")]
    Unavailable,
}

/// One dispatcher's observation of a worker.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct WorkerObservation {
    /// Zone of the worker; empty if it has none.
    pub zone: Text,
    /// Machine type of the worker; empty if it is unknown.
    #[serde(rename = "kind")]
    pub machine_type: Text,
    /// Status of the worker.
    #[serde(rename = "sight")]
    pub status: WorkerStatus,
}

/// Differences from the replicated list, by worker; `None` if the worker is gone.
pub type WorkerDiff = BTreeMap<Name, Option<WorkerObservation>>;
