//! Which workers there are and how they stand, as a dispatcher sees them. Each tells with its beats only what differs from the
//! agreed list ([`Follower::differs`](crate::follow::Follower::differs)); what more than half of those that are there tell alike,
//! the leader of the keepers asks for ([`settled`](crate::reckon::settled)). So one that is cut off from a worker, or from
//! discovery, changes nothing, and once the list is right nothing is told any more.

use crate::name::{Name, Text};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Most workers of which one beat tells; the first by name, so that all tell of the same.
pub const MAX_DIFFERENT: usize = 64;

/// How a worker stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Sight {
    /// It takes work.
    Ready,
    /// It has started lately, and bears little.
    Cold,
    /// It drains, or does not answer.
    Out,
}

/// A worker as a dispatcher sees it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema)]
pub struct Seen {
    /// Its zone.
    pub zone: Text,
    /// Its kind of machine.
    pub kind: Text,
    /// How it stands.
    pub sight: Sight,
}

/// Differences from the agreed list, by worker; `None`: it is no more.
pub type Different = BTreeMap<Name, Option<Seen>>;
