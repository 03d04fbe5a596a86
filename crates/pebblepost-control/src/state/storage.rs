//! The replicated state of storage: known disks, the assignment of store groups to them, and retirements.

use super::command::{InitialAssignment, Outcome, RetirementError};
use nanoserde::{DeBin, SerBin};
use pebblepost_messages::control::GroupEpoch;
use pebblepost_messages::{DiskId, Member};
use std::collections::{BTreeMap, BTreeSet};

/// Progress of a storage node's retirement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub enum RetirementState {
    /// Store groups are being moved off the node.
    #[default]
    Running,
    /// The node holds no replicas and may be shut down permanently.
    Completed,
}

/// Assignment of a store group.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct GroupAssignment {
    /// The current epoch, with its in-sync replicas and primary.
    pub epoch: GroupEpoch,
    /// Disks to which the group is moved.
    pub targets: Vec<DiskId>,
}

impl GroupAssignment {
    /// Returns whether a disk has an in-sync replica of the group or is a target.
    pub fn references(&self, disk: DiskId) -> bool {
        self.epoch.in_sync.contains(&disk) || self.targets.contains(&disk)
    }
}

/// Disks, groups and retirements.
#[derive(Clone, Debug, Default)]
pub(super) struct StorageState {
    pub(super) groups: BTreeMap<u32, GroupAssignment>,
    pub(super) stores: BTreeMap<DiskId, Member>,
    pub(super) retirements: BTreeMap<String, RetirementState>,
}

impl StorageState {
    /// Returns the disks that a storage node has or had.
    pub(super) fn disks_of(&self, node: &str) -> Vec<DiskId> {
        let of_node = self.stores.values().filter(|member| member.node == node);
        of_node.map(|member| member.disk).collect()
    }

    /// Makes the initial assignment of all groups. It has no effect if there are groups already.
    pub(super) fn bootstrap_groups(&mut self, assignments: Vec<InitialAssignment>) -> Outcome {
        if !self.groups.is_empty() {
            return Outcome::Applied;
        }
        for InitialAssignment { group, primary, replicas } in assignments {
            let epoch = GroupEpoch { epoch: 1, primary, in_sync: replicas.clone() };
            self.groups.insert(group, GroupAssignment { epoch, targets: replicas });
        }
        Outcome::Applied
    }

    /// Changes the epoch of a group by compare-and-swap. Only an in-sync replica knows which replicas are complete,
    /// so only in-sync replicas may propose the next in-sync set and primary.
    pub(super) fn change_group(
        &mut self, proposer: DiskId, group: u32, expected_epoch: u64, proposed: GroupEpoch,
    ) -> Outcome {
        let Some(current) = self.groups.get(&group).map(|assignment| assignment.epoch.clone()) else {
            return Outcome::GroupChanged { accepted: false, current: GroupEpoch::default() };
        };
        if current == proposed {
            return Outcome::GroupChanged { accepted: true, current };
        }
        let follows =
            current.epoch == expected_epoch && expected_epoch.checked_add(1) == Some(proposed.epoch);
        let is_authorized =
            current.in_sync.contains(&proposer) && proposed.in_sync.contains(&proposed.primary);
        // A change may be applied after the retirement of a node that it includes, although it was proposed before.
        let includes_retired = proposed.in_sync.iter().any(|disk| self.is_retired(*disk));
        if !follows || !is_authorized || includes_retired {
            return Outcome::GroupChanged { accepted: false, current };
        }
        if let Some(assignment) = self.groups.get_mut(&group) {
            assignment.epoch = proposed.clone();
        }
        Outcome::GroupChanged { accepted: true, current: proposed }
    }

    pub(super) fn set_targets(&mut self, group: u32, targets: Vec<DiskId>) -> Outcome {
        if let Some(assignment) = self.groups.get_mut(&group) {
            assignment.targets = targets;
        }
        Outcome::Applied
    }

    pub(super) fn add_store(&mut self, member: Member) -> Outcome {
        self.stores.insert(member.disk, member);
        Outcome::Applied
    }

    pub(super) fn remove_store(&mut self, disk: DiskId) -> Outcome {
        self.stores.remove(&disk);
        Outcome::Applied
    }

    /// Starts a retirement if at least `min_remaining` other nodes are not retiring. The log serializes concurrent
    /// retirements, so each one takes all earlier ones into account.
    pub(super) fn retire(&mut self, node: String, min_remaining: u32) -> Outcome {
        if self.retirements.contains_key(&node) {
            return Outcome::Retiring;
        }
        if self.disks_of(&node).is_empty() {
            return Outcome::RetirementRejected(RetirementError::UnknownNode);
        }
        let remains = |other: &&String| **other != node && !self.retirements.contains_key(*other);
        let nodes: BTreeSet<&String> = self.stores.values().map(|member| &member.node).collect();
        if nodes.into_iter().filter(remains).count() < min_remaining as usize {
            return Outcome::RetirementRejected(RetirementError::TooFewRemaining);
        }
        self.retirements.insert(node, RetirementState::Running);
        Outcome::Retiring
    }

    /// Completes a retirement. It has no effect if a group references the node again.
    pub(super) fn complete_retirement(&mut self, node: &str) -> Outcome {
        let disks = self.disks_of(node);
        let is_referenced =
            |assignment: &GroupAssignment| disks.iter().any(|disk| assignment.references(*disk));
        if self.groups.values().any(is_referenced) {
            return Outcome::Applied;
        }
        if let Some(state) = self.retirements.get_mut(node) {
            *state = RetirementState::Completed;
        }
        Outcome::Applied
    }

    /// Returns whether a disk belongs to a retired storage node, which the operator may have shut down permanently.
    fn is_retired(&self, disk: DiskId) -> bool {
        let node = self.stores.get(&disk).map(|member| &member.node);
        let retirement = node.and_then(|node| self.retirements.get(node));
        retirement == Some(&RetirementState::Completed)
    }
}
