//! Commitment: an entry is committed once every counting replica has it on disk.

use super::core::Replica;
use super::output::ReplicaOutput;
use super::state_machine::StateMachine;
use pebblepost_messages::Member;

impl<S: StateMachine> Replica<S> {
    /// The other replicas whose disks count: those in sync, and those that an undecided change would
    /// add.
    pub(super) fn counting_members(&self) -> impl Iterator<Item = &Member> {
        let joiners = self.pending_change.joiners().iter().filter(|_| self.guards.commit_waits_for_joiner);
        self.record.in_sync.iter().chain(joiners).filter(|member| member.disk != self.local.disk)
    }

    /// Commits what every counting replica has on disk, this one included.
    pub(super) fn commit_as_primary(&mut self) {
        let is_term_open = self.primary().is_some_and(|primary| primary.is_term_open);
        if !is_term_open || !self.settings.tolerance.is_met_by(&self.record.in_sync) {
            return;
        }
        let index = if self.guards.commit_waits_for_all {
            self.lowest_persisted_index()
        } else {
            self.highest_matched_index().min(self.writes.persisted_index())
        };
        self.commit_to(index);
    }

    /// Applies entries up to an index, as far as they are here.
    pub(super) fn commit_to(&mut self, index: u64) {
        let index = index.min(self.log.last_index());
        if index <= self.commit_index {
            return;
        }
        for (entry_index, entry) in self.log.entries_from(self.commit_index + 1) {
            if entry_index > index {
                break;
            }
            self.state_machine.apply(entry_index, &entry.data.0);
        }
        self.commit_index = index;
        self.outputs.push(ReplicaOutput::Committed { index });
        self.trim_log();
    }

    /// How far all counting replicas hold the log; a follower knows of itself only.
    fn lowest_persisted_index(&self) -> u64 {
        let persisted_index = self.writes.persisted_index();
        let Some(primary) = self.primary() else { return persisted_index };
        let matched = |member: &Member| primary.progress.matched(member.disk).unwrap_or(0);
        self.counting_members().map(matched).min().unwrap_or(u64::MAX).min(persisted_index)
    }

    /// Only for tests of the guard: the most advanced other replica is enough.
    fn highest_matched_index(&self) -> u64 {
        let Some(primary) = self.primary() else { return 0 };
        let matched = |member: &Member| primary.progress.matched(member.disk);
        self.counting_members().filter_map(matched).max().unwrap_or(0)
    }

    /// Drops old entries from memory; an in-sync replica that needs them must not be left to a
    /// snapshot.
    fn trim_log(&mut self) {
        let max_bytes = self.settings.max_log_bytes;
        if self.log.bytes() <= max_bytes {
            return;
        }
        let max_index = self.lowest_persisted_index().min(self.commit_index);
        self.log.trim(max_index, max_bytes);
    }
}
