//! The progress of all other replicas that the primary sends to: in-sync replicas and joiners.

use super::progress::Progress;
use pebblepost_messages::{DiskId, Member};
use std::collections::BTreeMap;
use std::time::Duration;

/// The progress of each replica, by its disk.
#[derive(Debug, Default)]
pub(super) struct ProgressTracker(BTreeMap<DiskId, Progress>);

impl ProgressTracker {
    pub(super) fn get(&self, disk: DiskId) -> Option<&Progress> {
        self.0.get(&disk)
    }

    pub(super) fn get_mut(&mut self, disk: DiskId) -> Option<&mut Progress> {
        self.0.get_mut(&disk)
    }

    pub(super) fn contains(&self, disk: DiskId) -> bool {
        self.0.contains_key(&disk)
    }

    /// Iterates over all replicas, ordered by disk.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Progress> {
        self.0.values()
    }

    /// Iterates over all replicas, ordered by disk.
    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Progress> {
        self.0.values_mut()
    }

    /// Returns the disks of all replicas, in order.
    pub(super) fn disks(&self) -> Vec<DiskId> {
        self.0.keys().copied().collect()
    }

    /// Adds a replica that is probed from `next_index`, unless it is tracked already.
    pub(super) fn add(&mut self, member: Member, next_index: u64, now: Duration) {
        self.0.entry(member.disk).or_insert_with(|| Progress::new(member, next_index, now));
    }

    pub(super) fn remove(&mut self, disk: DiskId) {
        self.0.remove(&disk);
    }

    pub(super) fn retain(&mut self, mut is_kept: impl FnMut(&Progress) -> bool) {
        self.0.retain(|_, progress| is_kept(progress));
    }

    /// Returns the index up to which a replica's log agrees and is on disk, if known.
    pub(super) fn matched(&self, disk: DiskId) -> Option<u64> {
        self.get(disk)?.matched
    }

    /// Returns the start of the lease that a replica grants.
    pub(super) fn lease_start(&self, disk: DiskId) -> Option<Duration> {
        self.get(disk)?.lease_start
    }

    /// Returns whether a replica grants an unexpired lease.
    pub(super) fn grants_lease(&self, disk: DiskId, now: Duration, lease: Duration) -> bool {
        self.get(disk).is_some_and(|progress| progress.grants_lease(now, lease))
    }

    /// Returns the replicas to which a message is due.
    pub(super) fn due(&self, last_index: u64) -> Vec<DiskId> {
        let due = self.0.iter().filter(|(_, progress)| progress.is_due(last_index));
        due.map(|(disk, _)| *disk).collect()
    }

    /// Records that an entry is about to be appended after `last_index`. Replicas that have
    /// acknowledged all entries so far have the full time to acknowledge it.
    pub(super) fn on_append(&mut self, last_index: u64, now: Duration) {
        let idle = self.0.values_mut().filter(|progress| progress.matched == Some(last_index));
        idle.for_each(|progress| progress.pending_since = now);
    }

    /// Restarts the timeouts of all replicas.
    pub(super) fn reset_timeouts(&mut self, now: Duration) {
        self.0.values_mut().for_each(|progress| progress.reset_timeouts(now));
    }
}
