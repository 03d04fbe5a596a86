//! What control processes send each other inside `ToControl::Replication`.

use nanoserde::{DeBin, SerBin};
use pebblepost_messages::DiskId;

/// An encoded message of the replication library, by the part that it belongs to.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum PeerPayload {
    /// Epoch register.
    Register(Vec<u8>),
    /// Replica.
    Replica(Vec<u8>),
}

/// A message to the process with a certain disk: one that lost its disk ignores messages to its predecessor.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct PeerMessage {
    /// Disk of the receiver.
    pub to: DiskId,
    /// The message.
    pub payload: PeerPayload,
}
