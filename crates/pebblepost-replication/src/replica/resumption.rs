//! Shortcuts after the certain end of a primary's process: nobody waits for a lease that has ended.

use super::core::Replica;
use super::message::ReplicaMessage;
use super::state_machine::StateMachine;
use pebblepost_messages::{DiskId, Member};
use std::time::Duration;

/// Heartbeat intervals that a restarted primary waits for the other in-sync replicas to be heard
/// from.
const RESUME_HEARTBEATS: u32 = 2;

impl<S: StateMachine> Replica<S> {
    /// After a start as the recorded primary: the former incarnation held the only lease there was,
    /// so that nobody has to be waited for but the other replicas. Another primary may have been
    /// chosen meanwhile; then this one's epoch is rejected.
    pub(super) fn resume_own_term(&mut self) {
        if !self.has_primary_acted() {
            return;
        }
        self.election.resumed_epoch = Some(self.record.epoch);
        self.election.act_not_before = Duration::ZERO;
        self.election.stand_not_before = self.now + self.settings.heartbeat_interval * RESUME_HEARTBEATS;
    }

    /// Whether this replica was the primary and has been restarted.
    pub(super) fn is_resuming(&self) -> bool {
        self.is_recorded_primary() && self.election.resumed_epoch == Some(self.record.epoch)
    }

    /// The primary's machine has come back with another disk: its process has ended, and its lease
    /// with it.
    pub(super) fn on_primary_replaced(&mut self, epoch: u64, primary: DiskId) {
        let is_current = epoch == self.record.epoch && primary == self.record.primary;
        if !is_current || primary == self.local.disk || !self.has_primary_acted() {
            return;
        }
        self.election.act_not_before = Duration::ZERO;
        self.election.stand_not_before = self.election.stand_not_before.min(self.now);
    }

    /// Tells the in-sync replicas that the recorded primary is gone, where this one has taken its
    /// place.
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

    /// Whether the primary of the current epoch has acted in its term: then the leases of all
    /// primaries before it have ended.
    fn has_primary_acted(&self) -> bool {
        let has_acted = self.record.epoch > 0 && self.term.has_primary_acted(self.log.last_epoch());
        has_acted || !self.guards.takeover_needs_acted_term
    }
}
