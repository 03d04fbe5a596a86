//! An operation of a proposer: a goal that is retried until its deadline.

use crate::record::EpochRecord;
use std::time::Duration;

/// Time after which an operation that has not succeeded fails.
const OPERATION_TIMEOUT: Duration = Duration::from_millis(1000);
/// Upper limit of the backoff after the first failed attempt; doubled with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
/// Number of times that the limit of the backoff is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// Interval between the starts of two refresh operations; longer than one operation can last.
pub(super) const REFRESH_INTERVAL: Duration = OPERATION_TIMEOUT.saturating_add(Duration::from_millis(500));

/// The goal of an operation.
#[derive(Clone, Debug)]
pub(super) enum Goal {
    /// Learn the newest chosen record.
    Refresh,
    /// Have `record` chosen as the successor of the record of epoch `expected`.
    Propose { expected: u64, record: EpochRecord },
}

/// An operation in progress.
#[derive(Debug)]
pub(super) struct Operation {
    pub(super) goal: Goal,
    pub(super) deadline: Duration,
    /// Time at which the next attempt starts if none is in progress.
    pub(super) retry_at: Duration,
    failed_attempts: u32,
}

impl Operation {
    pub(super) fn new(goal: Goal, now: Duration) -> Self {
        Self { goal, deadline: now + OPERATION_TIMEOUT, retry_at: now, failed_attempts: 0 }
    }

    /// Counts a failed attempt and returns the upper limit of the backoff that follows.
    pub(super) fn fail_attempt(&mut self) -> Duration {
        let max_backoff = INITIAL_BACKOFF * (1 << self.failed_attempts.min(MAX_BACKOFF_DOUBLINGS));
        self.failed_attempts += 1;
        max_backoff
    }
}
