//! The replicated state, and the only code that changes it.
//!
//! Each command that changes something produces the next *revision*, and each key carries the revision of its
//! last change. The most recent changes stay in a bounded log, from which a follower continues at its own
//! revision; a follower that is further behind takes a [`Snapshot`]. All rules are checked in
//! [`State::apply`] and nowhere else. It does no I/O and reads no clock, so the same commands produce the
//! same state at every replica.

mod change;
mod leases;
mod log;
mod members;
mod permits;
mod releases;
mod replicas;
mod restore;
mod workers;

use crate::command::{Action, Command, CommandResult, Operation, Outcome, Precondition, Rejection};
use crate::name::{Key, RequestId, Text};
use crate::value::{Change, Entry, Presence, Snapshot, Value};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of workers.
pub const MAX_WORKERS: usize = 20_000;
/// Maximum number of drain marks.
pub const MAX_DRAINS: usize = 20_000;
/// Maximum number of members.
pub const MAX_MEMBERS: usize = 5_000;
/// Maximum number of permits.
pub const MAX_PERMITS: usize = 5_000;
/// Maximum number of leases.
pub const MAX_LEASES: usize = 20_000;
/// Maximum number of waves of a release, and of zones in its order.
pub const MAX_WAVES: usize = 32;
/// Maximum number of replica numbers ever used, removed replicas included.
pub const MAX_REPLICA_NUMBERS: usize = 1_024;
/// Maximum number of operations, tasks or workers in one command.
pub const MAX_OPERATIONS_PER_COMMAND: usize = 1_024;
/// Maximum number of changed keys in the log of changes. The oldest changes are compacted first.
pub const MAX_LOGGED_KEYS: usize = 16_384;
/// Maximum number of stored results. A retry of a request gets the stored result again.
pub const MAX_STORED_RESULTS: usize = 8_192;
/// Distance of the revision of a restored state from the larger of its previous revision and the backup's.
/// Followers may have seen revisions that the backup does not contain.
pub const RESTORE_REVISION_GAP: u64 = 1 << 20;
/// Maximum number of incarnation ids stored for a member. They prevent a superseded process from taking the
/// name back.
const MAX_INCARNATIONS_PER_MEMBER: usize = 8;

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    revision: u64,
    entries: BTreeMap<Key, Entry>,
    log: VecDeque<Change>,
    #[serde(rename = "logged")]
    logged_keys: usize,
    /// Revision of the newest change that was removed from the log.
    #[serde(rename = "compacted")]
    compacted_revision: u64,
    #[serde(rename = "answers")]
    results: VecDeque<(RequestId, CommandResult)>,
    /// Disk of each replica that was ever in the group, by the replica's number.
    #[serde(rename = "keepers", default)]
    replica_disks: BTreeMap<u64, u64>,
}

/// The keys that a command changes, with their new values; `None` if the value is removed.
type KeyChanges = Vec<(Key, Option<Value>)>;

fn invalid<T>(reason: impl Into<String>) -> Result<T, Rejection> {
    Err(Rejection::Invalid { reason: reason.into() })
}

impl State {
    /// Returns the state at a snapshot, without the history before it.
    pub fn from_snapshot(snapshot: Snapshot) -> Self {
        let Snapshot { revision, entries } = snapshot;
        Self { revision, entries, compacted_revision: revision, ..Self::default() }
    }

    /// Applies a command atomically. A retry, which carries the id of an earlier command, returns the first
    /// result again and changes nothing.
    ///
    /// # Errors
    ///
    /// Returns the rule that rejects the command. The entries are unchanged then; only the result is stored.
    pub fn apply(&mut self, command: &Command) -> CommandResult {
        if let Some((_, result)) = self.results.iter().rev().find(|(id, _)| *id == command.id) {
            return result.clone();
        }
        let result = self.execute(command);
        self.remember_result(command.id, &result);
        result
    }

    /// Returns the revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the entry at a key.
    pub fn get(&self, key: &Key) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Iterates over all entries in the order of their keys.
    pub fn entries(&self) -> impl Iterator<Item = (&Key, &Entry)> {
        self.entries.iter()
    }

    /// Returns all entries, for a follower or a backup.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot { revision: self.revision, entries: self.entries.clone() }
    }

    fn execute(&mut self, command: &Command) -> CommandResult {
        let changes = match &command.action {
            Action::Change { operations, preconditions, reason } => {
                preconditions.iter().try_for_each(|precondition| self.check_precondition(precondition))?;
                let changes = self.change(command, operations, reason)?;
                return Ok(self.commit(command, changes, reason.clone()));
            }
            Action::Restore(backup) => return self.restore(command, backup),
            Action::Join { member, incarnation_id, info } => {
                let changes = self.join(member, *incarnation_id, info)?;
                let outcome = self.commit(command, changes, Text::default());
                return Ok(Outcome { session: Some(outcome.revision), ..outcome });
            }
            Action::AdmitReplica { replica, disk } => return self.admit_replica(*replica, *disk),
            Action::ReportReadiness { member, session, sequence, ready } => {
                self.report_readiness(member, *session, *sequence, *ready)?
            }
            Action::Leave { member, session } => self.end_session(member, *session, Presence::Left)?,
            // Member and leader both apply a clock margin, so no process relies on an expired session any
            // more.
            Action::ExpireSession { member, session } => {
                self.end_session(member, *session, Presence::Lost)?
            }
            Action::AcquireLeases { member, session, tasks } => {
                self.acquire_leases(member, *session, tasks)?
            }
            Action::ReleaseLease { member, session, task, successor } => {
                self.release_lease(member, *session, task, successor.as_ref())
            }
            Action::ExpireSupersededSession { member, session } => {
                self.expire_superseded_session(member, *session)?
            }
            Action::UpdateWorkers { workers } => self.update_workers(workers)?,
        };
        Ok(self.commit(command, changes, Text::default()))
    }

    fn remember_result(&mut self, id: RequestId, result: &CommandResult) {
        self.results.push_back((id, result.clone()));
        if self.results.len() > MAX_STORED_RESULTS {
            self.results.pop_front();
        }
    }

    fn check_precondition(&self, precondition: &Precondition) -> Result<(), Rejection> {
        let found = self.entries.get(&precondition.key).map_or(0, |entry| entry.revision);
        if found == precondition.revision {
            return Ok(());
        }
        Err(Rejection::Conflict {
            key: precondition.key.clone(),
            expected: precondition.revision,
            found,
            state_revision: self.revision,
        })
    }

    /// Checks that the changes keep the number of keys of one kind within its capacity. Changes that add no
    /// key are always accepted.
    fn check_capacity(
        &self, changes: &KeyChanges, is_kind: fn(&Key) -> bool, resource: &str, capacity: usize,
    ) -> Result<(), Rejection> {
        let is_added = |(key, value): &&(Key, Option<Value>)| {
            value.is_some() && is_kind(key) && !self.entries.contains_key(key)
        };
        match changes.iter().filter(is_added).count() {
            0 => Ok(()),
            added if self.count_keys(is_kind) + added <= capacity => Ok(()),
            _ => Err(Rejection::Full { resource: resource.to_owned(), capacity }),
        }
    }

    fn count_keys(&self, is_kind: fn(&Key) -> bool) -> usize {
        self.entries.keys().filter(|key| is_kind(key)).count()
    }
}
