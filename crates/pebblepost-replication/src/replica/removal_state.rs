//! The epoch that a replica has acknowledged, and its requests to be removed.

use std::time::Duration;

/// Acknowledgements and removal requests of this replica.
#[derive(Debug)]
pub(super) struct RemovalState {
    /// Newest epoch in which this replica, in this or a former incarnation, may have acknowledged a
    /// heartbeat or an entry.
    acknowledged_epoch: u64,
    last_number: u64,
    /// Number of the newest request, unless the replica has acknowledged anything since.
    open_request: Option<u64>,
    next_request_at: Duration,
}

impl RemovalState {
    /// Creates the state at the start of a process. A former incarnation may have acknowledged data in
    /// the recovered epoch.
    pub(super) fn new(recovered_epoch: u64) -> Self {
        Self {
            acknowledged_epoch: recovered_epoch,
            last_number: 0,
            open_request: None,
            next_request_at: Duration::ZERO,
        }
    }

    pub(super) fn acknowledged_epoch(&self) -> u64 {
        self.acknowledged_epoch
    }

    /// Records that a heartbeat or an entry is about to be acknowledged to the primary of this epoch.
    /// This invalidates the newest request.
    pub(super) fn on_acknowledgement(&mut self, epoch: u64) {
        self.acknowledged_epoch = epoch;
        self.open_request = None;
    }

    pub(super) fn is_request_due(&self, now: Duration) -> bool {
        now >= self.next_request_at
    }

    /// Starts the next request and returns its number.
    pub(super) fn start_request(&mut self, now: Duration, interval: Duration) -> u64 {
        self.next_request_at = now + interval;
        self.last_number += 1;
        self.open_request = Some(self.last_number);
        self.last_number
    }

    /// Handles the grant of a request by the primary of this epoch. A grant of an older request, or of
    /// one that an acknowledgement has invalidated, is ignored.
    pub(super) fn on_granted(&mut self, epoch: u64, number: u64) {
        if self.open_request == Some(number) {
            self.acknowledged_epoch = epoch.saturating_sub(1);
        }
    }
}
