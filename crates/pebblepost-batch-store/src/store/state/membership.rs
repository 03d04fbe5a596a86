//! Which machines replicate which group, as assigned by the control plane, and which of them shut down.
//!
//! Owns the assignments and the known machines. It decides nothing about replicas: the
//! handlers of assignments hand these on to them.

use pebblepost_messages::feed::StoreGroup;
use pebblepost_messages::{DiskId, Member};
use std::collections::{BTreeMap, BTreeSet};

/// Assignments, known machines and machines in graceful shutdown.
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

    /// Takes in an assignment and the machines in it; whether it is as new as the one known.
    pub(crate) fn assign(&mut self, assignment: &StoreGroup) -> bool {
        self.add_members_of(assignment);
        let known = self.assignments.get(&assignment.group);
        if known.is_some_and(|known| known.epoch > assignment.epoch) {
            return false;
        }
        self.assignments.insert(assignment.group, assignment.clone());
        true
    }

    /// The newest assignment of a group.
    pub(crate) fn assignment(&self, group_id: u32) -> Option<&StoreGroup> {
        self.assignments.get(&group_id)
    }

    /// Whether this machine replicates a group, or is to.
    pub(crate) fn is_assigned(&self, group_id: u32) -> bool {
        self.assignments.get(&group_id).is_some_and(|assignment| self.includes_local(assignment))
    }

    /// Whether this machine is a replica in an assignment, or is to become one.
    pub(crate) fn includes_local(&self, assignment: &StoreGroup) -> bool {
        let mut members = assignment.in_sync.iter().chain(&assignment.targets);
        members.any(|member| member.disk == self.local.disk)
    }

    /// Adds a machine, or replaces what was known of it.
    pub(crate) fn add_member(&mut self, member: Member) {
        self.members.insert(member.disk, member);
    }

    /// A machine by its disk.
    pub(crate) fn member(&self, disk: DiskId) -> Option<&Member> {
        self.members.get(&disk)
    }

    /// All known machines.
    pub(crate) fn members(&self) -> &BTreeMap<DiskId, Member> {
        &self.members
    }

    /// A machine is shutting down.
    pub(crate) fn start_draining(&mut self, disk: DiskId) {
        self.draining.insert(disk);
    }

    /// A machine has started again; whether it was shutting down.
    pub(crate) fn stop_draining(&mut self, disk: DiskId) -> bool {
        self.draining.remove(&disk)
    }

    /// The machines that should replicate a group. In place of one that is shutting down, any other may.
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

    /// All other machines that replicate a group, or are to.
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
