//! Commitment: an entry is committed once this replica and every required member have it on disk.

use super::core::Replica;
use super::output::ReplicaOutput;
use super::state_machine::StateMachine;
use pebblepost_messages::Member;

impl<S: StateMachine> Replica<S> {
    /// Returns the other replicas whose acknowledgements commits and the lease require: those in sync,
    /// and those that an undecided change would add.
    pub(super) fn required_members(&self) -> impl Iterator<Item = &Member> {
        let joiners =
            self.pending_change.joiners().iter().filter(|_| self.guards.commit_requires_pending_joiners);
        self.record.in_sync.iter().chain(joiners).filter(|member| member.disk != self.local.disk)
    }

    /// Commits what this replica and every required member have on disk.
    pub(super) fn commit_as_primary(&mut self) {
        let has_announced_first_epoch =
            self.primary().is_some_and(|primary| primary.has_announced_first_epoch);
        if !has_announced_first_epoch || !self.settings.tolerance.is_met_by(&self.record.in_sync) {
            return;
        }
        let index = if self.guards.commit_requires_all_in_sync {
            self.lowest_persisted_index()
        } else {
            self.highest_matched_index().min(self.writes.persisted_index())
        };
        self.commit_to(index);
    }

    /// Commits and applies the entries up to `index` that are in the log.
    pub(super) fn commit_to(&mut self, index: u64) {
        let index = index.min(self.log.last_index());
        if index <= self.commit_index {
            return;
        }
        for (entry_index, entry) in self.log.entries_from(self.commit_index + 1) {
            if entry_index > index {
                break;
            }
            self.state_machine.apply(entry_index, &entry.data);
        }
        self.commit_index = index;
        self.outputs.push(ReplicaOutput::Committed { index });
        self.trim_log();
    }

    /// Returns the index up to which this replica and all required members hold the log on disk. A
    /// follower knows only its own index.
    fn lowest_persisted_index(&self) -> u64 {
        let persisted_index = self.writes.persisted_index();
        let Some(primary) = self.primary() else { return persisted_index };
        let matched = |member: &Member| primary.progress.matched(member.disk).unwrap_or(0);
        self.required_members().map(matched).min().unwrap_or(u64::MAX).min(persisted_index)
    }

    /// Returns the index that the most advanced other replica holds. Used only if tests disable the
    /// rule that all in-sync replicas are required.
    fn highest_matched_index(&self) -> u64 {
        let Some(primary) = self.primary() else { return 0 };
        let matched = |member: &Member| primary.progress.matched(member.disk);
        self.required_members().filter_map(matched).max().unwrap_or(0)
    }

    /// Drops old entries from memory, except those that an in-sync replica may still need: it must not
    /// have to be sent a snapshot.
    fn trim_log(&mut self) {
        let max_bytes = self.settings.max_log_bytes;
        if self.log.bytes() <= max_bytes {
            return;
        }
        let max_index = self.lowest_persisted_index().min(self.commit_index);
        self.log.trim(max_index, max_bytes);
    }
}
