//! Messages of other replicas: which are heeded, and what becomes of them.

use super::message::ReplicaMessage;
use super::{Replica, Role, StateMachine};
use crate::record::EpochRecord;
use pebblepost_messages::Member;

impl<S: StateMachine> Replica<S> {
    pub(super) fn handle(&mut self, from: &Member, message: ReplicaMessage) {
        match message {
            ReplicaMessage::Append { epoch, previous_index, previous_epoch, committed, entries } => {
                if self.is_from_primary(from, epoch) {
                    self.take_append(from, previous_index, previous_epoch, committed, entries.0);
                }
            }
            ReplicaMessage::Beacon { epoch, number, committed } => {
                if self.is_from_primary(from, epoch) {
                    self.take_beacon(number, committed);
                }
            }
            ReplicaMessage::SnapshotPart { epoch, index, index_epoch, total, offset, bytes } => {
                if self.is_from_primary(from, epoch) {
                    self.take_snapshot_part(from, index, index_epoch, total, offset, &bytes.0);
                }
            }
            ReplicaMessage::NewEpoch { record } => self.take_new_epoch(record),
            ReplicaMessage::EpochRequest { epoch } => self.answer_epoch_request(from, epoch),
            ReplicaMessage::Released { epoch } => self.succession.released_epoch = Some(epoch),
            ReplicaMessage::PrimaryReplaced { epoch, primary } => self.take_replacement(epoch, primary),
            ReplicaMessage::Probe => self.answer_probe(from),
            ReplicaMessage::ProbeAnswer { is_empty } => self.take_probe_answer(from, is_empty),
            ReplicaMessage::LeaveRequest { epoch, number } => self.take_leave_request(from, epoch, number),
            ReplicaMessage::LeaveGranted { epoch, number } => self.take_leave_grant(epoch, number),
            to_primary => self.handle_as_primary(from, to_primary),
        }
    }

    fn handle_as_primary(&mut self, from: &Member, message: ReplicaMessage) {
        match message {
            ReplicaMessage::Appended { epoch, index } if epoch == self.record.epoch => {
                self.take_appended(from.disk, index);
            }
            ReplicaMessage::AppendRejected { epoch, previous_index, hint_index, hint_epoch }
                if epoch == self.record.epoch =>
            {
                self.take_rejection(from.disk, previous_index, hint_index, hint_epoch);
            }
            ReplicaMessage::BeaconAck { epoch, number, matched, persisted } if epoch == self.record.epoch => {
                self.take_beacon_ack(from.disk, number, matched);
                self.take_repeated_ack(from.disk, persisted);
            }
            ReplicaMessage::SnapshotReceived { epoch, index, offset } if epoch == self.record.epoch => {
                self.take_snapshot_received(from.disk, index, offset);
            }
            ReplicaMessage::JoinRequest { epoch, last_index, last_epoch } => {
                self.take_join_request(from, epoch, last_index, last_epoch);
            }
            _ => {}
        }
    }

    /// Whether a message of an epoch comes from the primary that this replica follows. Senders
    /// that lag behind are told the newer epoch; where this replica lags, it asks.
    fn is_from_primary(&mut self, from: &Member, epoch: u64) -> bool {
        if epoch > self.record.epoch {
            let request = ReplicaMessage::EpochRequest { epoch: self.record.epoch };
            self.send(from.clone(), &request);
            return false;
        }
        if epoch < self.record.epoch {
            self.tell_epoch(from);
            return !self.guards.old_epochs_refused && matches!(self.role, Role::Follower(_));
        }
        from.disk == self.record.primary && matches!(self.role, Role::Follower(_))
    }

    fn take_new_epoch(&mut self, record: EpochRecord) {
        if record.epoch > self.record.epoch {
            self.enter_epoch(record);
        }
    }

    pub(super) fn tell_epoch(&mut self, to: &Member) {
        let message = ReplicaMessage::NewEpoch { record: self.record.clone() };
        self.send(to.clone(), &message);
    }
}
