//! Heartbeats of the primary. A replica that acknowledges a heartbeat grants the primary a lease.

use super::core::Replica;
use super::message::ReplicaMessage;
use super::state_machine::StateMachine;
use pebblepost_messages::DiskId;

impl<S: StateMachine> Replica<S> {
    /// Sends the next heartbeat to all tracked replicas if it is due.
    pub(super) fn send_heartbeats_when_due(&mut self) {
        let (now, interval) = (self.now, self.settings.heartbeat_interval);
        let Some(primary) = self.primary_mut() else { return };
        if !primary.is_epoch_announced || !primary.heartbeats.start_if_due(now, interval) {
            return;
        }
        for disk in primary.progress.disks() {
            self.send_heartbeat(disk);
        }
    }

    /// Sends the newest heartbeat to a tracked replica, even if it was sent before.
    pub(super) fn send_heartbeat(&mut self, disk: DiskId) {
        let (epoch, commit_index) = (self.record.epoch, self.commit_index);
        let Some(primary) = self.primary_mut() else { return };
        let number = primary.heartbeats.newest_number();
        let Some(progress) = primary.progress.get_mut(disk) else { return };
        progress.on_heartbeat_sent(number);
        let member = progress.member.clone();
        self.send(member, &ReplicaMessage::Heartbeat { epoch, number, commit_index });
    }

    /// Handles the acknowledgement of a heartbeat: renews the lease and resends lost appends.
    pub(super) fn on_heartbeat_ack(&mut self, from: DiskId, number: u64, matched: u64) {
        let now = self.now;
        let Some(primary) = self.primary_mut() else { return };
        let Some(sent_at) = primary.heartbeats.sent_at(number) else { return };
        let Some(progress) = primary.progress.get_mut(from) else { return };
        progress.on_heartbeat_ack(number, sent_at, matched, now);
    }

    pub(super) fn on_heartbeat(&mut self, number: u64, commit_index: u64) {
        self.on_primary_contact();
        if let Some(follower) = self.follower_mut() {
            follower.pending_heartbeat = Some(number);
        }
        self.commit_to(commit_index.min(self.matched_index()));
    }

    /// Acknowledges the pending heartbeat. From then on, this replica neither campaigns nor acts as
    /// primary for the election timeout.
    pub(super) fn acknowledge_heartbeat(&mut self) {
        let (epoch, persisted_index) = (self.record.epoch, self.acknowledgeable_index());
        let Some(follower) = self.follower_mut() else { return };
        let Some(number) = follower.pending_heartbeat.take() else { return };
        let matched = follower.matched;
        let persisted = matched.min(persisted_index);
        self.election.on_lease_granted(self.now + self.settings.election_timeout);
        self.removal.on_acknowledgement(epoch);
        self.send_to_primary(&ReplicaMessage::HeartbeatAck { epoch, number, matched, persisted });
    }

    /// Records that a message from the primary arrived.
    pub(super) fn on_primary_contact(&mut self) {
        let now = self.now;
        self.election.had_primary_contact = true;
        if let Some(follower) = self.follower_mut() {
            follower.last_contact_at = Some(now);
        }
    }
}
