//! Handover of the primary role, when the primary is no longer a target.

use super::core::Replica;
use super::state_machine::StateMachine;
use pebblepost_messages::{DiskId, Member};

impl<S: StateMachine> Replica<S> {
    /// Advances the handover to a successor among the other replicas: first waits, up to a timeout,
    /// until the log is committed, then requests the change. Returns false if no successor can be named.
    pub(super) fn hand_over(&mut self, in_sync: &[Member]) -> bool {
        let others: Vec<Member> =
            in_sync.iter().filter(|member| member.disk != self.local.disk).cloned().collect();
        let Some(successor) = self.successor_among(&others) else { return false };
        // Only a primary that holds its lease can guarantee that no older primary acts any more.
        if !self.settings.tolerance.is_met_by(&others) || !self.holds_lease(self.now) {
            return false;
        }
        let (now, drain_timeout) = (self.now, self.settings.max_replica_lag);
        let is_drained = self.commit_index == self.log.last_index();
        let Some(primary) = self.primary_mut() else { return false };
        let draining_since = *primary.draining_since.get_or_insert(now);
        if is_drained || now.saturating_sub(draining_since) > drain_timeout {
            self.request_epoch(successor, others);
        }
        true
    }

    /// Returns the most advanced replica that is a target.
    fn successor_among(&self, others: &[Member]) -> Option<DiskId> {
        let primary = self.primary()?;
        let targets = others.iter().filter(|member| self.is_target(member.disk));
        let matched = |member: &&Member| primary.progress.matched(member.disk);
        targets.max_by_key(matched).map(|member| member.disk)
    }
}
