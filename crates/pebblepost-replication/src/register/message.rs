//! Messages between the members of a register.

use super::Ballot;
use crate::record::EpochRecord;
use nanoserde::{DeBin, SerBin};

/// A record that is known to be chosen, with a ballot under which it was.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct ChosenRecord {
    pub ballot: Ballot,
    pub record: EpochRecord,
}

/// A message of the register.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum RegisterMessage {
    /// First round: asks for a promise. `known` is the record whose witnesses are asked.
    Prepare { ballot: Ballot, known: EpochRecord },
    /// Answer to a prepare.
    Promise {
        ballot: Ballot,
        accepted_ballot: Ballot,
        accepted: Option<EpochRecord>,
        chosen: Option<ChosenRecord>,
    },
    /// Second round: asks to accept a record.
    Accept { ballot: Ballot, record: EpochRecord },
    /// Answer to an accept.
    Accepted { ballot: Ballot },
    /// A higher ballot was promised.
    Refused { ballot: Ballot, promised: Ballot, chosen: Option<ChosenRecord> },
    /// A record was chosen.
    Learn(ChosenRecord),
}
