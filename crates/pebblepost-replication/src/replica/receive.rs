//! Dispatch of messages from other replicas: which are accepted, and which concern handles them.

use super::core::Replica;
use super::message::ReplicaMessage;
use super::role::Role;
use super::state_machine::StateMachine;
use pebblepost_messages::Member;

impl<S: StateMachine> Replica<S> {
    pub(super) fn dispatch(&mut self, from: &Member, message: ReplicaMessage) {
        match message {
            ReplicaMessage::Append { epoch, previous_index, previous_epoch, commit_index, entries } => {
                if self.is_from_primary(from, epoch) {
                    self.on_append(from, previous_index, previous_epoch, commit_index, entries.0);
                }
            }
            ReplicaMessage::Heartbeat { epoch, number, commit_index } => {
                if self.is_from_primary(from, epoch) {
                    self.on_heartbeat(number, commit_index);
                }
            }
            ReplicaMessage::SnapshotChunk { epoch, index, index_epoch, total, offset, bytes } => {
                if self.is_from_primary(from, epoch) {
                    self.on_snapshot_chunk(from, index, index_epoch, total, offset, &bytes);
                }
            }
            ReplicaMessage::NewEpoch { record } => self.on_new_epoch(record),
            ReplicaMessage::EpochRequest { epoch } => self.on_epoch_request(from, epoch),
            ReplicaMessage::SteppedDown { epoch } => self.election.stepped_down_epoch = Some(epoch),
            ReplicaMessage::PrimaryReplaced { epoch, primary } => self.on_primary_replaced(epoch, primary),
            ReplicaMessage::BootstrapQuery => self.on_bootstrap_query(from),
            ReplicaMessage::BootstrapQueryReply { is_empty } => self.on_bootstrap_query_reply(from, is_empty),
            ReplicaMessage::RemovalRequest { epoch, number } => self.on_removal_request(from, epoch, number),
            ReplicaMessage::RemovalGranted { epoch, number } => self.on_removal_granted(epoch, number),
            to_primary => self.dispatch_to_primary(from, to_primary),
        }
    }

    fn dispatch_to_primary(&mut self, from: &Member, message: ReplicaMessage) {
        match message {
            ReplicaMessage::Appended { epoch, index } if epoch == self.record.epoch => {
                self.on_appended(from.disk, index);
            }
            ReplicaMessage::AppendRejected { epoch, previous_index, hint_index, hint_epoch }
                if epoch == self.record.epoch =>
            {
                self.on_append_rejected(from.disk, previous_index, hint_index, hint_epoch);
            }
            ReplicaMessage::HeartbeatAck { epoch, number, matched, persisted }
                if epoch == self.record.epoch =>
            {
                self.on_heartbeat_ack(from.disk, number, matched);
                self.on_persisted_report(from.disk, persisted);
            }
            ReplicaMessage::SnapshotReceived { epoch, index, offset } if epoch == self.record.epoch => {
                self.on_snapshot_received(from.disk, index, offset);
            }
            ReplicaMessage::JoinRequest { epoch, last_index, last_epoch } => {
                self.on_join_request(from, epoch, last_index, last_epoch);
            }
            _ => {}
        }
    }

    /// Returns whether a message of this epoch comes from the primary that this replica follows. Sends
    /// the newer epoch record to a sender of an older epoch, and requests the record from a sender of
    /// a newer one.
    fn is_from_primary(&mut self, from: &Member, epoch: u64) -> bool {
        let is_follower = matches!(self.role, Role::Follower(_));
        if epoch > self.record.epoch {
            let request = ReplicaMessage::EpochRequest { epoch: self.record.epoch };
            self.send(from.clone(), &request);
            return false;
        }
        if epoch < self.record.epoch {
            self.send_epoch(from);
            return !self.guards.rejects_old_epochs && is_follower;
        }
        from.disk == self.record.primary && is_follower
    }
}
