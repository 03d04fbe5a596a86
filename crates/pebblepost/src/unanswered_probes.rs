//! Workers whose load probes fail, as reported to the fleet store.
//!
//! No I/O and no clock. Nothing here decides where a request goes: that is the decision module's outlier detection.

use pebblepost_dispatch::api::{Status, Time, WorkerId};
use std::collections::HashMap;
use std::time::Duration;

/// A worker counts as unresponsive if its probes have failed for this long and none was answered.
const UNRESPONSIVE_AFTER: Duration = Duration::from_secs(2);

/// For each worker the time of the first failed probe since the last answered one.
#[derive(Debug, Default)]
pub struct UnansweredProbes(HashMap<WorkerId, Time>);

impl UnansweredProbes {
    /// Records the result of a probe.
    pub fn record(&mut self, now: Time, worker: WorkerId, status: Status) {
        match status {
            Status::Ok => drop(self.0.remove(&worker)),
            _ => drop(self.0.entry(worker).or_insert(now)),
        }
    }

    /// Whether the worker has left its probes unanswered long enough to be reported as unavailable.
    pub fn is_unresponsive(&self, now: Time, worker: WorkerId) -> bool {
        self.0.get(&worker).is_some_and(|since| now >= *since + UNRESPONSIVE_AFTER)
    }
}
