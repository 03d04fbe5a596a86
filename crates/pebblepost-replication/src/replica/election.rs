//! Campaigning: a replica requests an epoch with itself as primary once it has received nothing
//! from the primary for the election timeout.

use super::core::Replica;
use super::state_machine::StateMachine;
use pebblepost_messages::Member;
use std::time::Duration;

/// Delay between two candidates in the order of the in-sync list, in heartbeat intervals.
const CANDIDATE_STAGGER_HEARTBEATS: u32 = 2;

impl<S: StateMachine> Replica<S> {
    pub(super) fn tick_as_follower(&mut self) {
        if self.record.epoch == 0 {
            self.tick_before_first_primary();
        } else if self.record.is_in_sync(self.local.disk) {
            self.campaign_when_due();
        } else {
            self.request_join_when_due();
        }
    }

    /// Returns whether this replica may campaign now, as the candidate of this rank.
    pub(super) fn may_campaign(&self, rank: usize) -> bool {
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        let stagger = self
            .settings
            .heartbeat_interval
            .saturating_mul(CANDIDATE_STAGGER_HEARTBEATS.saturating_mul(rank));
        let are_all_reachable =
            || self.record.in_sync.iter().all(|member| self.is_local_or_reachable(member));
        let skips_timeout =
            !self.guards.waits_for_election_timeout || (self.is_resuming() && are_all_reachable());
        let not_before = if skips_timeout { Duration::ZERO } else { self.election.campaign_not_before };
        self.pending_change.may_request(self.now)
            && self.now >= not_before + stagger
            && !self.is_unable_to_lead(self.now)
            && (!self.may_lack_entries || !self.guards.campaign_requires_complete_log)
    }

    /// Campaigns once the timeout has passed. Candidates are staggered in the order of the in-sync
    /// list, so that they don't compete.
    fn campaign_when_due(&mut self) {
        if !self.may_campaign(self.rank()) {
            return;
        }
        let in_sync = self.in_sync_after_election();
        self.request_epoch(self.local.disk, in_sync);
    }

    /// Returns the number of candidates that campaign before this one.
    fn rank(&self) -> usize {
        if self.is_resuming() {
            return 0;
        }
        let others = self.record.in_sync.iter().filter(|member| member.disk != self.record.primary);
        let candidates = others.filter(|member| self.is_local_or_reachable(member));
        candidates.take_while(|member| member.disk != self.local.disk).count()
    }

    /// Returns the in-sync replicas of the epoch that this replica requests: the reachable ones without
    /// the former primary. If these are too few for the tolerance, unreachable ones are included, and
    /// then the former primary.
    fn in_sync_after_election(&self) -> Vec<Member> {
        let is_former_primary =
            |member: &Member| member.disk == self.record.primary && member.disk != self.local.disk;
        let others = |members: &[Member]| -> Vec<Member> {
            members.iter().filter(|member| !is_former_primary(member)).cloned().collect()
        };
        let in_sync = &self.record.in_sync;
        let reachable: Vec<Member> =
            in_sync.iter().filter(|member| self.is_local_or_reachable(member)).cloned().collect();
        // If no message of a primary has arrived since this process started, the primary may have been
        // restarted as well. It is kept if it is reachable.
        let may_be_restarted = !self.election.had_primary_contact && self.election.reachable.is_some();
        let preferred = if may_be_restarted { reachable } else { others(&reachable) };
        let choices = [preferred, others(in_sync)];
        let is_enough = |choice: &Vec<Member>| self.settings.tolerance.is_met_by(choice);
        choices.into_iter().find(is_enough).unwrap_or_else(|| in_sync.clone())
    }

    fn is_local_or_reachable(&self, member: &Member) -> bool {
        member.disk == self.local.disk || self.election.is_reachable(member.disk)
    }
}
