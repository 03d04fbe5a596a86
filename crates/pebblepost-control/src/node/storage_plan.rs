//! When the primary plans changes of storage: periodically and after events, one plan at a time.

use std::collections::BTreeSet;
use std::time::Duration;

/// Interval between plans if nothing happens.
const PLAN_INTERVAL: Duration = Duration::from_millis(250);

/// Schedule of the plans, and the entries of the last one that are not committed.
#[derive(Debug)]
pub(super) struct StoragePlan {
    next_at: Duration,
    in_flight: BTreeSet<u64>,
}

impl StoragePlan {
    /// The first plan is due at once.
    pub(super) fn new(now: Duration) -> StoragePlan {
        StoragePlan { next_at: now, in_flight: BTreeSet::new() }
    }

    /// Something happened that may change the plan.
    pub(super) fn schedule(&mut self, now: Duration) {
        self.next_at = now;
    }

    /// Whether a plan is due; if so the next one is scheduled. None is while entries of the last one are in flight.
    pub(super) fn start(&mut self, now: Duration) -> bool {
        if now < self.next_at || self.is_in_flight() {
            return false;
        }
        self.next_at = now + PLAN_INTERVAL;
        true
    }

    /// A command of the plan was proposed as the entry at this index.
    pub(super) fn proposed(&mut self, index: u64) {
        self.in_flight.insert(index);
    }

    /// Entries up to this index are committed.
    pub(super) fn committed(&mut self, now: Duration, index: u64) {
        self.in_flight.retain(|in_flight| *in_flight > index);
        self.schedule(now);
    }

    pub(super) fn is_in_flight(&self) -> bool {
        !self.in_flight.is_empty()
    }
}
