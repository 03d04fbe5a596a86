//! Takeover without waiting for the election timeout, when the process of a primary is known to have
//! ended and its lease with it.

use super::core::Replica;
use super::message::ReplicaMessage;
use super::state_machine::StateMachine;
use pebblepost_messages::{DiskId, Member};
use std::time::Duration;

/// Time that a restarted primary waits for messages of the other in-sync replicas before it campaigns, in
/// heartbeat intervals.
const RESUME_WAIT_HEARTBEATS: u32 = 2;

impl<S: StateMachine> Replica<S> {
    /// Prepares a replica that starts as the recorded primary to resume its term.
    ///
    /// Its former incarnation held the only lease, so it has to wait only for the other replicas. If
    /// another primary was chosen meanwhile, the epoch that this replica requests is rejected.
    pub(super) fn resume_own_term(&mut self) {
        if !self.has_primary_acted() {
            return;
        }
        self.election.resumed_epoch = Some(self.record.epoch);
        self.election.act_not_before = Duration::ZERO;
        self.election.campaign_not_before =
            self.now + self.settings.heartbeat_interval * RESUME_WAIT_HEARTBEATS;
    }

    /// Returns whether this replica is the recorded primary after a restart and may resume its term.
    pub(super) fn is_resuming(&self) -> bool {
        self.is_recorded_primary() && self.election.resumed_epoch == Some(self.record.epoch)
    }

    /// Handles the message that the primary's machine was restarted with another disk. The process of the
    /// primary has ended, and its lease with it.
    pub(super) fn on_primary_replaced(&mut self, epoch: u64, primary: DiskId) {
        let is_current = epoch == self.record.epoch && primary == self.record.primary;
        if !is_current || primary == self.local.disk || !self.has_primary_acted() {
            return;
        }
        self.election.act_not_before = Duration::ZERO;
        self.election.campaign_not_before = self.election.campaign_not_before.min(self.now);
    }

    /// Notifies the in-sync replicas that the recorded primary is gone, if this replica has replaced it
    /// at its address.
    pub(super) fn announce_replacement(&mut self) {
        let Some(primary) = self.record.primary_member() else { return };
        if primary.address != self.local.address || primary.disk == self.local.disk {
            return;
        }
        let message = ReplicaMessage::PrimaryReplaced { epoch: self.record.epoch, primary: primary.disk };
        let others = self.record.in_sync.iter().filter(|member| member.disk != self.record.primary);
        let others: Vec<Member> = others.cloned().collect();
        for other in others {
            self.send(other, &message);
        }
    }

    /// Returns whether the primary of the current epoch has acted in its term. If so, the leases of all
    /// earlier primaries have ended.
    fn has_primary_acted(&self) -> bool {
        let has_acted = self.record.epoch > 0 && self.term.has_primary_acted(self.log.last_epoch());
        has_acted || !self.guards.early_takeover_requires_acted_term
    }
}
