//! The epoch record: who is primary, which replicas are in sync, which witnesses decide.

use nanoserde::{DeBin, SerBin};
use pebblepost_messages::{DiskId, Member};

/// One epoch of a replicated group.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct EpochRecord {
    /// Number of the epoch; 0 before the first primary.
    pub epoch: u64,
    /// Disk of the primary; `DiskId(0)` in epoch 0.
    pub primary: DiskId,
    /// The in-sync replicas, the primary among them.
    pub in_sync: Vec<Member>,
    /// The witnesses; empty where another configuration manager decides.
    pub witnesses: Vec<Member>,
    /// The witnesses before a change that is not completed; empty otherwise.
    pub former_witnesses: Vec<Member>,
}

/// How many disks, and in how many places, must hold what is acknowledged.
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
    /// Whether a set of replicas outlives the losses that are to be borne.
    pub fn is_met_by(&self, replicas: &[Member]) -> bool {
        let distinct = |key: fn(&Member) -> &String| {
            replicas.iter().map(key).collect::<std::collections::BTreeSet<_>>().len()
        };
        replicas.len() > self.machines
            && (self.zones == 0 || distinct(|member| &member.zone) > self.zones)
            && (self.regions == 0 || distinct(|member| &member.region) > self.regions)
    }
}
