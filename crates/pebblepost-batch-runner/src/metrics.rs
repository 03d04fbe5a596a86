//! Counters of what a runner does, by cause: constant memory, one addition per event.
//!
//! Owns the counters since the start of the runner and the names under which an operator sees them.

use std::cell::Cell;
use std::fmt;

/// A counter. Names in the operator's output are those of the table below.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Metric {
    /// Groups of samples, or parts of them, that were placed together.
    GroupsPlacedTogether,
    /// Groups of samples that were split over transcribers.
    GroupsSplit,
    /// Back-offs of a placement because every probed transcriber was full.
    FullBackoffs,
    /// Back-offs of a placement because no transcriber could be probed: none ready, or none with an
    /// allowed version.
    NoCandidateBackoffs,
    /// Attempts at items.
    Attempts,
    /// Attempts that the transcriber rejected: full, or executing an order.
    AttemptsRejected,
    /// Attempts that the transcriber rejected as it holds another version.
    AttemptsVersionMismatch,
    /// Attempts that could not be sent.
    AttemptsNotSent,
    /// Attempts that were interrupted or timed out.
    AttemptsInterrupted,
    /// Attempts that ended in a failure of the transcriber.
    AttemptsFailed,
    /// Attempts that ended in any other way without a complete text.
    AttemptsOther,
    /// Calls of scorers.
    ScorerCalls,
    /// Calls of scorers that the transcriber rejected.
    ScorerCallsRejected,
    /// Calls of scorers that failed.
    ScorerCallsFailed,
    /// Calls of scorers without a usable answer.
    ScorerCallsInterrupted,
}

/// Names in the operator's output, in the order of [`Metric`].
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

/// The counters of one runner since its start.
#[derive(Debug, Default)]
pub struct Metrics {
    values: [Cell<u64>; NAMES.len()],
}

impl Metrics {
    /// Adds one to a counter.
    pub(crate) fn increment(&self, metric: Metric) {
        let value = &self.values[metric as usize];
        value.set(value.get() + 1);
    }
}

impl fmt::Display for Metrics {
    /// The counters that are not 0, as `name=value`.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counted = NAMES.iter().zip(&self.values).filter(|(_, value)| value.get() > 0);
        for (index, (name, value)) in counted.enumerate() {
            let separator = if index > 0 { " " } else { "" };
            write!(formatter, "{separator}{name}={}", value.get())?;
        }
        Ok(())
    }
}
