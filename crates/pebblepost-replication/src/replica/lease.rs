//! The lease of the primary, which it holds while every required member grants it.

use super::core::Replica;
use super::role::Role;
use super::state_machine::StateMachine;
use std::time::Duration;

/// Minimum delay of a campaign after a stall of this process, in heartbeat intervals.
const STALL_GRACE_HEARTBEATS: u32 = 3;

impl<S: StateMachine> Replica<S> {
    /// Returns whether this replica is primary, has committed everything that its predecessors may have
    /// acknowledged, and holds an unexpired lease from every required member.
    pub(super) fn holds_lease(&self, now: Duration) -> bool {
        let Some(primary) = self.primary() else { return false };
        let lease = self.settings.lease;
        primary.has_announced_first_epoch
            && self.commit_index >= primary.takeover_index
            && self.settings.tolerance.is_met_by(&self.record.in_sync)
            && !self.is_unable_to_lead(now)
            && (!self.guards.waits_for_election_timeout || self.election.may_act(now, self.record.epoch))
            && (!self.guards.requires_lease
                || self
                    .required_members()
                    .all(|member| primary.progress.grants_lease(member.disk, now, lease)))
    }

    /// Returns the time at which the lease expires unless it is renewed; `None` if this replica does
    /// not act. A decision made under the lease must not take effect outside this process after that
    /// time.
    pub fn lease_expires_at(&self, now: Duration) -> Option<Duration> {
        if !self.is_acting(now) {
            return None;
        }
        let primary = self.primary()?;
        let lease = self.settings.lease;
        let starts = self.required_members().filter_map(|member| primary.progress.lease_start(member.disk));
        Some(starts.min().unwrap_or(now) + lease)
    }

    /// Returns whether this replica can't lead now: a write to its disk is stalled, or its state
    /// machine is damaged.
    pub(super) fn is_unable_to_lead(&self, now: Duration) -> bool {
        self.state_machine.is_damaged() || self.writes.is_stalled(now, self.settings.write_timeout)
    }

    /// Restarts the timeouts of other replicas after a stall of this process. It received nothing
    /// during the stall, so their silence does not mean that they failed.
    pub(super) fn extend_timeouts_after_stall(&mut self) {
        if self.now.saturating_sub(self.last_tick) <= self.settings.max_replica_lag / 2 {
            return;
        }
        let not_before = self.now + self.settings.heartbeat_interval * STALL_GRACE_HEARTBEATS;
        self.election.campaign_not_before = self.election.campaign_not_before.max(not_before);
        if let Role::Primary(primary) = &mut self.role {
            primary.progress.reset_timeouts(self.now);
        }
    }
}
