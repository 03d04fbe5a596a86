//! Founding a group: before the first primary, the founders look for one another.

use super::core::Replica;
use super::message::ReplicaMessage;
use super::state_machine::StateMachine;
use pebblepost_messages::Member;

/// Heartbeat intervals between two probes of the other founders.
const PROBE_HEARTBEATS: u32 = 2;
/// Heartbeat intervals for which the answer to a probe is valid.
const PROBE_VALID_HEARTBEATS: u32 = 6;

impl<S: StateMachine> Replica<S> {
    /// The first founder to see enough others stands for election.
    pub(super) fn tick_before_first_primary(&mut self) {
        if !self.record.is_witness(self.local.disk) || self.log.last_index() > 0 {
            return;
        }
        self.probe_founders_when_due();
        let before = self.record.witnesses.iter().take_while(|witness| witness.disk != self.local.disk);
        let rank = before.count();
        let in_sync = self.founders_present();
        if self.settings.tolerance.is_met_by(&in_sync) && self.may_stand(rank) {
            self.request_epoch(self.local.disk, in_sync);
        }
    }

    pub(super) fn on_founder_probe(&mut self, from: &Member) {
        let is_empty = self.record.epoch == 0 && self.log.last_index() == 0;
        self.send(from.clone(), &ReplicaMessage::FounderProbeAck { is_empty });
        if self.record.epoch > 0 {
            self.send_epoch(from);
        }
    }

    pub(super) fn on_founder_probe_ack(&mut self, from: &Member, is_empty: bool) {
        let is_founder = self.record.epoch == 0 && self.record.is_witness(from.disk);
        if is_founder && is_empty {
            self.founders.on_answer(from, self.now);
        }
    }

    fn probe_founders_when_due(&mut self) {
        let interval = self.settings.heartbeat_interval * PROBE_HEARTBEATS;
        if !self.founders.start_probe_if_due(self.now, interval) {
            return;
        }
        let mut witnesses = self.record.witnesses.clone();
        witnesses.retain(|witness| witness.disk != self.local.disk);
        for witness in witnesses {
            self.send(witness, &ReplicaMessage::FounderProbe);
        }
    }

    /// This founder and those that answered lately.
    fn founders_present(&self) -> Vec<Member> {
        let valid = self.settings.heartbeat_interval * PROBE_VALID_HEARTBEATS;
        let others = self.founders.answered_within(self.now, valid).cloned();
        std::iter::once(self.local.clone()).chain(others).collect()
    }
}
