//! Which changes of storage the primary should propose next: new disks, first assignment, re-replication after
//! failures, rebalancing, retirements, removal of lost disks.

use super::nodes::StorageNodes;
use super::placement::{self, Placement};
use crate::state::command::{Command, RetirementError};
use crate::state::{ControlState, RetirementState};
use pebblepost_messages::{DiskId, Member};
use pebblepost_replication::record::Tolerance;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time without a new disk before the groups are assigned for the first time.
const BOOTSTRAP_DELAY: Duration = Duration::from_millis(300);
/// Time in which only nodes that announced themselves for bootstrap take part in the first assignment.
const BOOTSTRAP_MEMBERS_ONLY: Duration = Duration::from_secs(5);

/// A decision at one moment, on the replicated state and the liveness of storage nodes.
#[derive(Clone, Copy, Debug)]
pub struct GroupPlanner<'a> {
    /// Time of the decision.
    pub now: Duration,
    /// The replicated state.
    pub state: &'a ControlState,
    /// Liveness of storage nodes.
    pub nodes: &'a StorageNodes,
    /// Failures that the groups have to survive.
    pub tolerance: &'a Tolerance,
}

impl GroupPlanner<'_> {
    /// The next commands to propose. They are of one kind, as later kinds build on the earlier ones being applied.
    pub fn plan(&self) -> Vec<Command> {
        let joins = self.joins();
        if !joins.is_empty() {
            return joins;
        }
        if self.state.groups().is_empty() {
            return self.bootstrap().into_iter().collect();
        }
        let retargets = self.retargets();
        if !retargets.is_empty() {
            return retargets;
        }
        let completions = self.completed_retirements();
        if !completions.is_empty() {
            return completions;
        }
        self.removals()
    }

    /// Whether a storage node may be retired; `Ok` also if it retires already.
    ///
    /// # Errors
    /// If the node is unknown, or the remaining ones would not survive the tolerated failures.
    pub fn check_retirement(&self, node: &str) -> Result<(), RetirementError> {
        if self.state.retirements().contains_key(node) {
            return Ok(());
        }
        if self.state.disks_of(node).is_empty() {
            return Err(RetirementError::UnknownNode);
        }
        let remaining: Vec<Member> =
            self.usable().into_values().filter(|member| member.node != node).collect();
        if self.tolerance.is_met_by(&remaining) { Ok(()) } else { Err(RetirementError::TooFewRemaining) }
    }

    /// Storage nodes that have to remain when one is retired.
    pub fn min_remaining(&self) -> u32 {
        u32::try_from(self.replication_factor()).unwrap_or(u32::MAX)
    }

    fn replication_factor(&self) -> usize {
        placement::replication_factor(self.tolerance)
    }

    /// Disks that may get replicas: live, not replaced, and not of a retiring node.
    fn usable(&self) -> BTreeMap<DiskId, Member> {
        let usable = |(disk, member): &(&DiskId, &Member)| {
            self.nodes.is_live(self.now, **disk)
                && !self.nodes.is_replaced(member)
                && !self.state.retirements().contains_key(&member.node)
        };
        self.state.stores().iter().filter(usable).map(|(disk, member)| (*disk, member.clone())).collect()
    }

    fn joins(&self) -> Vec<Command> {
        let is_new = |member: &&Member| self.state.stores().get(&member.disk) != Some(*member);
        let connected = self.nodes.connected().map(|announced| &announced.member);
        connected.filter(is_new).map(|member| Command::AddStore(member.clone())).collect()
    }

    fn bootstrap(&self) -> Option<Command> {
        if self.nodes.since_last_joined(self.now) < BOOTSTRAP_DELAY {
            return None;
        }
        let any_node = self.nodes.primary_for(self.now) >= BOOTSTRAP_MEMBERS_ONLY;
        let takes_part = |disk: &DiskId| {
            let announced = self.nodes.announced(*disk);
            announced.is_some_and(|announced| announced.is_connected() && (announced.bootstrap || any_node))
        };
        let usable: BTreeMap<DiskId, Member> =
            self.usable().into_iter().filter(|(disk, _)| takes_part(disk)).collect();
        let members: Vec<Member> = usable.values().cloned().collect();
        let is_enough = members.len() >= self.replication_factor() && self.tolerance.is_met_by(&members);
        is_enough.then(|| Command::BootstrapGroups(placement::assign_all_groups(&usable, self.tolerance)))
    }

    /// Replaces unusable targets; if there are none and no move is under way, moves one replica to an idle disk.
    fn retargets(&self) -> Vec<Command> {
        let usable = self.usable();
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
        if changed.is_empty() && self.targets_are_reached() {
            changed.extend(placement.rebalance(&usable));
        }
        let command = |group: u32| Command::SetTargets { group, targets: placement.targets(group).to_vec() };
        changed.into_iter().map(command).collect()
    }

    /// Whether each group's in-sync replicas are its targets.
    fn targets_are_reached(&self) -> bool {
        let mut assignments = self.state.groups().values();
        assignments.all(|assignment| same_disks(&assignment.epoch.in_sync, &assignment.targets))
    }

    fn completed_retirements(&self) -> Vec<Command> {
        let retirements = self.state.retirements().iter();
        let running = retirements.filter(|(_, state)| **state == RetirementState::Running);
        let empty = running.filter(|(node, _)| self.is_empty(node));
        empty.map(|(node, _)| Command::CompleteRetirement { node: node.clone() }).collect()
    }

    /// Whether no group references a node, and each has its full number of replicas elsewhere.
    fn is_empty(&self, node: &str) -> bool {
        let disks = self.state.disks_of(node);
        let replication_factor = self.replication_factor();
        self.state.groups().values().all(|assignment| {
            let is_referenced = disks.iter().any(|disk| assignment.references(*disk));
            !is_referenced && assignment.epoch.in_sync.len() >= replication_factor
        })
    }

    /// Disks that no group references and that were replaced, or disconnected for long.
    fn removals(&self) -> Vec<Command> {
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
