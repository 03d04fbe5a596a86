//! Identities of disks and of the machines that hold them.

use nanoserde::{DeBin, SerBin};

/// Random identity of a data disk, generated when the disk is first used.
///
/// A machine that restarts with an empty disk gets a new one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct DiskId(pub u64);

/// A machine with a data disk: a member of the control plane or of the batch store.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct Member {
    /// Identity of the disk of the machine.
    pub disk: DiskId,
    /// Name of the machine.
    pub node: String,
    /// `ip:port` at which the machine accepts internal links.
    pub address: String,
    /// Zone of the machine.
    pub zone: String,
    /// Region of the machine.
    pub region: String,
}
