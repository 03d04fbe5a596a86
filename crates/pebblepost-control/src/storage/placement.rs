//! Placement of store groups on disks. It uses rendezvous hashing with bounded load, spreads replicas over failure
//! domains and moves as few replicas as possible.

use crate::hash::{finalize_splitmix64, fnv1a};
use crate::state::command::InitialAssignment;
use pebblepost_messages::batch::STORE_GROUPS;
use pebblepost_messages::{DiskId, Member};
use pebblepost_replication::record::Tolerance;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Returns the number of replicas that each group needs to survive the tolerated failures.
pub fn replication_factor(tolerance: &Tolerance) -> usize {
    let domains = tolerance.zones.max(tolerance.regions);
    tolerance.machines.max(domains) + 1
}

/// Returns the rendezvous score of a disk for a group. Disks with the highest scores are preferred for its replicas.
pub fn score(group: u32, disk: DiskId) -> u64 {
    finalize_splitmix64(fnv1a(&[&group.to_le_bytes(), &disk.0.to_le_bytes()]))
}

/// Computes the initial assignment of all groups, with primaries spread evenly over the disks.
pub fn assign_all_groups(usable: &BTreeMap<DiskId, Member>, tolerance: &Tolerance) -> Vec<InitialAssignment> {
    let mut placement = Placement::new(std::iter::empty(), usable);
    let mut primaries: BTreeMap<DiskId, usize> = BTreeMap::new();
    let mut assignments = Vec::new();
    for group in 0..STORE_GROUPS {
        placement.fill(group, replication_factor(tolerance), usable);
        let replicas = placement.targets(group).to_vec();
        let load =
            |disk: &&DiskId| (primaries.get(disk).copied().unwrap_or(0), Reverse(score(group, **disk)));
        let Some(primary) = replicas.iter().min_by_key(load).copied() else { continue };
        *primaries.entry(primary).or_default() += 1;
        assignments.push(InitialAssignment { group, primary, replicas });
    }
    assignments
}

/// A possible move of a replica to another disk.
#[derive(Clone, Copy, Debug)]
struct Move {
    group: u32,
    from: DiskId,
    to: DiskId,
}

/// Target disks of each group, and the number of groups per disk.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    targets: BTreeMap<u32, Vec<DiskId>>,
    load: BTreeMap<DiskId, usize>,
}

impl Placement {
    /// Creates a placement from the current targets, without the disks that are not usable.
    pub fn new<'a>(
        targets: impl Iterator<Item = (u32, &'a [DiskId])>, usable: &BTreeMap<DiskId, Member>,
    ) -> Placement {
        let load = usable.keys().map(|disk| (*disk, 0)).collect();
        let mut placement = Placement { targets: BTreeMap::new(), load };
        for (group, current) in targets {
            let kept = current.iter().copied().filter(|disk| usable.contains_key(disk)).collect();
            placement.set(group, kept);
        }
        placement
    }

    /// Returns the target disks of a group.
    pub fn targets(&self, group: u32) -> &[DiskId] {
        self.targets.get(&group).map_or(&[], Vec::as_slice)
    }

    /// Adds usable disks to a group until it has `replicas` targets or no suitable disk is left.
    pub fn fill(&mut self, group: u32, replicas: usize, usable: &BTreeMap<DiskId, Member>) {
        let mut chosen = self.targets(group).to_vec();
        while chosen.len() < replicas {
            let Some(next) = self.best_candidate(group, &chosen, usable) else { break };
            chosen.push(next);
        }
        self.set(group, chosen);
    }

    /// Moves one replica from a disk with the most groups to one with the fewest, if their numbers differ by at least
    /// two. Returns the changed group.
    pub fn rebalance(&mut self, usable: &BTreeMap<DiskId, Member>) -> Option<u32> {
        let min_load = self.load.values().copied().min()?;
        let max_load = self.load.values().copied().max()?;
        if max_load < min_load + 2 {
            return None;
        }
        let idle = self.disks_with_load(min_load);
        let busy = self.disks_with_load(max_load);
        let pairs = idle.iter().flat_map(|to| busy.iter().map(move |from| (*from, *to)));
        let best = pairs
            .filter_map(|(from, to)| self.best_move(from, to, usable))
            .max_by_key(|best| (score_gain(best), best.group))?;
        self.set(best.group, with_replaced(self.targets(best.group), best.from, best.to));
        Some(best.group)
    }

    fn disks_with_load(&self, load: usize) -> Vec<DiskId> {
        self.load.iter().filter(|(_, count)| **count == load).map(|(disk, _)| *disk).collect()
    }

    /// Returns the move from `from` to `to` with the highest score on `to`, among the groups that are spread over as
    /// many zones afterwards.
    fn best_move(&self, from: DiskId, to: DiskId, usable: &BTreeMap<DiskId, Member>) -> Option<Move> {
        let can_move = |targets: &Vec<DiskId>| {
            targets.contains(&from)
                && !targets.contains(&to)
                && zone_count(&with_replaced(targets, from, to), usable) >= zone_count(targets, usable)
        };
        let candidates = self.targets.iter().filter(|(_, targets)| can_move(targets));
        let group = candidates.map(|(group, _)| *group).max_by_key(|group| score(*group, to))?;
        Some(Move { group, from, to })
    }

    /// Returns the best further disk for a group. It is on another node than the `chosen` disks. Another region is
    /// preferred, then another zone, then few groups, then a high score.
    fn best_candidate(
        &self, group: u32, chosen: &[DiskId], usable: &BTreeMap<DiskId, Member>,
    ) -> Option<DiskId> {
        let is_shared = |key: fn(&Member) -> &String, member: &Member| {
            chosen.iter().filter_map(|disk| usable.get(disk)).any(|other| key(other) == key(member))
        };
        let cost = |member: &Member| {
            (
                is_shared(|member| &member.region, member),
                is_shared(|member| &member.zone, member),
                self.load.get(&member.disk).copied().unwrap_or(0),
                Reverse(score(group, member.disk)),
            )
        };
        let nodes: BTreeSet<&String> =
            chosen.iter().filter_map(|disk| usable.get(disk)).map(|member| &member.node).collect();
        let candidates = usable.values().filter(|member| !nodes.contains(&member.node));
        candidates.min_by_key(|member| cost(member)).map(|member| member.disk)
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

/// Returns the increase of the rendezvous score by a move.
fn score_gain(candidate: &Move) -> u64 {
    score(candidate.group, candidate.to).saturating_sub(score(candidate.group, candidate.from))
}

/// Returns the targets with the disk `from` replaced by `to`.
fn with_replaced(targets: &[DiskId], from: DiskId, to: DiskId) -> Vec<DiskId> {
    targets.iter().map(|disk| if *disk == from { to } else { *disk }).collect()
}

/// Returns the number of zones that a set of replicas is spread over.
fn zone_count(disks: &[DiskId], usable: &BTreeMap<DiskId, Member>) -> usize {
    let zones: BTreeSet<&String> =
        disks.iter().filter_map(|disk| usable.get(disk)).map(|member| &member.zone).collect();
    zones.len()
}
