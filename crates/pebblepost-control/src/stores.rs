//! Storage machines as the primary sees them, and what it has to change in their groups.

use crate::placement::{self, Placement};
use crate::state::command::{Command, RetirementError};
use crate::state::{ControlState, RetirementState};
use pebblepost_messages::batch::STORE_GROUPS;
use pebblepost_messages::feed::StoreGroup;
use pebblepost_messages::{DiskId, Member};
use pebblepost_replication::record::Tolerance;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Silence after which a storage machine gets no groups and loses those it has.
const DEAD_AFTER: Duration = Duration::from_millis(1500);
/// Time that storage machines have to find a new primary of the control plane.
const GRACE_OF_NEW_PRIMARY: Duration = Duration::from_millis(4000);
/// Pause after the newest machine's announcement before the groups are founded.
const FOUNDING_PAUSE: Duration = Duration::from_millis(300);
/// Wait for machines that say that they are founders.
const FOUNDERS_ONLY: Duration = Duration::from_secs(5);
/// Silence after which a machine that holds nothing is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(120);

#[derive(Clone, Debug)]
struct Announced {
    member: Member,
    founding: bool,
    heard: Duration,
    /// When it announced itself last.
    connected_at: Duration,
    connections: usize,
}

/// Storage machines as the primary sees them.
#[derive(Clone, Debug)]
pub struct Stores {
    tolerance: Tolerance,
    announced: BTreeMap<DiskId, Announced>,
    newest: Duration,
    primary_since: Duration,
}

impl Stores {
    /// Nothing is known of any machine.
    pub fn new(tolerance: Tolerance) -> Stores {
        Stores {
            tolerance,
            announced: BTreeMap::new(),
            newest: Duration::ZERO,
            primary_since: Duration::ZERO,
        }
    }

    /// This process becomes primary: machines have some time to announce themselves.
    pub fn restart(&mut self, now: Duration) {
        self.announced.clear();
        self.newest = now;
        self.primary_since = now;
    }

    /// A machine announced itself.
    pub fn hello(&mut self, now: Duration, member: Member, founding: bool) {
        let announced = self.announced.entry(member.disk).or_insert_with(|| {
            self.newest = now;
            Announced { member: member.clone(), founding, heard: now, connected_at: now, connections: 0 }
        });
        announced.member = member;
        announced.heard = now;
        announced.connected_at = now;
        announced.connections += 1;
    }

    /// A machine sent something.
    pub fn heard(&mut self, now: Duration, disk: DiskId) {
        if let Some(announced) = self.announced.get_mut(&disk) {
            announced.heard = now;
        }
    }

    /// A machine's connection ended, maybe because it was silent: the silence counts from its last message.
    pub fn disconnected(&mut self, disk: DiskId) {
        if let Some(announced) = self.announced.get_mut(&disk) {
            announced.connections = announced.connections.saturating_sub(1);
        }
    }

    /// Whether a disk's machine is taken to be alive.
    pub fn is_live(&self, now: Duration, disk: DiskId) -> bool {
        match self.announced.get(&disk) {
            Some(announced) => announced.connections > 0 || now.saturating_sub(announced.heard) < DEAD_AFTER,
            None => now.saturating_sub(self.primary_since) < GRACE_OF_NEW_PRIMARY,
        }
    }

    /// Whether a disk's machine has come back with another disk: this one is lost for good.
    fn is_replaced(&self, member: &Member) -> bool {
        let own = self.announced.get(&member.disk).map(|known| known.connected_at);
        let is_later = |known: &Announced| own.is_none_or(|own| own < known.connected_at);
        let is_other =
            |known: &Announced| known.member.disk != member.disk && known.member.node == member.node;
        self.announced.values().any(|known| known.connections > 0 && is_other(known) && is_later(known))
    }

    /// Machines that may hold groups: alive and not being emptied.
    fn usable(&self, now: Duration, state: &ControlState) -> BTreeMap<DiskId, Member> {
        let usable = |(disk, member): &(&DiskId, &Member)| {
            self.is_live(now, **disk)
                && !self.is_replaced(member)
                && !state.retirements().contains_key(&member.node)
        };
        state.stores().iter().filter(usable).map(|(disk, member)| (*disk, member.clone())).collect()
    }

    /// Whether a machine may be emptied; `Ok` also if it is already.
    pub fn check_retirement(
        &self, now: Duration, state: &ControlState, node: &str,
    ) -> Result<(), RetirementError> {
        if state.retirements().contains_key(node) {
            return Ok(());
        }
        if state.disks_of(node).is_empty() {
            return Err(RetirementError::UnknownNode);
        }
        let remaining: Vec<Member> =
            self.usable(now, state).into_values().filter(|member| member.node != node).collect();
        if self.tolerance.is_met_by(&remaining) { Ok(()) } else { Err(RetirementError::TooFewRemaining) }
    }

    /// Machines that must remain beside one that is emptied.
    pub fn min_remaining(&self) -> u32 {
        u32::try_from(placement::copies(&self.tolerance)).unwrap_or(u32::MAX)
    }

    /// The next changes that the primary should propose; none while earlier ones are on their way.
    pub fn plan(&self, now: Duration, state: &ControlState) -> Vec<Command> {
        let joined = self.joins(state);
        if !joined.is_empty() {
            return joined;
        }
        if state.groups().is_empty() {
            return self.founding(now, state).into_iter().collect();
        }
        let retargeted = self.retarget(now, state);
        if !retargeted.is_empty() {
            return retargeted;
        }
        let completed = self.completed(state);
        if !completed.is_empty() {
            return completed;
        }
        self.forgotten(now, state)
    }

    fn joins(&self, state: &ControlState) -> Vec<Command> {
        let connected = self.announced.values().filter(|announced| announced.connections > 0);
        let new = connected
            .filter(|announced| state.stores().get(&announced.member.disk) != Some(&announced.member));
        new.map(|announced| Command::AddStore(announced.member.clone())).collect()
    }

    fn founding(&self, now: Duration, state: &ControlState) -> Option<Command> {
        if now.saturating_sub(self.newest) < FOUNDING_PAUSE {
            return None;
        }
        let anyone = now.saturating_sub(self.primary_since) >= FOUNDERS_ONLY;
        let founder = |disk: &DiskId| {
            let announced = self.announced.get(disk);
            announced.is_some_and(|announced| announced.connections > 0 && (announced.founding || anyone))
        };
        let usable: BTreeMap<DiskId, Member> =
            self.usable(now, state).into_iter().filter(|(disk, _)| founder(disk)).collect();
        let members: Vec<Member> = usable.values().cloned().collect();
        let enough =
            members.len() >= placement::copies(&self.tolerance) && self.tolerance.is_met_by(&members);
        enough.then(|| Command::BootstrapGroups(placement::found(&usable, &self.tolerance)))
    }

    fn retarget(&self, now: Duration, state: &ControlState) -> Vec<Command> {
        let usable = self.usable(now, state);
        let copies = placement::copies(&self.tolerance);
        let wanted = state.groups().iter().map(|(group, assignment)| (*group, assignment.targets.as_slice()));
        let mut placement = Placement::new(wanted, &usable);
        for group in state.groups().keys() {
            placement.fill(*group, copies, &usable);
        }
        let changes = |group: &u32| {
            let targets = placement.targets(*group);
            targets.len() >= copies && !same_disks(targets, &state.groups()[group].targets)
        };
        let mut changed: Vec<u32> = state.groups().keys().copied().filter(changes).collect();
        if changed.is_empty() && self.is_settled(state) {
            changed.extend(placement.balance(&usable));
        }
        let command = |group: u32| Command::SetTargets { group, targets: placement.targets(group).to_vec() };
        changed.into_iter().map(command).collect()
    }

    /// Whether every group is held by those who should hold it.
    fn is_settled(&self, state: &ControlState) -> bool {
        state.groups().values().all(|assignment| same_disks(&assignment.epoch.in_sync, &assignment.targets))
    }

    fn completed(&self, state: &ControlState) -> Vec<Command> {
        let running = state.retirements().iter().filter(|(_, state)| **state == RetirementState::Running);
        let empty = running.filter(|(node, _)| self.is_empty(state, node));
        empty.map(|(node, _)| Command::CompleteRetirement { node: node.clone() }).collect()
    }

    fn is_empty(&self, state: &ControlState, node: &str) -> bool {
        let disks = state.disks_of(node);
        let copies = placement::copies(&self.tolerance);
        state.groups().values().all(|assignment| {
            let in_sync = &assignment.epoch.in_sync;
            let held = disks.iter().any(|disk| in_sync.contains(disk) || assignment.targets.contains(disk));
            !held && in_sync.len() >= copies
        })
    }

    fn forgotten(&self, now: Duration, state: &ControlState) -> Vec<Command> {
        let mentioned: BTreeSet<DiskId> = state
            .groups()
            .values()
            .flat_map(|assignment| assignment.epoch.in_sync.iter().chain(&assignment.targets))
            .copied()
            .collect();
        let silent = |disk: &DiskId| match self.announced.get(disk) {
            Some(announced) => {
                announced.connections == 0 && now.saturating_sub(announced.heard) > FORGET_AFTER
            }
            None => now.saturating_sub(self.primary_since) > FORGET_AFTER,
        };
        let retired = |member: &Member| state.retirements().contains_key(&member.node);
        let forget = |(disk, member): &(&DiskId, &Member)| {
            let connected = self.announced.get(*disk).is_some_and(|announced| announced.connections > 0);
            !connected
                && !mentioned.contains(disk)
                && !retired(member)
                && (silent(disk) || self.is_replaced(member))
        };
        let forgotten = state.stores().iter().filter(forget);
        forgotten.map(|(disk, _)| Command::RemoveStore(*disk)).collect()
    }
}

/// What the feed says of the groups.
pub fn feed_groups(state: &ControlState) -> Vec<StoreGroup> {
    let member = |disk: &DiskId| {
        let unknown = || Member { disk: *disk, ..Member::default() };
        state.stores().get(disk).cloned().unwrap_or_else(unknown)
    };
    let groups = state.groups().iter().filter(|(group, _)| **group < STORE_GROUPS);
    let feed = groups.map(|(group, assignment)| StoreGroup {
        group: *group,
        epoch: assignment.epoch.epoch,
        primary: member(&assignment.epoch.primary),
        in_sync: assignment.epoch.in_sync.iter().map(member).collect(),
        targets: assignment.targets.iter().map(member).collect(),
    });
    feed.collect()
}

fn same_disks(left: &[DiskId], right: &[DiskId]) -> bool {
    left.len() == right.len() && left.iter().all(|disk| right.contains(disk))
}
