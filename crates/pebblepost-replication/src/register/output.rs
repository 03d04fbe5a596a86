//! Outputs of the register.

use super::message::RegisterMessage;
use super::witness_state::WitnessState;
use crate::record::EpochRecord;
use nanoserde::SerBin;
use pebblepost_messages::Member;

/// An action that the caller must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum RegisterOutput {
    /// Send a message. The receiver may be the local member itself.
    Send {
        /// Receiver.
        to: Member,
        /// Encoded message.
        message: Vec<u8>,
    },
    /// Write the witness state, and call [`Register::on_persisted`](super::Register::on_persisted)
    /// with the token once it is on disk.
    Persist {
        /// Identifies the write; increases with each write.
        token: u64,
        /// The state.
        state: WitnessState,
    },
    /// A record with a higher epoch than any before is known to be chosen.
    Chosen(EpochRecord),
    /// The proposal failed because it was invalid, another record was chosen, or no quorum answered
    /// in time. In the last case the record may still be chosen later.
    Rejected {
        /// Epoch number that was proposed.
        epoch: u64,
    },
}

impl RegisterOutput {
    /// Encodes a message for a member.
    pub(super) fn send(to: Member, message: &RegisterMessage) -> Self {
        Self::Send { to, message: message.serialize_bin() }
    }
}
