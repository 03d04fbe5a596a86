//! Planned stops: other machines take over what a machine holds before it ends.

use super::Store;
use pebblepost_messages::batch::ToStore;
use pebblepost_messages::feed::StoreGroup;
use pebblepost_messages::{DiskId, Member};
use std::time::Duration;

impl Store {
    /// This machine is about to stop: others are to hold what it holds, and to act as primary.
    pub fn leave(&mut self, now: Duration) {
        self.is_leaving = true;
        self.leaving.insert(self.settings.me.disk);
        for peer in self.other_machines() {
            self.outbox.send_to_peer(peer, ToStore::ShuttingDown);
        }
        self.set_targets_anew(now);
    }

    /// Whether others still rely on this machine: it is in sync for a group.
    pub fn is_needed(&self) -> bool {
        let me = self.settings.me.disk;
        let is_in_sync = |member: &Member| member.disk == me;
        self.groups.values().any(|group| group.replica.record().in_sync.iter().any(is_in_sync))
    }

    /// Another machine is about to stop.
    pub(super) fn peer_leaves(&mut self, now: Duration, disk: DiskId) {
        log::info!("storage machine with disk {:x} is about to stop", disk.0);
        self.leaving.insert(disk);
        self.set_targets_anew(now);
    }

    /// The machines that should hold a group. In place of one that is about to stop, any other may.
    pub(super) fn targets(&self, assignment: &StoreGroup) -> Vec<Member> {
        let is_leaving = |member: &Member| self.leaving.contains(&member.disk);
        let mut targets = assignment.targets.clone();
        if !targets.iter().chain(&assignment.in_sync).any(is_leaving) {
            return targets;
        }
        for member in self.other_machines() {
            if targets.iter().all(|target| target.disk != member.disk) {
                targets.push(member);
            }
        }
        targets.retain(|member| !is_leaving(member));
        targets
    }

    /// All machines that hold groups or should, but for this one.
    fn other_machines(&self) -> Vec<Member> {
        let mut others: Vec<Member> = Vec::new();
        let assigned = self.assignments.values().flat_map(|other| other.in_sync.iter().chain(&other.targets));
        for member in assigned.filter(|member| member.disk != self.settings.me.disk) {
            if others.iter().all(|other| other.disk != member.disk) {
                others.push(member.clone());
            }
        }
        others
    }

    pub(super) fn set_targets_anew(&mut self, now: Duration) {
        let numbers: Vec<u32> = self.groups.keys().copied().collect();
        for number in numbers {
            self.configure_group(now, number);
            self.settle(now, number);
        }
    }
}
