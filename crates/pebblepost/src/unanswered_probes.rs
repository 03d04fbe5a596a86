//! Detection of workers whose load probes fail, for the reports to the fleet store.
//!
//! This module does no I/O and reads no clock. It does not influence where requests are sent, which is the task of the decision
//! module's outlier detection.

use pebblepost_dispatch::api::{Status, Time, WorkerId};
use std::collections::HashMap;
use std::time::Duration;

/// Time after the first failed probe at which a worker counts as unresponsive, unless a probe has succeeded since.
const UNRESPONSIVE_THRESHOLD: Duration = Duration::from_secs(2);

/// The time of the first failed probe since the last successful one, for each worker that has failed probes.
#[derive(Debug, Default)]
pub struct UnansweredProbes(HashMap<WorkerId, Time>);

impl UnansweredProbes {
    /// Records the result of a probe. Any status other than [`Status::Ok`] is a failure.
    pub fn record(&mut self, now: Time, worker: WorkerId, status: Status) {
        match status {
            Status::Ok => drop(self.0.remove(&worker)),
            _ => drop(self.0.entry(worker).or_insert(now)),
        }
    }

    /// Returns whether the worker's probes have failed for long enough that it is reported as unavailable.
    pub fn is_unresponsive(&self, now: Time, worker: WorkerId) -> bool {
        self.0.get(&worker).is_some_and(|first_failure| now >= *first_failure + UNRESPONSIVE_THRESHOLD)
    }
}
