//! What the register asks its caller to do.

use super::message::RegisterMessage;
use super::witness_state::WitnessState;
use crate::record::EpochRecord;
use nanoserde::SerBin;
use pebblepost_messages::Member;

/// Something the caller must do.
#[derive(Clone, Debug, PartialEq)]
pub enum RegisterOutput {
    /// Send a message; the receiver may be the local member itself.
    Send {
        /// Receiver.
        to: Member,
        /// Encoded message.
        message: Vec<u8>,
    },
    /// Write the witness state; call [`Register::on_persisted`](super::Register::on_persisted) with the
    /// token once it is on disk.
    Persist {
        /// Identifies the write; rises.
        token: u64,
        /// The state.
        state: WitnessState,
    },
    /// A record of a higher epoch than all before is known to be chosen.
    Chosen(EpochRecord),
    /// The proposal failed: another record was chosen, or no quorum answered in time. In the
    /// second case the record may still be chosen later.
    Rejected {
        /// Epoch number that was proposed.
        epoch: u64,
    },
}

impl RegisterOutput {
    /// The sending of a message to a member.
    pub(super) fn send(to: Member, message: &RegisterMessage) -> Self {
        Self::Send { to, message: message.serialize_bin() }
    }
}
