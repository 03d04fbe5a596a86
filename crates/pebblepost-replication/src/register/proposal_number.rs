//! Proposal numbers: totally ordered, and never used by two proposers.

use nanoserde::{DeBin, SerBin};
use pebblepost_messages::DiskId;

/// Number of a proposal (`n` in "Paxos Made Simple"). Ordered by the counter, then by the disk of the
/// proposer, so that two proposers never use the same number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct ProposalNumber {
    /// Increases with each attempt; 0 for the initial record.
    pub counter: u64,
    /// Disk of the proposer.
    pub proposer: DiskId,
}
