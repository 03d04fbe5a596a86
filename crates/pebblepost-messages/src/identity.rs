//! Identities of disks and of the machines that hold them.

use nanoserde::{DeBin, SerBin};

/// Identity of a data disk, drawn at random when the disk is first used. A machine that restarts with an
/// empty disk has a new one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct DiskId(pub u64);

/// A machine with a data disk: a member of the control plane or of the batch store.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct Member {
    /// Identity of its disk.
    pub disk: DiskId,
    /// Name of the machine.
    pub node: String,
    /// `ip:port` of its internal links.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
}
