//! Placement of the groups of batch jobs on storage machines: rendezvous hashing with bounded
//! load, spread over zones, with as little movement as possible.

use crate::hash::{fnv1a, mix};
use crate::state::command::InitialAssignment;
use pebblepost_messages::batch::STORE_GROUPS;
use pebblepost_messages::{DiskId, Member};
use pebblepost_replication::record::Tolerance;
use std::collections::{BTreeMap, BTreeSet};

/// Replicas of a group under what must be borne.
pub fn copies(tolerance: &Tolerance) -> usize {
    let places = tolerance.zones.max(tolerance.regions);
    tolerance.machines.max(places) + 1
}

/// Score of a disk for a group: the highest ones hold it.
pub fn score(group: u32, disk: DiskId) -> u64 {
    mix(fnv1a(&[&group.to_le_bytes(), &disk.0.to_le_bytes()]))
}

/// Wanted replicas of each group, and how many groups each disk is wanted for.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    targets: BTreeMap<u32, Vec<DiskId>>,
    load: BTreeMap<DiskId, usize>,
}

impl Placement {
    /// Of what is wanted now, only the usable disks.
    pub fn new<'a>(
        targets: impl Iterator<Item = (u32, &'a [DiskId])>, usable: &BTreeMap<DiskId, Member>,
    ) -> Placement {
        let load = usable.keys().map(|disk| (*disk, 0)).collect();
        let mut placement = Placement { targets: BTreeMap::new(), load };
        for (group, wanted) in targets {
            let kept: Vec<DiskId> = wanted.iter().copied().filter(|disk| usable.contains_key(disk)).collect();
            placement.set(group, kept);
        }
        placement
    }

    /// Wanted replicas of a group.
    pub fn targets(&self, group: u32) -> &[DiskId] {
        self.targets.get(&group).map_or(&[], Vec::as_slice)
    }

    /// Fills a group up to `copies` usable disks.
    pub fn fill(&mut self, group: u32, copies: usize, usable: &BTreeMap<DiskId, Member>) {
        let mut chosen = self.targets(group).to_vec();
        while chosen.len() < copies {
            let Some(next) = self.best(group, &chosen, usable) else { break };
            chosen.push(next);
        }
        self.set(group, chosen);
    }

    /// Exchanges one replica of one group if the machine with the most groups has at least two
    /// more than another one; the group that changed.
    pub fn balance(&mut self, usable: &BTreeMap<DiskId, Member>) -> Option<u32> {
        let least = self.load.values().copied().min()?;
        let most = self.load.values().copied().max()?;
        let idle: Vec<DiskId> =
            self.load.iter().filter(|(_, load)| **load == least).map(|(disk, _)| *disk).collect();
        if most < least + 2 {
            return None;
        }
        let busy: Vec<DiskId> =
            self.load.iter().filter(|(_, load)| **load == most).map(|(disk, _)| *disk).collect();
        let moves = idle.iter().flat_map(|to| busy.iter().map(move |from| (*from, *to)));
        let (group, from, to) = moves.filter_map(|(from, to)| self.movable(from, to, usable)).max_by_key(
            |(group, from, to)| (score(*group, *to).saturating_sub(score(*group, *from)), *group),
        )?;
        let moved = self.targets(group).iter().map(|disk| if *disk == from { to } else { *disk }).collect();
        self.set(group, moved);
        Some(group)
    }

    /// The group whose replica can best go from one disk to another without losing a zone.
    fn movable(
        &self, from: DiskId, to: DiskId, usable: &BTreeMap<DiskId, Member>,
    ) -> Option<(u32, DiskId, DiskId)> {
        let fits = |targets: &Vec<DiskId>| {
            let moved: Vec<DiskId> =
                targets.iter().map(|disk| if *disk == from { to } else { *disk }).collect();
            targets.contains(&from)
                && !targets.contains(&to)
                && places(&moved, usable) >= places(targets, usable)
        };
        let candidates = self.targets.iter().filter(|(_, targets)| fits(targets));
        let group = candidates.map(|(group, _)| *group).max_by_key(|group| score(*group, to))?;
        Some((group, from, to))
    }

    fn best(&self, group: u32, chosen: &[DiskId], usable: &BTreeMap<DiskId, Member>) -> Option<DiskId> {
        let held = |key: fn(&Member) -> &String, member: &Member| {
            chosen.iter().filter_map(|disk| usable.get(disk)).any(|other| key(other) == key(member))
        };
        let cost = |member: &Member| {
            (
                held(|member| &member.region, member),
                held(|member| &member.zone, member),
                self.load.get(&member.disk).copied().unwrap_or(0),
                std::cmp::Reverse(score(group, member.disk)),
            )
        };
        let nodes: BTreeSet<&String> =
            chosen.iter().filter_map(|disk| usable.get(disk)).map(|member| &member.node).collect();
        let free = usable.values().filter(|member| !nodes.contains(&member.node));
        free.min_by_key(|member| cost(member)).map(|member| member.disk)
    }

    fn set(&mut self, group: u32, targets: Vec<DiskId>) {
        for disk in self.targets.remove(&group).unwrap_or_default() {
            *self.load.entry(disk).or_default() -= 1;
        }
        for disk in &targets {
            *self.load.entry(*disk).or_default() += 1;
        }
        self.targets.insert(group, targets);
    }
}

/// Zones that a set of replicas is spread over.
fn places(disks: &[DiskId], usable: &BTreeMap<DiskId, Member>) -> usize {
    let zones: BTreeSet<&String> =
        disks.iter().filter_map(|disk| usable.get(disk)).map(|member| &member.zone).collect();
    zones.len()
}

/// First assignment of all groups.
pub fn found(usable: &BTreeMap<DiskId, Member>, tolerance: &Tolerance) -> Vec<InitialAssignment> {
    let mut placement = Placement::new(std::iter::empty(), usable);
    let mut primaries: BTreeMap<DiskId, usize> = BTreeMap::new();
    let mut founded = Vec::new();
    for group in 0..STORE_GROUPS {
        placement.fill(group, copies(tolerance), usable);
        let replicas = placement.targets(group).to_vec();
        let burden = |disk: &&DiskId| {
            (primaries.get(disk).copied().unwrap_or(0), std::cmp::Reverse(score(group, **disk)))
        };
        let Some(primary) = replicas.iter().min_by_key(burden).copied() else { continue };
        *primaries.entry(primary).or_default() += 1;
        founded.push(InitialAssignment { group, primary, replicas });
    }
    founded
}
