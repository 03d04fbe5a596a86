//! Workers: the record in the state, and how dispatchers observe them.
//!
//! Each dispatcher sends with its heartbeats only what differs from the replicated list
//! ([`Follower::diff_observations`](crate::follower::Follower::diff_observations)). What a majority reports
//! alike, the Raft leader commits ([`majority_worker_update`](crate::leader::majority_worker_update)), so a dispatcher that
//! is partitioned from a worker or from discovery changes nothing, and a correct list causes no traffic.

use crate::name::{Name, Text};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Most workers in one heartbeat's diff; the first by name, so that all dispatchers report on the same ones.
pub const MAX_WORKER_DIFF_ENTRIES: usize = 64;

/// A worker as it was last known.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Worker {
    /// Its address, if it is the same for all dispatchers.
    #[serde(rename = "dial", default)]
    pub address: Option<SocketAddr>,
    /// Its zone.
    #[serde(default)]
    pub zone: Text,
    /// Its type of machine.
    #[serde(rename = "kind", default)]
    pub machine_type: Text,
    /// Its last start, in Unix time in milliseconds; 0: long ago.
    #[serde(rename = "born_ms", default)]
    pub started_at_ms: u64,
    /// Most slots seen free.
    #[serde(default)]
    pub slots: u32,
    /// Its status as a majority of the dispatchers observes it; `None`: nothing was reported.
    #[serde(rename = "sight", default, skip_serializing_if = "Option::is_none")]
    pub status: Option<WorkerStatus>,
}

impl Worker {
    /// The worker as a majority of the dispatchers observes it.
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
    /// It accepts work.
    Ready,
    /// It started lately and accepts little work (slow start).
    #[serde(rename = "cold")]
    WarmingUp,
    /// It is draining or does not answer.
    #[serde(rename = "out")]
    Unavailable,
}

/// A worker as a dispatcher observes it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct WorkerObservation {
    /// Its zone.
    pub zone: Text,
    /// Its type of machine.
    #[serde(rename = "kind")]
    pub machine_type: Text,
    /// Its status.
    #[serde(rename = "sight")]
    pub status: WorkerStatus,
}

/// Differences from the replicated list, by worker; `None`: the worker is gone.
pub type WorkerDiff = BTreeMap<Name, Option<WorkerObservation>>;
