//! Requested changes of the epoch that are not known to be decided.

use crate::record::{EpochRecord, contains};
use pebblepost_messages::{DiskId, Member};
use std::time::Duration;

/// The effects of requested changes of the epoch that are not known to be decided.
#[derive(Debug, Default)]
pub(super) struct PendingChange {
    requests_in_flight: u32,
    /// Time from which the next change may be requested.
    retry_at: Duration,
    /// Replicas that an undecided change would add. Another proposer may still complete a change that
    /// failed, so commits require them until a newer epoch is known.
    joiners: Vec<Member>,
    /// Whether an undecided change names another primary. If so, this replica no longer acts in its
    /// epoch.
    hands_over: bool,
}

impl PendingChange {
    /// Returns whether another change may be requested now.
    pub(super) fn may_request(&self, now: Duration) -> bool {
        self.requests_in_flight == 0 && now >= self.retry_at
    }

    /// Records that this replica requests a change. A primary calls
    /// [`Self::add_requested_change`] before.
    pub(super) fn on_request(&mut self) {
        self.requests_in_flight += 1;
    }

    /// Adds the effects of a change that this replica requests as primary. They apply from now on.
    pub(super) fn add_requested_change(
        &mut self, record: &EpochRecord, in_sync: &[Member], hands_over: bool,
    ) {
        self.hands_over |= hands_over;
        for member in in_sync {
            if !record.is_in_sync(member.disk) && !contains(&self.joiners, member.disk) {
                self.joiners.push(member.clone());
            }
        }
    }

    /// Records that a request has ended, with or without success. The next one may follow after the
    /// backoff.
    pub(super) fn on_request_ended(&mut self, now: Duration, backoff: Duration) {
        self.requests_in_flight = self.requests_in_flight.saturating_sub(1);
        self.retry_at = now + backoff;
    }

    /// Discards all changes, because a newer epoch is known and they built on an older one.
    pub(super) fn on_newer_epoch(&mut self) {
        self.joiners.clear();
        self.hands_over = false;
    }

    /// Returns the replicas that an undecided change would add.
    pub(super) fn joiners(&self) -> &[Member] {
        &self.joiners
    }

    /// Returns whether an undecided change would add the replica on this disk.
    pub(super) fn adds(&self, disk: DiskId) -> bool {
        contains(&self.joiners, disk)
    }

    /// Returns whether an undecided change names another primary.
    pub(super) fn hands_over(&self) -> bool {
        self.hands_over
    }

    /// Returns whether an undecided change restricts the primary: it requires more members for commits,
    /// or hands the role over.
    pub(super) fn restricts_primary(&self) -> bool {
        self.hands_over || !self.joiners.is_empty()
    }
}
