//! What a dispatcher reports with its heartbeats. Like the heartbeats themselves this is soft state at the
//! Raft leader and is not replicated: that would be a command from each dispatcher for each worker that goes.

use crate::name::Name;
use crate::value::{MAX_WORKER_DIFF_ENTRIES, WorkerDiff};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Most workers that a dispatcher lists as busy. With more it confirms nothing.
pub const MAX_BUSY_WORKERS: usize = 64;

/// A dispatcher's report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatReport {
    /// All changes up to this revision are in force at the dispatcher and, where it stores a copy of the
    /// state, stored.
    #[serde(rename = "acts_by")]
    pub applied_revision: u64,
    /// Workers with a drain mark that still have attempts of this dispatcher in flight.
    #[serde(rename = "busy")]
    pub busy_workers: BTreeSet<Name>,
    /// Its requests.
    #[serde(rename = "counts")]
    pub requests: RequestCounts,
    /// Its observations of workers that differ from the replicated list.
    #[serde(rename = "differs", default)]
    pub worker_diff: WorkerDiff,
}

impl HeartbeatReport {
    /// The report with bounded lists. Without the full list of busy workers no drain is confirmed.
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

/// A dispatcher's requests since its process began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCounts {
    /// Requests with a final answer.
    pub answered: u64,
    /// Those of them that succeeded.
    #[serde(rename = "served")]
    pub succeeded: u64,
}
