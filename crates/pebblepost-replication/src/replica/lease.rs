//! The lease of the primary: it acts while all replicas that count grant it theirs.

use super::core::Replica;
use super::role::Role;
use super::state_machine::StateMachine;
use std::time::Duration;

/// Heartbeat intervals by which elections wait after a stall of this process.
const STALL_GRACE_HEARTBEATS: u32 = 3;

impl<S: StateMachine> Replica<S> {
    /// Whether this replica leads: it has taken over everything, and every counting replica grants
    /// it a lease that runs.
    pub(super) fn holds_lease(&self, now: Duration) -> bool {
        let Some(primary) = self.primary() else { return false };
        let lease = self.settings.lease;
        primary.is_term_open
            && self.commit_index >= primary.takeover_index
            && self.settings.tolerance.is_met_by(&self.record.in_sync)
            && !self.is_unable(now)
            && (!self.guards.election_timeout || self.election.may_act(now, self.record.epoch))
            && (!self.guards.lease
                || self
                    .counting_members()
                    .all(|member| primary.progress.grants_lease(member.disk, now, lease)))
    }

    /// When the lease of this replica expires unless it is renewed; `None` where it does not act. Whatever is decided
    /// under the lease must not take effect outside after that.
    pub fn lease_expires_at(&self, now: Duration) -> Option<Duration> {
        if !self.is_acting(now) {
            return None;
        }
        let primary = self.primary()?;
        let lease = self.settings.lease;
        let starts = self.counting_members().filter_map(|member| primary.progress.lease_start(member.disk));
        Some(starts.min().unwrap_or(now) + lease)
    }

    /// Whether this replica can't lead now: its disk hangs, or its state can't be trusted.
    pub(super) fn is_unable(&self, now: Duration) -> bool {
        self.state_machine.is_damaged() || self.writes.is_hanging(now, self.settings.write_timeout)
    }

    /// After a stall of this process, that nothing was received says nothing about the others: their
    /// timeouts start anew.
    pub(super) fn extend_timeouts_after_stall(&mut self) {
        if self.now.saturating_sub(self.last_tick) <= self.settings.max_replica_lag / 2 {
            return;
        }
        let not_before = self.now + self.settings.heartbeat_interval * STALL_GRACE_HEARTBEATS;
        self.election.stand_not_before = self.election.stand_not_before.max(not_before);
        if let Role::Primary(primary) = &mut self.role {
            primary.progress.reset_timeouts(self.now);
        }
    }
}
