//! Standing for election once the primary has not been heard from for the election timeout.

use super::core::Replica;
use super::state_machine::StateMachine;
use pebblepost_messages::Member;
use std::time::Duration;

/// Heartbeat intervals between two candidates, in the order of the in-sync list.
const STAGGER_HEARTBEATS: u32 = 2;

impl<S: StateMachine> Replica<S> {
    pub(super) fn tick_as_follower(&mut self) {
        if self.record.epoch == 0 {
            self.tick_before_first_primary();
        } else if self.record.is_in_sync(self.local.disk) {
            self.stand_when_due();
        } else {
            self.request_join_when_due();
        }
    }

    /// Whether this replica may stand for election now, as the candidate of this rank.
    pub(super) fn may_stand(&self, rank: usize) -> bool {
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        let stagger =
            self.settings.heartbeat_interval.saturating_mul(STAGGER_HEARTBEATS.saturating_mul(rank));
        let all_present = || self.record.in_sync.iter().all(|member| self.is_present(member));
        let skips_timeout = !self.guards.election_timeout || (self.is_resuming() && all_present());
        let not_before = if skips_timeout { Duration::ZERO } else { self.election.stand_not_before };
        self.pending_change.may_request(self.now)
            && self.now >= not_before + stagger
            && !self.is_unable(self.now)
            && (!self.is_log_incomplete || !self.guards.complete_log_before_standing)
    }

    /// Stands for election once the timeout has passed, one replica after the other in the order of
    /// the in-sync list.
    fn stand_when_due(&mut self) {
        if !self.may_stand(self.rank()) {
            return;
        }
        let in_sync = self.in_sync_after_election();
        self.request_epoch(self.local.disk, in_sync);
    }

    /// How many others stand before this one.
    fn rank(&self) -> usize {
        if self.is_resuming() {
            return 0;
        }
        let others = self.record.in_sync.iter().filter(|member| member.disk != self.record.primary);
        let present = others.filter(|member| self.is_present(member));
        present.take_while(|member| member.disk != self.local.disk).count()
    }

    /// The in-sync replicas of the epoch for which this one stands: those that are present, without
    /// the former primary. Where that is not enough, more of them.
    fn in_sync_after_election(&self) -> Vec<Member> {
        let is_former_primary =
            |member: &Member| member.disk == self.record.primary && member.disk != self.local.disk;
        let others = |members: &[Member]| -> Vec<Member> {
            members.iter().filter(|member| !is_former_primary(member)).cloned().collect()
        };
        let in_sync = &self.record.in_sync;
        let present: Vec<Member> = in_sync.iter().filter(|member| self.is_present(member)).cloned().collect();
        // A primary that was never heard from may have been restarted like this replica.
        let may_be_back = !self.election.had_primary_contact && self.election.reachable.is_some();
        let preferred = if may_be_back { present } else { others(&present) };
        let choices = [preferred, others(in_sync)];
        let is_enough = |choice: &Vec<Member>| self.settings.tolerance.is_met_by(choice);
        choices.into_iter().find(is_enough).unwrap_or_else(|| in_sync.clone())
    }

    fn is_present(&self, member: &Member) -> bool {
        member.disk == self.local.disk || self.election.is_reachable(member.disk)
    }
}
