//! The epoch record: the primary, the in-sync replicas and the witnesses of a group.

use crate::codec::decode_members;
use nanoserde::{DeBin, DeBinErr, SerBin};
use pebblepost_messages::{DiskId, Member};
use std::collections::BTreeSet;

/// The configuration of a replicated group in one epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin)]
pub struct EpochRecord {
    /// Number of the epoch; 0 before the first primary is elected.
    pub epoch: u64,
    /// Disk of the primary replica; `DiskId(0)` in epoch 0.
    pub primary: DiskId,
    /// The in-sync replicas, including the primary.
    pub in_sync: Vec<Member>,
    /// The witnesses that decide on epochs; empty if another configuration manager decides.
    pub witnesses: Vec<Member>,
    /// The former witness set while a change of it is unfinished; empty otherwise.
    pub former_witnesses: Vec<Member>,
}

impl DeBin for EpochRecord {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
        Ok(Self {
            epoch: u64::de_bin(offset, bytes)?,
            primary: DiskId::de_bin(offset, bytes)?,
            in_sync: decode_members(offset, bytes)?,
            witnesses: decode_members(offset, bytes)?,
            former_witnesses: decode_members(offset, bytes)?,
        })
    }
}

impl EpochRecord {
    /// Returns whether a disk is that of an in-sync replica.
    pub fn is_in_sync(&self, disk: DiskId) -> bool {
        contains(&self.in_sync, disk)
    }

    /// Returns whether a disk is that of a witness, of the current or the former set.
    pub fn is_witness(&self, disk: DiskId) -> bool {
        contains(&self.witnesses, disk) || contains(&self.former_witnesses, disk)
    }

    /// Returns the witnesses of the current and the former set, each once.
    pub fn all_witnesses(&self) -> impl Iterator<Item = &Member> {
        let former = self.former_witnesses.iter();
        self.witnesses.iter().chain(former.filter(|member| !contains(&self.witnesses, member.disk)))
    }

    /// Returns the primary if it is in the list of in-sync replicas.
    pub fn primary_member(&self) -> Option<&Member> {
        self.in_sync.iter().find(|member| member.disk == self.primary)
    }

    /// Returns whether these disks form a quorum: a majority of the witnesses and, while a change of
    /// the witness set is unfinished, also a majority of the former witnesses (joint consensus).
    pub fn has_quorum(&self, disks: &BTreeSet<DiskId>) -> bool {
        has_majority(&self.witnesses, disks)
            && (self.former_witnesses.is_empty() || has_majority(&self.former_witnesses, disks))
    }

    /// Returns whether `next` is a valid successor: it has the next epoch number, and either keeps the
    /// witness set, starts a change of it, or finishes the change in progress.
    pub fn may_be_followed_by(&self, next: &EpochRecord) -> bool {
        let unchanged = next.witnesses == self.witnesses && next.former_witnesses == self.former_witnesses;
        let starts = self.former_witnesses.is_empty()
            && next.former_witnesses == self.witnesses
            && next.witnesses != self.witnesses
            && !next.witnesses.is_empty();
        let finishes = !self.former_witnesses.is_empty()
            && next.former_witnesses.is_empty()
            && next.witnesses == self.witnesses;
        next.epoch == self.epoch + 1 && (unchanged || starts || finishes)
    }
}

/// The failures that a group must survive without losing acknowledged entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tolerance {
    /// Number of machines that may be lost at once.
    pub machines: usize,
    /// Number of zones that may be lost at once.
    pub zones: usize,
    /// Number of regions that may be lost at once.
    pub regions: usize,
}

impl Tolerance {
    /// Returns whether at least one replica of a set survives these failures.
    pub fn is_met_by(&self, replicas: &[Member]) -> bool {
        let distinct = |key: fn(&Member) -> &String| replicas.iter().map(key).collect::<BTreeSet<_>>().len();
        replicas.len() > self.machines
            && (self.zones == 0 || distinct(|member| &member.zone) > self.zones)
            && (self.regions == 0 || distinct(|member| &member.region) > self.regions)
    }
}

pub(crate) fn contains(members: &[Member], disk: DiskId) -> bool {
    members.iter().any(|member| member.disk == disk)
}

/// Returns whether `disks` includes those of a majority of the members.
pub(crate) fn has_majority(members: &[Member], disks: &BTreeSet<DiskId>) -> bool {
    let count = members.iter().filter(|member| disks.contains(&member.disk)).count();
    count * 2 > members.len()
}
