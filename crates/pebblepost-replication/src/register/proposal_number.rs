//! Proposal numbers: totally ordered, never used by two proposers.

use nanoserde::{DeBin, SerBin};
use pebblepost_messages::DiskId;

/// Number of a proposal (`n` in "Paxos Made Simple"): the counter first, then the disk that
/// proposes, so that two proposers never use the same number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct ProposalNumber {
    /// Rises with each attempt; 0 for the founding record.
    pub counter: u64,
    /// Disk of the proposer.
    pub proposer: DiskId,
}
