//! The types that parameterize openraft.

use pebblepost_fleet::{Command, CommandResult};
use serde::{Deserialize, Serialize};
use std::io::Cursor;

openraft::declare_raft_types!(
    /// The types of the Raft group.
    pub TypeConfig:
        D = Command,
        R = EntryResult,
        NodeId = u64,
        Node = Peer,
);

/// The result of applying a log entry. It is `None` if the entry contains no command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryResult(pub Option<CommandResult>);

/// A replica in the group's membership.
///
/// The disk's id is part of the membership. A replica that restarts with another disk has lost its vote and
/// the entries that it acknowledged, so it must neither vote nor acknowledge under its old number. It has to
/// join the group under a new number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// The replica's address.
    pub address: String,
    /// The random id that the replica's disk got when it was initialized.
    pub disk: u64,
}

/// The Raft node of one replica.
pub type Raft = openraft::Raft<TypeConfig>;
/// The term, leader and index of a log entry.
pub type LogId = openraft::LogId<u64>;
/// The group's membership and the log entry that set it.
pub type Membership = openraft::StoredMembership<u64, Peer>;
