//! Bootstrap of a group: before the first primary is elected, the members of the initial configuration
//! query one another.

use super::core::Replica;
use super::message::ReplicaMessage;
use super::state_machine::StateMachine;
use pebblepost_messages::Member;

/// Interval between two queries to the other members, in heartbeat intervals.
const QUERY_INTERVAL_HEARTBEATS: u32 = 2;
/// Time for which the reply to a query is valid, in heartbeat intervals.
const REPLY_VALIDITY_HEARTBEATS: u32 = 6;

impl<S: StateMachine> Replica<S> {
    /// Campaigns for the first epoch if enough members of the initial configuration are up and empty.
    /// Candidates are staggered in the order of the witnesses.
    pub(super) fn tick_before_first_primary(&mut self) {
        if !self.record.is_witness(self.local.disk) || self.log.last_index() > 0 {
            return;
        }
        self.query_members_when_due();
        let before = self.record.witnesses.iter().take_while(|witness| witness.disk != self.local.disk);
        let rank = before.count();
        let in_sync = self.responsive_bootstrap_members();
        if self.settings.tolerance.is_met_by(&in_sync) && self.may_campaign(rank) {
            self.request_epoch(self.local.disk, in_sync);
        }
    }

    pub(super) fn on_bootstrap_query(&mut self, from: &Member) {
        let is_empty = self.record.epoch == 0 && self.log.last_index() == 0;
        self.send(from.clone(), &ReplicaMessage::BootstrapQueryReply { is_empty });
        if self.record.epoch > 0 {
            self.send_epoch(from);
        }
    }

    pub(super) fn on_bootstrap_query_reply(&mut self, from: &Member, is_empty: bool) {
        let is_bootstrap_member = self.record.epoch == 0 && self.record.is_witness(from.disk);
        if is_bootstrap_member && is_empty {
            self.bootstrap_replies.on_reply(from, self.now);
        }
    }

    fn query_members_when_due(&mut self) {
        let interval = self.settings.heartbeat_interval * QUERY_INTERVAL_HEARTBEATS;
        if !self.bootstrap_replies.start_query_if_due(self.now, interval) {
            return;
        }
        let mut witnesses = self.record.witnesses.clone();
        witnesses.retain(|witness| witness.disk != self.local.disk);
        for witness in witnesses {
            self.send(witness, &ReplicaMessage::BootstrapQuery);
        }
    }

    /// Returns this member and those that replied recently.
    fn responsive_bootstrap_members(&self) -> Vec<Member> {
        let validity = self.settings.heartbeat_interval * REPLY_VALIDITY_HEARTBEATS;
        let others = self.bootstrap_replies.replied_within(self.now, validity).cloned();
        std::iter::once(self.local.clone()).chain(others).collect()
    }
}
