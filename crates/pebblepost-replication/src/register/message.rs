//! Messages between the members of a register. The order of variants and fields is the wire format.

use super::proposal_number::ProposalNumber;
use crate::record::EpochRecord;
use nanoserde::{DeBin, SerBin};

/// A record that is known to be chosen, with a proposal number under which it was chosen.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct ChosenRecord {
    pub number: ProposalNumber,
    pub record: EpochRecord,
}

/// A message of the register.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum RegisterMessage {
    /// Phase 1: asks for a promise. `known` is the record whose witnesses are asked.
    Prepare { number: ProposalNumber, known: EpochRecord },
    /// Answer to a prepare request.
    Promise {
        number: ProposalNumber,
        accepted_number: ProposalNumber,
        accepted: Option<EpochRecord>,
        chosen: Option<ChosenRecord>,
    },
    /// Phase 2: asks to accept a record.
    Accept { number: ProposalNumber, record: EpochRecord },
    /// Answer to an accept request.
    Accepted { number: ProposalNumber },
    /// Answer to a prepare or accept request whose number is lower than one that was promised.
    Rejected { number: ProposalNumber, promised: ProposalNumber, chosen: Option<ChosenRecord> },
    /// Announces a chosen record.
    Learn(ChosenRecord),
}
