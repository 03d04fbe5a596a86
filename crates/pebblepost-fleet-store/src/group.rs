//! The types of the group.

use pebblepost_fleet::{Command, CommandResult};
use serde::{Deserialize, Serialize};
use std::io::Cursor;

openraft::declare_raft_types!(
    /// The keepers' group.
    pub Group:
        D = Command,
        R = Applied,
        NodeId = u64,
        Node = Peer,
);

/// What applying an entry of the log gave; `None`: it held no command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Applied(pub Option<CommandResult>);

/// A keeper as the group knows it.
///
/// The disk belongs to it: a keeper that comes back with another one has forgotten what it voted for and what it
/// acknowledged, so under its old number it must neither vote nor acknowledge. It comes back under a new number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Where it listens.
    pub address: String,
    /// Drawn at random when its disk was set up.
    pub disk: u64,
}

/// A running group member.
pub type Raft = openraft::Raft<Group>;
/// A place in the log.
pub type LogId = openraft::LogId<u64>;
/// The members at a place in the log.
pub type Membership = openraft::StoredMembership<u64, Peer>;
