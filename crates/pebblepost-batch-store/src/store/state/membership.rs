//! Assignments of store groups to machines by the control plane, and the machines that are shutting down.
//!
//! This module holds the assignments and the known machines. It makes no decisions about replicas; the
//! handlers of assignments pass this information to them.

use pebblepost_messages::feed::StoreGroup;
use pebblepost_messages::{DiskId, Member};
use std::collections::{BTreeMap, BTreeSet};

/// Assignments of store groups, known machines, and machines in graceful shutdown.
#[derive(Debug)]
pub(crate) struct Membership {
    /// This machine.
    local: Member,
    assignments: BTreeMap<u32, StoreGroup>,
    members: BTreeMap<DiskId, Member>,
    /// Disks of the machines that are shutting down.
    draining: BTreeSet<DiskId>,
}

impl Membership {
    pub(crate) fn new(local: Member) -> Membership {
        Membership {
            members: BTreeMap::from([(local.disk, local.clone())]),
            local,
            assignments: BTreeMap::new(),
            draining: BTreeSet::new(),
        }
    }

    /// Stores an assignment, unless a newer one is known, and adds the machines in it.
    ///
    /// Returns whether the assignment was stored.
    pub(crate) fn update_assignment(&mut self, assignment: &StoreGroup) -> bool {
        self.add_members_of(assignment);
        let known = self.assignments.get(&assignment.group);
        if known.is_some_and(|known| known.epoch > assignment.epoch) {
            return false;
        }
        self.assignments.insert(assignment.group, assignment.clone());
        true
    }

    /// Returns the newest assignment of a store group.
    pub(crate) fn assignment(&self, group_id: u32) -> Option<&StoreGroup> {
        self.assignments.get(&group_id)
    }

    /// Returns whether the newest assignment of a store group includes this machine.
    pub(crate) fn is_assigned(&self, group_id: u32) -> bool {
        self.assignments.get(&group_id).is_some_and(|assignment| self.includes_local(assignment))
    }

    /// Returns whether this machine is an in-sync replica or a target in an assignment.
    pub(crate) fn includes_local(&self, assignment: &StoreGroup) -> bool {
        let mut members = assignment.in_sync.iter().chain(&assignment.targets);
        members.any(|member| member.disk == self.local.disk)
    }

    /// Adds a machine, or replaces the known one with the same disk.
    pub(crate) fn add_member(&mut self, member: Member) {
        self.members.insert(member.disk, member);
    }

    /// Returns a machine by its disk.
    pub(crate) fn member(&self, disk: DiskId) -> Option<&Member> {
        self.members.get(&disk)
    }

    /// Returns all known machines, by disk.
    pub(crate) fn members(&self) -> &BTreeMap<DiskId, Member> {
        &self.members
    }

    /// Marks a machine as shutting down.
    pub(crate) fn start_draining(&mut self, disk: DiskId) {
        self.draining.insert(disk);
    }

    /// Marks a machine as no longer shutting down. Returns whether it was.
    pub(crate) fn stop_draining(&mut self, disk: DiskId) -> bool {
        self.draining.remove(&disk)
    }

    /// Returns the machines that should replicate a store group.
    ///
    /// If one of the assigned machines is shutting down, all other known replicas and targets of any store
    /// group become targets, and the machines that are shutting down are left out.
    pub(crate) fn targets(&self, assignment: &StoreGroup) -> Vec<Member> {
        let is_draining = |member: &Member| self.draining.contains(&member.disk);
        let mut targets = assignment.targets.clone();
        if !targets.iter().chain(&assignment.in_sync).any(is_draining) {
            return targets;
        }
        for member in self.peers() {
            if targets.iter().all(|target| target.disk != member.disk) {
                targets.push(member);
            }
        }
        targets.retain(|member| !is_draining(member));
        targets
    }

    /// Returns all other machines that are in-sync replicas or targets of any store group.
    pub(crate) fn peers(&self) -> Vec<Member> {
        let mut peers: Vec<Member> = Vec::new();
        let assigned = self.assignments.values().flat_map(|other| other.in_sync.iter().chain(&other.targets));
        for member in assigned.filter(|member| member.disk != self.local.disk) {
            if peers.iter().all(|peer| peer.disk != member.disk) {
                peers.push(member.clone());
            }
        }
        peers
    }

    fn add_members_of(&mut self, assignment: &StoreGroup) {
        let members = assignment.in_sync.iter().chain(&assignment.targets).chain([&assignment.primary]);
        for member in members.filter(|member| !member.address.is_empty()) {
            self.members.insert(member.disk, member.clone());
        }
    }
}
