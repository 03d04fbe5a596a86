//! The epoch record: which replica is primary, which are in sync, which witnesses decide.

use crate::codec::decode_members;
use nanoserde::{DeBin, DeBinErr, SerBin};
use pebblepost_messages::{DiskId, Member};
use std::collections::BTreeSet;

/// One epoch of a replicated group.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin)]
pub struct EpochRecord {
    /// Number of the epoch; 0 before the first primary.
    pub epoch: u64,
    /// Disk of the primary; `DiskId(0)` in epoch 0.
    pub primary: DiskId,
    /// The in-sync replicas, the primary among them.
    pub in_sync: Vec<Member>,
    /// The witnesses; empty where another configuration manager decides.
    pub witnesses: Vec<Member>,
    /// The witnesses before a change that is not finished; empty otherwise.
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
    /// Whether a disk is an in-sync replica.
    pub fn is_in_sync(&self, disk: DiskId) -> bool {
        contains(&self.in_sync, disk)
    }

    /// Whether a disk is a witness, of the former set too.
    pub fn is_witness(&self, disk: DiskId) -> bool {
        contains(&self.witnesses, disk) || contains(&self.former_witnesses, disk)
    }

    /// All witnesses, those of the former set too, each once.
    pub fn all_witnesses(&self) -> impl Iterator<Item = &Member> {
        let former = self.former_witnesses.iter();
        self.witnesses.iter().chain(former.filter(|member| !contains(&self.witnesses, member.disk)))
    }

    /// The primary, if it is in the list of in-sync replicas.
    pub fn primary_member(&self) -> Option<&Member> {
        self.in_sync.iter().find(|member| member.disk == self.primary)
    }

    /// Whether these disks are a quorum: a majority of the witnesses and, while a change of the
    /// witness set is unfinished, a majority of the former ones as well (joint consensus).
    pub fn has_quorum(&self, disks: &BTreeSet<DiskId>) -> bool {
        has_majority(&self.witnesses, disks)
            && (self.former_witnesses.is_empty() || has_majority(&self.former_witnesses, disks))
    }

    /// Whether `next` is a valid successor: the next epoch, and at most one step of one change of
    /// the witness set.
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

/// The losses that a group must survive without losing what it acknowledged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tolerance {
    /// Machines that may be lost at once.
    pub machines: usize,
    /// Zones that may be lost at once.
    pub zones: usize,
    /// Regions that may be lost at once.
    pub regions: usize,
}

impl Tolerance {
    /// Whether one replica at least is left of a set after the losses.
    pub fn is_met_by(&self, replicas: &[Member]) -> bool {
        let distinct = |key: fn(&Member) -> &String| replicas.iter().map(key).collect::<BTreeSet<_>>().len();
        replicas.len() > self.machines
            && (self.zones == 0 || distinct(|member| &member.zone) > self.zones)
            && (self.regions == 0 || distinct(|member| &member.region) > self.regions)
    }
}

/// Whether a list of members contains a disk.
pub(crate) fn contains(members: &[Member], disk: DiskId) -> bool {
    members.iter().any(|member| member.disk == disk)
}

/// Whether these disks are those of a majority of the members.
pub(crate) fn has_majority(members: &[Member], disks: &BTreeSet<DiskId>) -> bool {
    let count = members.iter().filter(|member| disks.contains(&member.disk)).count();
    count * 2 > members.len()
}
