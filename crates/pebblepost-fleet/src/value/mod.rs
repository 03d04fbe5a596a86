//! The values of the replicated state: what has a key, and the forms in which followers and backups get it.
//!
//! These types are stored and sent as JSON under names that never change; `tests/stored` pins the bytes.
//! Nothing here decides anything: the rules are in [`crate::state`], the disruption budget's in
//! [`crate::availability`].

mod lease;
mod member;
mod permit;
mod release;
mod worker;

pub use lease::{Lease, LeaseHolder, MAX_WAITING_MEMBERS_PER_LEASE};
pub use member::{Member, MemberInfo, Presence, Role};
pub use permit::{Budget, Limit, ParseLimitError, Permit};
pub use release::Release;
pub use worker::{MAX_WORKER_DIFF_ENTRIES, Worker, WorkerDiff, WorkerObservation, WorkerStatus};

use crate::name::{Key, Name, Text};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The value of a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Value {
    /// A drain mark.
    Drain {
        /// Who set it.
        #[serde(rename = "by")]
        set_by: Name,
        /// That issuer's wall clock, in Unix time in milliseconds.
        #[serde(rename = "at_ms")]
        set_at_ms: u64,
        /// The reason.
        #[serde(rename = "why")]
        reason: Text,
    },
    /// A worker.
    Worker(Worker),
    /// A setting's value.
    Setting(f64),
    /// A member.
    Member(Member),
    /// A disruption budget.
    Budget(Budget),
    /// No further permits are granted.
    Halt {
        /// Who set it.
        #[serde(rename = "by")]
        set_by: Name,
        /// That issuer's wall clock, in Unix time in milliseconds.
        #[serde(rename = "at_ms")]
        set_at_ms: u64,
        /// The reason.
        #[serde(rename = "why")]
        reason: Text,
    },
    /// A release in progress.
    Release(Release),
    /// The lease of a task.
    Lease(Lease),
    /// A permit.
    Permit(Permit),
}

/// A value and the revision at which it was set.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The value.
    pub value: Value,
    /// The revision.
    pub revision: u64,
}

/// What one command changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The revision that it made.
    pub revision: u64,
    /// Who issued the command.
    #[serde(rename = "by")]
    pub issued_by: Name,
    /// That issuer's wall clock, in Unix time in milliseconds.
    #[serde(rename = "at_ms")]
    pub issued_at_ms: u64,
    /// The reason.
    #[serde(rename = "why")]
    pub reason: Text,
    /// The changed keys and their new values; `None`: removed.
    pub items: Vec<(Key, Option<Value>)>,
}

/// The entries of the state at a revision, for followers and backups.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The revision.
    pub revision: u64,
    /// All entries.
    pub entries: BTreeMap<Key, Entry>,
}
