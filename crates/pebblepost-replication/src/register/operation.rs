//! What a proposer is asked to achieve, over as many attempts as its time allows.

use crate::record::EpochRecord;
use std::time::Duration;

/// How long an operation is retried.
const OPERATION_TIMEOUT: Duration = Duration::from_millis(1000);
/// Backoff after the first failed attempt, doubled with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
/// Number of times that the backoff is doubled at most.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// How long after the start of an operation the next refresh may follow.
pub(super) const REFRESH_INTERVAL: Duration = OPERATION_TIMEOUT.saturating_add(Duration::from_millis(500));

/// The goal of an operation.
#[derive(Clone, Debug)]
pub(super) enum Goal {
    /// To know the newest chosen record.
    Refresh,
    /// To have a record chosen after epoch `expected`.
    Propose { expected: u64, record: EpochRecord },
}

/// A goal, and how far it got.
#[derive(Debug)]
pub(super) struct Operation {
    pub(super) goal: Goal,
    pub(super) deadline: Duration,
    /// When the next attempt starts, while none is in progress.
    pub(super) retry_at: Duration,
    failed_attempts: u32,
}

impl Operation {
    pub(super) fn new(goal: Goal, now: Duration) -> Self {
        Self { goal, deadline: now + OPERATION_TIMEOUT, retry_at: now, failed_attempts: 0 }
    }

    /// Counts a failed attempt; the upper limit of the backoff that follows it.
    pub(super) fn fail_attempt(&mut self) -> Duration {
        let max_backoff = INITIAL_BACKOFF * (1 << self.failed_attempts.min(MAX_BACKOFF_DOUBLINGS));
        self.failed_attempts += 1;
        max_backoff
    }
}
