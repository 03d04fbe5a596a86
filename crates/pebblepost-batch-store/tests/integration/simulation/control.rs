//! A control plane that is always there: a register of epochs changed by compare-and-swap, and
//! which machines replicate which group.

use pebblepost_messages::batch::STORE_GROUPS;
use pebblepost_messages::control::GroupEpoch;
use pebblepost_messages::feed::StoreGroup;
use pebblepost_messages::{DiskId, Member};
use std::collections::{BTreeMap, BTreeSet};

/// A machine that is disconnected for this time is replaced, in milliseconds.
const DEAD_AFTER_MS: u64 = 1_500;

#[derive(Debug)]
struct Known {
    member: Member,
    disconnected_since: Option<u64>,
}

/// A control plane.
#[derive(Debug)]
pub struct Control {
    replicas: usize,
    bootstrap_members: usize,
    known: BTreeMap<DiskId, Known>,
    groups: BTreeMap<u32, (GroupEpoch, Vec<DiskId>)>,
    /// Machines that are to be emptied, or were.
    retiring: BTreeSet<DiskId>,
    /// Machines that may have been taken away since.
    retired: BTreeSet<DiskId>,
}

impl Control {
    /// A control plane that creates the groups once `bootstrap_members` machines have announced themselves.
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

    /// A machine announced itself.
    pub fn announce(&mut self, member: &Member) {
        self.known.insert(member.disk, Known { member: member.clone(), disconnected_since: None });
        if self.groups.is_empty() && self.known.len() >= self.bootstrap_members {
            self.bootstrap();
        }
    }

    /// A machine's link is lost.
    pub fn lost(&mut self, now: u64, disk: DiskId) {
        if let Some(known) = self.known.get_mut(&disk) {
            known.disconnected_since.get_or_insert(now);
        }
    }

    /// Assigns groups of disconnected machines to others; whether anything changed.
    pub fn retarget(&mut self, now: u64) -> bool {
        let is_alive =
            |known: &Known| known.disconnected_since.is_none_or(|since| now < since + DEAD_AFTER_MS);
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

    /// Starts the retirement of a machine: its groups move to others.
    pub fn retire(&mut self, disk: DiskId) {
        self.retiring.insert(disk);
    }

    /// Whether a machine has no replicas: then no quorum may count on it any more.
    pub fn completes_retirement(&mut self, disk: DiskId) -> bool {
        let is_free = |(epoch, targets): &(GroupEpoch, Vec<DiskId>)| {
            let names_it = epoch.in_sync.contains(&disk) || targets.contains(&disk);
            !names_it && epoch.in_sync.len() >= self.replicas
        };
        let is_empty = self.groups.values().all(is_free);
        if is_empty {
            self.retired.insert(disk);
        }
        is_empty
    }

    /// Gives a group to other machines, those from `first` on.
    pub fn shift(&mut self, group: u32, first: usize) {
        let disks: Vec<DiskId> = self.known.keys().copied().collect();
        let targets = (0..self.replicas).map(|offset| disks[(first + offset) % disks.len()]).collect();
        self.groups.get_mut(&group).expect("a group").1 = targets;
    }

    /// Whether every group is replicated by its targets.
    pub fn is_converged(&self) -> bool {
        let is_converged = |(epoch, targets): &(GroupEpoch, Vec<DiskId>)| {
            epoch.in_sync.len() == targets.len() && epoch.in_sync.iter().all(|disk| targets.contains(disk))
        };
        self.groups.values().all(is_converged)
    }

    /// Changes an epoch if it is the expected one; whether it did, and what holds now.
    pub fn change(&mut self, group: u32, expected: u64, proposed: &GroupEpoch) -> (bool, GroupEpoch) {
        let (epoch, _) = self.groups.get_mut(&group).expect("a group");
        let counts_on_retired = proposed.in_sync.iter().any(|disk| self.retired.contains(disk));
        let is_accepted = epoch.epoch == expected && proposed.epoch == expected + 1 && !counts_on_retired;
        if is_accepted {
            *epoch = proposed.clone();
        }
        (is_accepted, epoch.clone())
    }

    /// What the feed says.
    pub fn feed(&self) -> Vec<StoreGroup> {
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
