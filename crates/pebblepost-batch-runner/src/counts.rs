//! Counts of what the runner does, by reason: constant memory, one addition each.

use std::cell::Cell;
use std::fmt;

/// What is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Count {
    /// Groups of samples (or parts of them) that found a place as a whole.
    GroupsWhole,
    /// Groups of samples that were split over transcribers.
    GroupsSplit,
    /// Waits for a place as all that were probed were full.
    WaitsFull,
    /// Waits for a place as no transcriber could be asked: none ready, or none with the version.
    WaitsNoCandidate,
    /// Runs of items begun.
    Runs,
    /// Runs that did not begin: the transcriber was full, or an order was under way.
    RunsNotTaken,
    /// Runs that did not begin: the transcriber holds another version.
    RunsVersionMoved,
    /// Runs that could not be sent.
    RunsNotSent,
    /// Runs that broke off or fell silent.
    RunsBroken,
    /// Runs that ended in a failure of the transcriber.
    RunsFailed,
    /// Runs that ended in any other way without a whole text.
    RunsOther,
    /// Scorers' calls.
    ScorerCalls,
    /// Scorers' calls that the transcriber did not take.
    ScorerNotTaken,
    /// Scorers' calls that failed.
    ScorerFailed,
    /// Scorers' calls without an answer of use.
    ScorerBroken,
}

/// Names of the counts, in the order of [`Count`].
const NAMES: [&str; Count::ScorerBroken as usize + 1] = [
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

/// The counts of one runner since its start.
#[derive(Debug, Default)]
pub struct Counts {
    values: [Cell<u64>; NAMES.len()],
}

impl Counts {
    /// Adds one.
    pub(crate) fn add(&self, count: Count) {
        let value = &self.values[count as usize];
        value.set(value.get() + 1);
    }

    /// One of the counts.
    pub fn get(&self, count: Count) -> u64 {
        self.values[count as usize].get()
    }
}

impl fmt::Display for Counts {
    /// Those that are not 0, as `name=value`.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counted = NAMES.iter().zip(&self.values).filter(|(_, value)| value.get() > 0);
        for (index, (name, value)) in counted.enumerate() {
            let separator = if index > 0 { " " } else { "" };
            write!(formatter, "{separator}{name}={}", value.get())?;
        }
        Ok(())
    }
}
