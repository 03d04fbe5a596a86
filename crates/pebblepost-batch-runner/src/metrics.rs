//! Event counters of a runner, by cause. They take constant memory and one addition per event.
//!
//! This module stores the counters since the start of the runner, and the names under which they are printed for
//! operators.

use std::cell::Cell;
use std::fmt;

/// Event counter. The printed names are listed in [`NAMES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Metric {
    /// Groups of samples, or parts of them, that were placed together.
    GroupsPlacedTogether,
    /// Groups of samples that were split over several transcribers.
    GroupsSplit,
    /// Backoffs of a placement because every probed transcriber was full.
    FullBackoffs,
    /// Backoffs of a placement because no transcriber could be probed: none was ready, or none had an allowed
    /// version.
    NoCandidateBackoffs,
    /// Attempts at texts of items.
    Attempts,
    /// Attempts that the transcriber rejected, because it was full or executing a load order.
    AttemptsRejected,
    /// Attempts that the transcriber rejected because it holds another version.
    AttemptsVersionMismatch,
    /// Attempts that could not be sent.
    AttemptsNotSent,
    /// Attempts that were interrupted or timed out.
    AttemptsInterrupted,
    /// Attempts that the transcriber failed to execute (status 500).
    AttemptsFailed,
    /// Attempts that ended in any other way without a complete text.
    AttemptsOther,
    /// Scorer calls.
    ScorerCalls,
    /// Scorer calls that the transcriber rejected.
    ScorerCallsRejected,
    /// Scorer calls that failed.
    ScorerCallsFailed,
    /// Scorer calls that ended without a complete response.
    ScorerCallsInterrupted,
}

/// Printed names, in the order of [`Metric`].
const NAMES: [&str; Metric::ScorerCallsInterrupted as usize + 1] = [
    "groups_whole",
    "groups_split",
    "waits_full",
    "waits_no_candidate",
    "runs",
    "runs_not_taken",
    "runs_version_moved",
    "runs_not_sent",
    "runs_broken",
    "runs_failed",
    "runs_other",
    "scorer_calls",
    "scorer_not_taken",
    "scorer_failed",
    "scorer_broken",
];

/// Counters of one runner since its start.
#[derive(Debug, Default)]
pub struct Metrics {
    values: [Cell<u64>; NAMES.len()],
}

impl Metrics {
    pub(crate) fn increment(&self, metric: Metric) {
        let value = &self.values[metric as usize];
        value.set(value.get() + 1);
    }
}

impl fmt::Display for Metrics {
    /// Writes the non-zero counters as `name=value`, separated by spaces.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counted = NAMES.iter().zip(&self.values).filter(|(_, value)| value.get() > 0);
        for (index, (name, value)) in counted.enumerate() {
            let separator = if index > 0 { " " } else { "" };
            write!(formatter, "{separator}{name}={}", value.get())?;
        }
        Ok(())
    }
}
