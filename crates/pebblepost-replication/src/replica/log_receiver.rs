//! Log replication at the follower: handling and acknowledging appends.

use super::core::Replica;
use super::log::LogEntry;
use super::message::ReplicaMessage;
use super::role::Role;
use super::state_machine::StateMachine;
use pebblepost_messages::Member;

impl<S: StateMachine> Replica<S> {
    /// Returns the index up to which the log agrees with the primary's.
    pub(super) fn matched_index(&self) -> u64 {
        match &self.role {
            Role::Follower(follower) => follower.matched,
            Role::Primary(_) => self.log.last_index(),
        }
    }

    /// Handles entries of the primary that follow the one at `previous_index`.
    pub(super) fn on_append(
        &mut self, from: &Member, previous_index: u64, previous_epoch: u64, commit_index: u64,
        entries: Vec<LogEntry>,
    ) {
        self.on_primary_contact();
        if !self.agrees_at(previous_index, previous_epoch) {
            self.reject_append(from, previous_index);
            return;
        }
        // The primary has found out what this log holds, and relies on nothing more.
        self.may_lack_entries = false;
        let mut index = previous_index;
        for entry in entries {
            index += 1;
            if !self.store_entry(index, entry) {
                // A correct primary never sends a conflict with a committed entry, so its entries can't
                // be trusted.
                log::error!(
                    "append rejected: entry of the primary conflicts with a committed entry index={index}"
                );
                return;
            }
        }
        if let Some(follower) = self.follower_mut() {
            follower.on_matched(index);
        }
        self.commit_to(commit_index.min(self.matched_index()));
    }

    /// Sends the acknowledgements that are due. They cover only what is on disk.
    pub(super) fn flush_as_follower(&mut self) {
        if !self.writes.is_epoch_persisted() && self.guards.persists_before_ack {
            return;
        }
        self.acknowledge_entries();
        self.acknowledge_heartbeat();
    }

    /// Returns the index up to which the log may be acknowledged because it is on disk.
    pub(super) fn acknowledgeable_index(&self) -> u64 {
        if self.guards.persists_before_ack { self.writes.persisted_index() } else { u64::MAX }
    }

    /// Returns whether the log agrees with the primary's up to an index. Entries that were dropped from
    /// memory are committed and therefore agree.
    fn agrees_at(&self, index: u64, epoch: u64) -> bool {
        index < self.log.base_index() || self.log.epoch_at(index) == Some(epoch)
    }

    /// Stores an entry of the primary at its index, and drops a conflicting entry there with all that
    /// follow. Returns false if that would change committed entries.
    fn store_entry(&mut self, index: u64, entry: LogEntry) -> bool {
        if index <= self.log.base_index() || self.log.epoch_at(index) == Some(entry.epoch) {
            return true;
        }
        if index <= self.commit_index {
            return false;
        }
        if index <= self.log.last_index() {
            self.log.truncate_from(index);
            self.writes.truncate_from(index);
        }
        self.append_to_log(entry);
        true
    }

    fn reject_append(&mut self, to: &Member, previous_index: u64) {
        let below = previous_index.saturating_sub(1);
        let hint_index = below.min(self.log.last_index()).max(self.log.base_index());
        let hint_epoch = self.log.epoch_at(hint_index).unwrap_or(0);
        let epoch = self.record.epoch;
        let message = ReplicaMessage::AppendRejected { epoch, previous_index, hint_index, hint_epoch };
        self.send(to.clone(), &message);
    }

    fn acknowledge_entries(&mut self) {
        let (epoch, persisted_index) = (self.record.epoch, self.acknowledgeable_index());
        let Some(follower) = self.follower_mut() else { return };
        let index = follower.matched.min(persisted_index);
        let is_complete = index == follower.matched;
        if index <= follower.acknowledged && !(follower.is_ack_due && is_complete) {
            return;
        }
        follower.acknowledged = index;
        follower.is_ack_due &= !is_complete;
        self.removal.on_acknowledgement(epoch);
        self.send_to_primary(&ReplicaMessage::Appended { epoch, index });
    }
}
