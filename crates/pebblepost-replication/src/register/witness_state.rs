//! The durable state of a witness.

use super::proposal_number::ProposalNumber;
use crate::record::EpochRecord;
use nanoserde::{DeBin, SerBin};

/// The state that a witness keeps on disk. The order of the fields is the stored format.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct WitnessState {
    /// Highest proposal number promised.
    pub promised: ProposalNumber,
    /// Proposal number under which [`Self::accepted`] was accepted.
    pub accepted_number: ProposalNumber,
    /// The record accepted under the highest proposal number.
    pub accepted: Option<EpochRecord>,
}
