//! Identities of disks and of the machines that hold them.

use nanoserde::{DeBin, SerBin};

/// Identity of a data disk, drawn when the disk is first used. A machine that comes back with an
/// empty disk has a new one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct DiskId(pub u64);

/// A machine that holds a disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct Member {
    /// Identity of its disk.
    pub disk: DiskId,
    /// Name of the machine.
    pub node: String,
    /// `ip:port` at which its program listens for other programs.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
}
