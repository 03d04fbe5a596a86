//! A control plane without faults. It stores the epoch of each store group, changed by compare-and-swap, and assigns
//! groups to machines.

use pebblepost_messages::batch::STORE_GROUPS;
use pebblepost_messages::control::GroupEpoch;
use pebblepost_messages::feed::StoreGroup;
use pebblepost_messages::{DiskId, Member};
use std::collections::{BTreeMap, BTreeSet};

/// Time after which a disconnected machine is replaced, in milliseconds.
const REPLACE_DISCONNECTED_AFTER_MS: u64 = 1_500;

#[derive(Debug)]
struct KnownMachine {
    member: Member,
    disconnected_since: Option<u64>,
}

/// A simulated control plane.
#[derive(Debug)]
pub struct Control {
    replicas: usize,
    bootstrap_members: usize,
    known: BTreeMap<DiskId, KnownMachine>,
    /// Epoch and assigned machines of each group.
    groups: BTreeMap<u32, (GroupEpoch, Vec<DiskId>)>,
    /// Machines whose retirement has started. They get no groups.
    retiring: BTreeSet<DiskId>,
    /// Machines whose retirement is complete, which may have been removed since.
    retired: BTreeSet<DiskId>,
}

impl Control {
    /// Creates a control plane that creates the groups once `bootstrap_members` machines are registered.
    pub fn new(replicas: usize, bootstrap_members: usize) -> Control {
        Control {
            replicas,
            bootstrap_members,
            known: BTreeMap::new(),
            groups: BTreeMap::new(),
            retiring: BTreeSet::new(),
            retired: BTreeSet::new(),
        }
    }

    /// Registers a machine that has connected.
    pub fn register(&mut self, member: &Member) {
        self.known.insert(member.disk, KnownMachine { member: member.clone(), disconnected_since: None });
        if self.groups.is_empty() && self.known.len() >= self.bootstrap_members {
            self.bootstrap();
        }
    }

    /// Records that a machine is disconnected.
    pub fn handle_disconnect(&mut self, now: u64, disk: DiskId) {
        if let Some(known) = self.known.get_mut(&disk) {
            known.disconnected_since.get_or_insert(now);
        }
    }

    /// Assigns the groups of disconnected and retiring machines to others. Returns whether anything changed.
    pub fn replace_disconnected(&mut self, now: u64) -> bool {
        let is_alive = |known: &KnownMachine| {
            known.disconnected_since.is_none_or(|since| now < since + REPLACE_DISCONNECTED_AFTER_MS)
        };
        let alive = self.known.iter().filter(|(_, known)| is_alive(known)).map(|(disk, _)| *disk);
        let alive: Vec<DiskId> = alive.filter(|disk| !self.retiring.contains(disk)).collect();
        let mut changed = false;
        for group in self.groups.keys().copied().collect::<Vec<_>>() {
            let mut targets = self.groups[&group].1.clone();
            targets.retain(|disk| alive.contains(disk));
            while targets.len() < self.replicas {
                let load = |disk: &&DiskId| {
                    self.groups.values().filter(|(_, assigned)| assigned.contains(disk)).count()
                };
                let free = alive.iter().filter(|disk| !targets.contains(disk));
                let Some(next) = free.min_by_key(load) else { break };
                targets.push(*next);
            }
            let assigned = &mut self.groups.get_mut(&group).expect("a group").1;
            if targets.len() >= self.replicas && *assigned != targets {
                *assigned = targets;
                changed = true;
            }
        }
        changed
    }

    /// Starts the retirement of a machine, whose groups are assigned to others.
    pub fn retire(&mut self, disk: DiskId) {
        self.retiring.insert(disk);
    }

    /// Completes the retirement of a machine if no group depends on it. From then on, no epoch that names it is
    /// accepted. Returns whether the retirement is complete.
    pub fn try_complete_retirement(&mut self, disk: DiskId) -> bool {
        let is_independent = |(epoch, targets): &(GroupEpoch, Vec<DiskId>)| {
            let is_replica = epoch.in_sync.contains(&disk) || targets.contains(&disk);
            !is_replica && epoch.in_sync.len() >= self.replicas
        };
        let is_empty = self.groups.values().all(is_independent);
        if is_empty {
            self.retired.insert(disk);
        }
        is_empty
    }

    /// Assigns a group to consecutive machines, beginning with the one at index `first`.
    pub fn assign_group(&mut self, group: u32, first: usize) {
        let disks: Vec<DiskId> = self.known.keys().copied().collect();
        let targets = (0..self.replicas).map(|offset| disks[(first + offset) % disks.len()]).collect();
        self.groups.get_mut(&group).expect("a group").1 = targets;
    }

    /// Whether the in-sync replicas of every group are its targets.
    pub fn is_converged(&self) -> bool {
        let is_converged = |(epoch, targets): &(GroupEpoch, Vec<DiskId>)| {
            epoch.in_sync.len() == targets.len() && epoch.in_sync.iter().all(|disk| targets.contains(disk))
        };
        self.groups.values().all(is_converged)
    }

    /// Replaces the epoch of a group if its number is the expected one. Returns whether it did, and the current
    /// epoch.
    pub fn compare_and_swap_epoch(
        &mut self, group: u32, expected: u64, proposed: &GroupEpoch,
    ) -> (bool, GroupEpoch) {
        let (epoch, _) = self.groups.get_mut(&group).expect("a group");
        let names_retired = proposed.in_sync.iter().any(|disk| self.retired.contains(disk));
        let is_accepted = epoch.epoch == expected && proposed.epoch == expected + 1 && !names_retired;
        if is_accepted {
            *epoch = proposed.clone();
        }
        (is_accepted, epoch.clone())
    }

    /// Returns the store groups for the feed.
    pub fn feed_groups(&self) -> Vec<StoreGroup> {
        let member = |disk: &DiskId| self.known[disk].member.clone();
        let group = |(group, (epoch, targets)): (&u32, &(GroupEpoch, Vec<DiskId>))| StoreGroup {
            group: *group,
            epoch: epoch.epoch,
            primary: member(&epoch.primary),
            in_sync: epoch.in_sync.iter().map(member).collect(),
            targets: targets.iter().map(member).collect(),
        };
        self.groups.iter().map(group).collect()
    }

    fn bootstrap(&mut self) {
        let disks: Vec<DiskId> = self.known.keys().copied().collect();
        for group in 0..STORE_GROUPS {
            let first = group as usize % disks.len();
            let replicas: Vec<DiskId> =
                (0..self.replicas).map(|offset| disks[(first + offset) % disks.len()]).collect();
            let epoch = GroupEpoch { epoch: 1, primary: replicas[0], in_sync: replicas.clone() };
            self.groups.insert(group, (epoch, replicas));
        }
    }
}
