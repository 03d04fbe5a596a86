//! Messages between control nodes, which are sent inside `ToControl::Replication`.

use nanoserde::{DeBin, SerBin};
use pebblepost_messages::DiskId;

/// An encoded message of the replication library, by the component that it is addressed to.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum PeerPayload {
    /// A message of the epoch register.
    Register(Vec<u8>),
    /// A message of the replica.
    Replica(Vec<u8>),
}

/// A message to the node with a certain disk. A node whose disk was replaced ignores messages to the former disk.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct PeerMessage {
    /// Disk of the receiver.
    pub to: DiskId,
    /// The message.
    pub payload: PeerPayload,
}
