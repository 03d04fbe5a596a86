//! Planner of the store groups. It decides which changes the primary should propose next: new disks, the initial
//! assignment, re-replication after failures, rebalancing, retirements and the removal of lost disks.

use super::nodes::StorageNodes;
use super::placement::{self, Placement};
use crate::state::command::{Command, RetirementError};
use crate::state::{ControlState, RetirementState};
use pebblepost_messages::{DiskId, Member};
use pebblepost_replication::record::Tolerance;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time without a new disk before the initial assignment of groups.
const BOOTSTRAP_DELAY: Duration = Duration::from_millis(300);
/// Time after a takeover in which only nodes that announced themselves for bootstrap take part in the initial
/// assignment.
const BOOTSTRAP_NODES_ONLY_PERIOD: Duration = Duration::from_secs(5);

/// Planner at one point in time, based on the replicated state and the liveness of storage nodes.
#[derive(Clone, Copy, Debug)]
pub struct GroupPlanner<'a> {
    /// Current time.
    pub now: Duration,
    /// The replicated state.
    pub state: &'a ControlState,
    /// Liveness of storage nodes.
    pub nodes: &'a StorageNodes,
    /// Failures that store groups have to survive.
    pub tolerance: &'a Tolerance,
}

impl GroupPlanner<'_> {
    /// Returns the next commands to propose. They are all of one kind, because commands of a later kind depend on the
    /// applied effect of those of an earlier kind.
    pub fn plan(&self) -> Vec<Command> {
        let store_additions = self.store_additions();
        if !store_additions.is_empty() {
            return store_additions;
        }
        if self.state.groups().is_empty() {
            return self.initial_assignment().into_iter().collect();
        }
        let target_changes = self.target_changes();
        if !target_changes.is_empty() {
            return target_changes;
        }
        let completions = self.retirement_completions();
        if !completions.is_empty() {
            return completions;
        }
        self.store_removals()
    }

    /// Checks whether a storage node may be retired. Succeeds if its retirement has started already.
    ///
    /// # Errors
    /// If the node is unknown, or the remaining nodes could not survive the tolerated failures.
    pub fn check_retirement(&self, node: &str) -> Result<(), RetirementError> {
        if self.state.retirements().contains_key(node) {
            return Ok(());
        }
        if self.state.disks_of(node).is_empty() {
            return Err(RetirementError::UnknownNode);
        }
        let remaining: Vec<Member> =
            self.usable_disks().into_values().filter(|member| member.node != node).collect();
        if self.tolerance.is_met_by(&remaining) { Ok(()) } else { Err(RetirementError::TooFewRemaining) }
    }

    /// Returns the number of storage nodes that have to remain when one is retired.
    pub fn min_remaining(&self) -> u32 {
        u32::try_from(self.replication_factor()).unwrap_or(u32::MAX)
    }

    fn replication_factor(&self) -> usize {
        placement::replication_factor(self.tolerance)
    }

    /// Returns the disks that may be assigned replicas. They are live, not replaced, and not of a retiring node.
    fn usable_disks(&self) -> BTreeMap<DiskId, Member> {
        let usable = |(disk, member): &(&DiskId, &Member)| {
            self.nodes.is_live(self.now, **disk)
                && !self.nodes.is_replaced(member)
                && !self.state.retirements().contains_key(&member.node)
        };
        self.state.stores().iter().filter(usable).map(|(disk, member)| (*disk, member.clone())).collect()
    }

    fn store_additions(&self) -> Vec<Command> {
        let is_new = |member: &&Member| self.state.stores().get(&member.disk) != Some(*member);
        let connected = self.nodes.connected().map(|announced| &announced.member);
        connected.filter(is_new).map(|member| Command::AddStore(member.clone())).collect()
    }

    fn initial_assignment(&self) -> Option<Command> {
        if self.nodes.time_since_last_join(self.now) < BOOTSTRAP_DELAY {
            return None;
        }
        let any_node = self.nodes.time_as_primary(self.now) >= BOOTSTRAP_NODES_ONLY_PERIOD;
        let takes_part = |disk: &DiskId| {
            let announced = self.nodes.announced(*disk);
            announced.is_some_and(|announced| announced.is_connected() && (announced.bootstrap || any_node))
        };
        let usable: BTreeMap<DiskId, Member> =
            self.usable_disks().into_iter().filter(|(disk, _)| takes_part(disk)).collect();
        let members: Vec<Member> = usable.values().cloned().collect();
        let is_enough = members.len() >= self.replication_factor() && self.tolerance.is_met_by(&members);
        is_enough.then(|| Command::BootstrapGroups(placement::assign_all_groups(&usable, self.tolerance)))
    }

    /// Replaces unusable targets. If there are none and all groups have reached their targets, moves one replica to a
    /// disk with fewer groups.
    fn target_changes(&self) -> Vec<Command> {
        let usable = self.usable_disks();
        let replication_factor = self.replication_factor();
        let groups = self.state.groups();
        let current = groups.iter().map(|(group, assignment)| (*group, assignment.targets.as_slice()));
        let mut placement = Placement::new(current, &usable);
        for group in groups.keys() {
            placement.fill(*group, replication_factor, &usable);
        }
        let has_changed = |group: &u32| {
            let targets = placement.targets(*group);
            targets.len() >= replication_factor && !same_disks(targets, &groups[group].targets)
        };
        let mut changed: Vec<u32> = groups.keys().copied().filter(has_changed).collect();
        if changed.is_empty() && self.are_targets_reached() {
            changed.extend(placement.rebalance(&usable));
        }
        let command = |group: u32| Command::SetTargets { group, targets: placement.targets(group).to_vec() };
        changed.into_iter().map(command).collect()
    }

    /// Returns whether the in-sync replicas of every group are its targets.
    fn are_targets_reached(&self) -> bool {
        let mut assignments = self.state.groups().values();
        assignments.all(|assignment| same_disks(&assignment.epoch.in_sync, &assignment.targets))
    }

    fn retirement_completions(&self) -> Vec<Command> {
        let retirements = self.state.retirements().iter();
        let running = retirements.filter(|(_, state)| **state == RetirementState::Running);
        let empty = running.filter(|(node, _)| self.can_complete_retirement(node));
        empty.map(|(node, _)| Command::CompleteRetirement { node: node.clone() }).collect()
    }

    /// Returns whether no group references a node, and all groups have their full number of in-sync replicas elsewhere.
    fn can_complete_retirement(&self, node: &str) -> bool {
        let disks = self.state.disks_of(node);
        let replication_factor = self.replication_factor();
        self.state.groups().values().all(|assignment| {
            let is_referenced = disks.iter().any(|disk| assignment.references(*disk));
            !is_referenced && assignment.epoch.in_sync.len() >= replication_factor
        })
    }

    /// Returns the removal of disks that no group references and that were replaced or disconnected for long.
    fn store_removals(&self) -> Vec<Command> {
        let assignments = self.state.groups().values();
        let referenced: BTreeSet<DiskId> = assignments
            .flat_map(|assignment| assignment.epoch.in_sync.iter().chain(&assignment.targets))
            .copied()
            .collect();
        let is_retiring = |member: &Member| self.state.retirements().contains_key(&member.node);
        let is_lost = |(disk, member): &(&DiskId, &Member)| {
            !self.nodes.is_connected(**disk)
                && !referenced.contains(disk)
                && !is_retiring(member)
                && (self.nodes.is_removable(self.now, **disk) || self.nodes.is_replaced(member))
        };
        let lost = self.state.stores().iter().filter(is_lost);
        lost.map(|(disk, _)| Command::RemoveStore(*disk)).collect()
    }
}

fn same_disks(left: &[DiskId], right: &[DiskId]) -> bool {
    left.len() == right.len() && left.iter().all(|disk| right.contains(disk))
}
