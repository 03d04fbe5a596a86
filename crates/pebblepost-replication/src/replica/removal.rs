//! Removal of a replica, which first asks the primary to stop relying on its data.
//!
//! A primary proposes a joiner on the strength of its acknowledgements, and the configuration manager
//! may decide on that proposal much later. A replica that has acknowledged anything in the current
//! epoch may therefore drop its data only after the primary of that epoch has answered that no
//! undecided change names it.

use super::core::Replica;
use super::message::ReplicaMessage;
use super::state_machine::StateMachine;
use pebblepost_messages::Member;
use std::time::Duration;

/// Interval between two requests, in heartbeat intervals.
const REQUEST_INTERVAL_HEARTBEATS: u32 = 10;

impl<S: StateMachine> Replica<S> {
    /// Returns the newest epoch in which this replica may have acknowledged that it holds data. Unless
    /// the epoch record names this replica, only a change that builds on this epoch or an earlier one
    /// can rely on its data.
    pub fn acknowledged_epoch(&self) -> u64 {
        self.removal.acknowledged_epoch()
    }

    /// Asks the primary to stop relying on the data of this replica. Once it has agreed,
    /// [`Self::acknowledged_epoch`] is below the current epoch. The caller repeats the call until then;
    /// the number of messages is limited by an interval.
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

    /// Handles the request of a replica that is to be removed. Stops tracking it and grants the request,
    /// unless the record or an undecided change names it.
    pub(super) fn on_removal_request(&mut self, from: &Member, epoch: u64, number: u64) {
        let is_counted = self.record.is_in_sync(from.disk) || self.pending_change.adds(from.disk);
        if epoch != self.record.epoch || is_counted {
            return;
        }
        let Some(primary) = self.primary_mut() else { return };
        primary.progress.remove(from.disk);
        self.send(from.clone(), &ReplicaMessage::RemovalGranted { epoch, number });
    }

    /// Handles the answer that the primary no longer relies on the data of this replica.
    pub(super) fn on_removal_granted(&mut self, epoch: u64, number: u64) {
        if epoch == self.record.epoch {
            self.removal.on_granted(epoch, number);
        }
    }
}
