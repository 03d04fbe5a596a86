//! The types with which openraft is instantiated.

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

/// The result of applying an entry of the log; `None`: it held no command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryResult(pub Option<CommandResult>);

/// A replica as the group's membership lists it.
///
/// The disk is part of it: a replica that comes back with another one has forgotten what it voted for and
/// what it acknowledged, so under its old number it must neither vote nor acknowledge. It comes back under a
/// new number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Its address.
    pub address: String,
    /// The id of its disk, drawn at random when that was set up.
    pub disk: u64,
}

/// The Raft node of a replica.
pub type Raft = openraft::Raft<TypeConfig>;
/// The position of an entry in the log.
pub type LogId = openraft::LogId<u64>;
/// The group's membership and its position in the log.
pub type Membership = openraft::StoredMembership<u64, Peer>;
