//! Changes of the epoch that are not known to be decided.

use crate::record::{EpochRecord, contains};
use pebblepost_messages::{DiskId, Member};
use std::time::Duration;

/// Changes of the epoch that were requested and are not known to be decided.
#[derive(Debug, Default)]
pub(super) struct PendingChange {
    requests_in_flight: u32,
    /// When the next change may be requested.
    retry_at: Duration,
    /// Replicas that an undecided change would add. A change that failed may still be completed
    /// by another proposer, so they count until a newer epoch is known.
    joiners: Vec<Member>,
    /// An undecided change names another primary: this one does not act in its epoch any more.
    hands_over: bool,
}

impl PendingChange {
    /// Whether another change may be requested now.
    pub(super) fn may_request(&self, now: Duration) -> bool {
        self.requests_in_flight == 0 && now >= self.retry_at
    }

    /// A change is requested by this replica; where it is primary, what the change would do counts
    /// from now on.
    pub(super) fn on_request(&mut self) {
        self.requests_in_flight += 1;
    }

    /// What a change requested by the primary would do.
    pub(super) fn count_in(&mut self, record: &EpochRecord, in_sync: &[Member], hands_over: bool) {
        self.hands_over |= hands_over;
        for member in in_sync {
            if !record.is_in_sync(member.disk) && !contains(&self.joiners, member.disk) {
                self.joiners.push(member.clone());
            }
        }
    }

    /// A request has ended, with or without success; the next may follow after the backoff.
    pub(super) fn on_request_ended(&mut self, now: Duration, backoff: Duration) {
        self.requests_in_flight = self.requests_in_flight.saturating_sub(1);
        self.retry_at = now + backoff;
    }

    /// A newer epoch is known: all changes that built on the older one are decided.
    pub(super) fn on_decided(&mut self) {
        self.joiners.clear();
        self.hands_over = false;
    }

    /// Replicas that an undecided change would add.
    pub(super) fn joiners(&self) -> &[Member] {
        &self.joiners
    }

    /// Whether an undecided change would add this disk.
    pub(super) fn adds(&self, disk: DiskId) -> bool {
        contains(&self.joiners, disk)
    }

    /// Whether an undecided change names another primary.
    pub(super) fn hands_over(&self) -> bool {
        self.hands_over
    }

    /// Whether an undecided change restricts the primary until it is decided.
    pub(super) fn is_restricting(&self) -> bool {
        self.hands_over || !self.joiners.is_empty()
    }
}
