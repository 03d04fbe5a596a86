//! A control plane that is always there: a register of epochs changed by compare-and-swap, and
//! who should hold which group.

use pebblepost_messages::batch::STORE_GROUPS;
use pebblepost_messages::control::GroupEpoch;
use pebblepost_messages::feed::StoreGroup;
use pebblepost_messages::{DiskId, Member};
use std::collections::{BTreeMap, BTreeSet};

/// A machine that is away for so long is replaced, in milliseconds.
const DEAD_AFTER_MS: u64 = 1_500;

#[derive(Debug)]
struct Known {
    member: Member,
    away_since: Option<u64>,
}

/// A control plane.
#[derive(Debug)]
pub struct Control {
    copies: usize,
    founders: usize,
    known: BTreeMap<DiskId, Known>,
    groups: BTreeMap<u32, (GroupEpoch, Vec<DiskId>)>,
    /// Machines that are to be emptied, or were.
    retiring: BTreeSet<DiskId>,
    /// Machines that may have been taken away since.
    retired: BTreeSet<DiskId>,
}

impl Control {
    /// A control plane that founds the groups once `founders` machines are there.
    pub fn new(copies: usize, founders: usize) -> Control {
        Control {
            copies,
            founders,
            known: BTreeMap::new(),
            groups: BTreeMap::new(),
            retiring: BTreeSet::new(),
            retired: BTreeSet::new(),
        }
    }

    /// A machine announced itself.
    pub fn hello(&mut self, member: &Member) {
        self.known.insert(member.disk, Known { member: member.clone(), away_since: None });
        if self.groups.is_empty() && self.known.len() >= self.founders {
            self.found();
        }
    }

    /// A machine's link is lost.
    pub fn lost(&mut self, now: u64, disk: DiskId) {
        if let Some(known) = self.known.get_mut(&disk) {
            known.away_since.get_or_insert(now);
        }
    }

    /// Gives groups of machines that are away to others; whether anything changed.
    pub fn retarget(&mut self, now: u64) -> bool {
        let is_alive = |known: &Known| known.away_since.is_none_or(|since| now < since + DEAD_AFTER_MS);
        let alive = self.known.iter().filter(|(_, known)| is_alive(known)).map(|(disk, _)| *disk);
        let alive: Vec<DiskId> = alive.filter(|disk| !self.retiring.contains(disk)).collect();
        let mut changed = false;
        for group in self.groups.keys().copied().collect::<Vec<_>>() {
            let mut targets = self.groups[&group].1.clone();
            targets.retain(|disk| alive.contains(disk));
            while targets.len() < self.copies {
                let load =
                    |disk: &&DiskId| self.groups.values().filter(|(_, held)| held.contains(disk)).count();
                let free = alive.iter().filter(|disk| !targets.contains(disk));
                let Some(next) = free.min_by_key(load) else { break };
                targets.push(*next);
            }
            let held = &mut self.groups.get_mut(&group).expect("a group").1;
            if targets.len() >= self.copies && *held != targets {
                *held = targets;
                changed = true;
            }
        }
        changed
    }

    /// Wants a machine to be emptied.
    pub fn retire(&mut self, disk: DiskId) {
        self.retiring.insert(disk);
    }

    /// Whether a machine is empty: then nothing may count on it any more.
    pub fn completes_retirement(&mut self, disk: DiskId) -> bool {
        let is_free = |(epoch, targets): &(GroupEpoch, Vec<DiskId>)| {
            let names_it = epoch.in_sync.contains(&disk) || targets.contains(&disk);
            !names_it && epoch.in_sync.len() >= self.copies
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
        let targets = (0..self.copies).map(|offset| disks[(first + offset) % disks.len()]).collect();
        self.groups.get_mut(&group).expect("a group").1 = targets;
    }

    /// Whether every group is held by those who should hold it.
    pub fn is_settled(&self) -> bool {
        let is_settled = |(epoch, targets): &(GroupEpoch, Vec<DiskId>)| {
            epoch.in_sync.len() == targets.len() && epoch.in_sync.iter().all(|disk| targets.contains(disk))
        };
        self.groups.values().all(is_settled)
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

    fn found(&mut self) {
        let disks: Vec<DiskId> = self.known.keys().copied().collect();
        for group in 0..STORE_GROUPS {
            let first = group as usize % disks.len();
            let replicas: Vec<DiskId> =
                (0..self.copies).map(|offset| disks[(first + offset) % disks.len()]).collect();
            let epoch = GroupEpoch { epoch: 1, primary: replicas[0], in_sync: replicas.clone() };
            self.groups.insert(group, (epoch, replicas));
        }
    }
}
