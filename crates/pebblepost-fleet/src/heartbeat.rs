//! The reports that dispatchers send with their heartbeats. Like the heartbeats themselves they are soft
//! state of the Raft leader and are not replicated: that would take one command from each dispatcher for each
//! worker that is taken out of service.

use crate::name::Name;
use crate::value::{MAX_WORKER_DIFF_ENTRIES, WorkerDiff};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Maximum number of busy workers in a report. A report with more confirms no drain.
pub const MAX_BUSY_WORKERS: usize = 64;

/// The report of a dispatcher.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatReport {
    /// Revision up to which the dispatcher has applied all changes. If it stores a copy of the state, they
    /// are stored as well.
    #[serde(rename = "acts_by")]
    pub applied_revision: u64,
    /// Drained workers at which this dispatcher still has attempts in flight.
    #[serde(rename = "busy")]
    pub busy_workers: BTreeSet<Name>,
    /// Requests of the dispatcher.
    #[serde(rename = "counts")]
    pub requests: RequestCounts,
    /// Observations of workers that differ from the replicated list.
    #[serde(rename = "differs", default)]
    pub worker_diff: WorkerDiff,
}

impl HeartbeatReport {
    /// Returns the report with lists that exceed their limits cleared. Without the list of busy workers the
    /// report must not confirm a drain, so the applied revision becomes 0.
    pub(crate) fn bounded(mut self) -> Self {
        if self.worker_diff.len() > MAX_WORKER_DIFF_ENTRIES {
            self.worker_diff.clear();
        }
        if self.busy_workers.len() > MAX_BUSY_WORKERS {
            self.applied_revision = 0;
            self.busy_workers.clear();
        }
        self
    }
}

/// Counts of a dispatcher's requests since its process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCounts {
    /// Number of requests with a final answer.
    pub answered: u64,
    /// Number of answered requests that succeeded.
    #[serde(rename = "served")]
    pub succeeded: u64,
}
