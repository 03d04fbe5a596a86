//! The values in the replicated state, and the forms in which followers and backups receive them.
//!
//! These types are stored and sent as JSON under names that never change; `tests/stored` pins the bytes. The
//! rules are elsewhere: those of commands in [`crate::state`], those of disruption budgets in
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

/// The value at a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Value {
    /// A drain mark.
    Drain {
        /// Operator or member that set it.
        #[serde(rename = "by")]
        set_by: Name,
        /// Wall clock of the issuer, in Unix time in milliseconds.
        #[serde(rename = "at_ms")]
        set_at_ms: u64,
        /// Reason given by the issuer.
        #[serde(rename = "why")]
        reason: Text,
    },
    /// The last known record of a worker.
    Worker(Worker),
    /// The value of a setting.
    Setting(f64),
    /// A member of the fleet.
    Member(Member),
    /// A disruption budget.
    Budget(Budget),
    /// A halt: no further permits of the kind are granted.
    Halt {
        /// Operator or member that set it.
        #[serde(rename = "by")]
        set_by: Name,
        /// Wall clock of the issuer, in Unix time in milliseconds.
        #[serde(rename = "at_ms")]
        set_at_ms: u64,
        /// Reason given by the issuer.
        #[serde(rename = "why")]
        reason: Text,
    },
    /// A release in progress.
    Release(Release),
    /// The lease of a task.
    Lease(Lease),
    /// A permit, requested or granted.
    Permit(Permit),
}

/// A value with the revision at which it was set.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Value at the key.
    pub value: Value,
    /// Revision at which the value was set.
    pub revision: u64,
}

/// The changes that one command made.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Revision that the command produced.
    pub revision: u64,
    /// Operator, member or replica that issued the command.
    #[serde(rename = "by")]
    pub issued_by: Name,
    /// Wall clock of the issuer, in Unix time in milliseconds.
    #[serde(rename = "at_ms")]
    pub issued_at_ms: u64,
    /// Reason given with the command, for the history.
    #[serde(rename = "why")]
    pub reason: Text,
    /// Changed keys with their new values; `None` if the value was removed.
    pub items: Vec<(Key, Option<Value>)>,
}

/// All entries of the state at one revision, for followers and backups.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Revision of the state.
    pub revision: u64,
    /// Entries by key.
    pub entries: BTreeMap<Key, Entry>,
}
