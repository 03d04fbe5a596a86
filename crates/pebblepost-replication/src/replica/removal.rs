//! Removal of a replica: first the primary stops counting on it.
//!
//! A primary proposes a joiner on the strength of its acknowledgements, and the configuration manager
//! may decide that proposal much later. A replica that has acknowledged something in the current epoch
//! may therefore drop its data only once the primary of that epoch has answered that no undecided
//! change names it.

use super::core::Replica;
use super::message::ReplicaMessage;
use super::state_machine::StateMachine;
use pebblepost_messages::Member;
use std::time::Duration;

/// Heartbeat intervals between two requests.
const REQUEST_INTERVAL_HEARTBEATS: u32 = 10;

impl<S: StateMachine> Replica<S> {
    /// Newest epoch in which this replica may have acknowledged that it holds something. Only a
    /// change that builds on this epoch or an earlier one can count on what it holds, unless the
    /// record names it.
    pub fn acknowledged_epoch(&self) -> u64 {
        self.removal.acknowledged_epoch()
    }

    /// Asks the primary to stop counting on this replica; [`Self::acknowledged_epoch`] falls below the
    /// current epoch once it has agreed. To be repeated until then; requests are sent at intervals.
    pub fn request_removal(&mut self, now: Duration) {
        self.advance(now);
        if !self.removal.is_request_due(self.now) || self.record.is_in_sync(self.local.disk) {
            return;
        }
        let Some(primary) = self.record.primary_member().cloned() else { return };
        let interval = self.settings.heartbeat_interval * REQUEST_INTERVAL_HEARTBEATS;
        let number = self.removal.start_request(self.now, interval);
        let message = ReplicaMessage::RemovalRequest { epoch: self.record.epoch, number };
        self.send(primary, &message);
    }

    /// A replica is to be removed. Its progress is dropped, unless the record or an undecided change
    /// names it.
    pub(super) fn on_removal_request(&mut self, from: &Member, epoch: u64, number: u64) {
        let is_counted = self.record.is_in_sync(from.disk) || self.pending_change.adds(from.disk);
        if epoch != self.record.epoch || is_counted {
            return;
        }
        let Some(primary) = self.primary_mut() else { return };
        primary.progress.remove(from.disk);
        self.send(from.clone(), &ReplicaMessage::RemovalGranted { epoch, number });
    }

    /// The primary does not count on this replica any more.
    pub(super) fn on_removal_granted(&mut self, epoch: u64, number: u64) {
        if epoch == self.record.epoch {
            self.removal.on_granted(epoch, number);
        }
    }
}
