//! Schedule on which the primary plans changes of the store groups: periodically and after events, one plan at a time.

use std::collections::BTreeSet;
use std::time::Duration;

/// Interval between plans when no event triggers one.
const PLAN_INTERVAL: Duration = Duration::from_millis(250);

/// Schedule of the plans, and the uncommitted log entries of the newest plan.
#[derive(Debug)]
pub(super) struct StoragePlanSchedule {
    next_at: Duration,
    /// Indexes of the newest plan's entries that are not committed.
    in_flight: BTreeSet<u64>,
}

impl StoragePlanSchedule {
    /// Creates a schedule whose first plan is due immediately.
    pub(super) fn new(now: Duration) -> StoragePlanSchedule {
        StoragePlanSchedule { next_at: now, in_flight: BTreeSet::new() }
    }

    /// Makes a plan due immediately, after an event that may lead to changes.
    pub(super) fn schedule_now(&mut self, now: Duration) {
        self.next_at = now;
    }

    /// Returns whether a plan is due, and if so schedules the next one. No plan is due while entries of the previous
    /// one are in flight.
    pub(super) fn start_if_due(&mut self, now: Duration) -> bool {
        if now < self.next_at || self.is_in_flight() {
            return false;
        }
        self.next_at = now + PLAN_INTERVAL;
        true
    }

    /// Records that a command of the plan was proposed as the entry at `index`.
    pub(super) fn record_proposed(&mut self, index: u64) {
        self.in_flight.insert(index);
    }

    /// Records that all entries up to `index` are committed, and makes the next plan due.
    pub(super) fn record_committed(&mut self, now: Duration, index: u64) {
        self.in_flight.retain(|in_flight| *in_flight > index);
        self.schedule_now(now);
    }

    /// Returns whether entries of the newest plan are not committed yet.
    pub(super) fn is_in_flight(&self) -> bool {
        !self.in_flight.is_empty()
    }
}
