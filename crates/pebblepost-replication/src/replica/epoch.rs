//! Entering a newer epoch, and sending the newest epoch record to other replicas.

use super::core::Replica;
use super::disk_record::DiskRecord;
use super::message::ReplicaMessage;
use super::role::{Follower, Role};
use super::state_machine::StateMachine;
use crate::record::EpochRecord;
use pebblepost_messages::Member;

/// The first epoch with a primary.
const FIRST_EPOCH: u64 = 1;

impl<S: StateMachine> Replica<S> {
    /// Enters a newer epoch, in the role that its record gives to this replica.
    pub(super) fn enter_epoch(&mut self, record: EpochRecord) {
        let is_successor = record.epoch == self.record.epoch + 1;
        let former = std::mem::replace(&mut self.record, record);
        let leads = self.is_recorded_primary();
        self.may_lack_entries |= self.is_empty_in_later_epoch(&former);
        self.term.enter(&former, &self.record);
        self.writes.push(DiskRecord::Epoch(self.record.clone()));
        self.pending_change.on_newer_epoch();
        self.election.campaign_not_before = self.now + self.settings.election_timeout;
        if leads && is_successor && self.primary().is_some() {
            self.continue_as_primary(&former);
        } else if leads {
            self.stop_as_primary(&former);
            self.become_primary();
        } else {
            self.stop_as_primary(&former);
            self.role = Role::Follower(Follower::default());
        }
    }

    pub(super) fn on_new_epoch(&mut self, record: EpochRecord) {
        if record.epoch > self.record.epoch {
            self.enter_epoch(record);
        }
    }

    /// Handles the request of a replica that knows only an older epoch and received a message of a
    /// newer one.
    pub(super) fn on_epoch_request(&mut self, from: &Member, epoch: u64) {
        if epoch >= self.record.epoch {
            return;
        }
        self.send_epoch(from);
        if self.is_epoch_announced() {
            self.send_heartbeat(from.disk);
        }
        if let Some(progress) = self.progress_mut(from.disk) {
            progress.is_send_due = true;
        }
    }

    /// Sends the newest epoch record that this replica knows.
    pub(super) fn send_epoch(&mut self, to: &Member) {
        let message = ReplicaMessage::NewEpoch { record: self.record.clone() };
        self.send(to.clone(), &message);
    }

    /// Returns whether an epoch record after the first names this replica as in sync although its log
    /// is empty: its data may have been dropped after it was proposed. In the first epoch all replicas
    /// are empty.
    fn is_empty_in_later_epoch(&self, former: &EpochRecord) -> bool {
        former.epoch == 0
            && self.log.last_index() == 0
            && self.record.epoch > FIRST_EPOCH
            && self.record.is_in_sync(self.local.disk)
    }
}
