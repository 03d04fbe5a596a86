//! A dispatcher's copy of the replicated state, and the drains requested at it while it was partitioned from
//! the group.
//!
//! A drain requested here takes effect at once and is marked *local*. When the group is reached again it is
//! proposed, with the revision that the drain's key had at the request as precondition. So **the group wins**
//! where it has changed that worker's drain meanwhile (its decision may be newer, and it is in the history);
//! otherwise the drain becomes replicated. Either way the local mark is removed only once this copy has what
//! the group decided: there is no moment without a mark.

use crate::command::{Action, Command, CommandResult, Operation, Precondition, Rejection};
use crate::name::{IncarnationId, Key, Name, RequestId, Subject, SubjectKind, Text};
use crate::value::{
    Change, Entry, MAX_WORKER_DIFF_ENTRIES, Snapshot, Value, Worker, WorkerDiff, WorkerObservation,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use thiserror::Error;

/// Most local drains.
pub const MAX_LOCAL_DRAINS: usize = 1_024;

/// A drain that was requested at this dispatcher.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LocalDrain {
    /// The same each time that it is proposed.
    #[serde(rename = "id")]
    pub request_id: RequestId,
    /// Who requested it.
    #[serde(rename = "by")]
    pub requested_by: Name,
    /// This machine's clock, in Unix time in milliseconds.
    #[serde(rename = "at_ms")]
    pub requested_at_ms: u64,
    /// The reason.
    #[serde(rename = "why")]
    pub reason: Text,
    /// The revision of the drain's key in this copy at the request.
    #[serde(rename = "seen")]
    pub key_revision: u64,
    /// The revision at which the group accepted it, or had decided otherwise. The mark stays until the copy
    /// is there.
    #[serde(rename = "taken")]
    pub decided_revision: Option<u64>,
}

/// Why an update does not apply to this copy.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum UpdateError {
    /// It does not follow on this copy: a snapshot is needed.
    #[error("changes from revision {found} do not follow on {own}")]
    Gap {
        /// First revision of the update.
        found: u64,
        /// Revision of this copy.
        own: u64,
    },
    /// It is older than this copy.
    #[error("a snapshot of revision {found} is older than {own}")]
    Stale {
        /// Revision of the update.
        found: u64,
        /// Revision of this copy.
        own: u64,
    },
}

/// Why a request to this dispatcher alone is rejected.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum LocalDrainError {
    /// There are too many local drains.
    #[error("no room for more local drains: at most {MAX_LOCAL_DRAINS}")]
    Full,
    /// The drain is replicated, so only the group can remove it.
    #[error("the drain is agreed by the group; take it back there")]
    Replicated,
    /// The worker has no drain mark.
    #[error("no drain mark of that name")]
    Unknown,
}

/// What became of a proposed drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposalOutcome {
    /// The group has accepted it.
    Accepted,
    /// The group had decided otherwise meanwhile; that applies once the copy has it.
    Overruled,
    /// The group cannot accept it now; it stays local.
    Deferred,
    /// It is not among the local drains any more.
    Unknown,
}

/// A dispatcher's copy of the state with its local drains.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Follower {
    copy: Snapshot,
    #[serde(rename = "local")]
    local_drains: BTreeMap<Name, LocalDrain>,
    /// When the group last confirmed this copy; not stored.
    #[serde(skip)]
    confirmed_at: Option<Duration>,
}

impl Follower {
    /// The revision of the copy.
    pub fn revision(&self) -> u64 {
        self.copy.revision
    }

    /// The copy.
    pub fn copy(&self) -> &Snapshot {
        &self.copy
    }

    /// How long ago the group last confirmed this copy; `None`: not since this process began.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at.map(|confirmed_at| now.saturating_sub(confirmed_at))
    }

    /// Takes in that nothing has changed since that revision.
    ///
    /// # Errors
    ///
    /// The copy has another revision.
    pub fn confirm(&mut self, now: Duration, revision: u64) -> Result<(), UpdateError> {
        if revision != self.copy.revision {
            return Err(UpdateError::Gap { found: revision, own: self.copy.revision });
        }
        self.confirmed_at = Some(now);
        Ok(())
    }

    /// Replaces the copy by the whole state.
    ///
    /// # Errors
    ///
    /// The snapshot is older than the copy.
    pub fn apply_snapshot(&mut self, now: Duration, snapshot: Snapshot) -> Result<(), UpdateError> {
        if snapshot.revision < self.copy.revision {
            return Err(UpdateError::Stale { found: snapshot.revision, own: self.copy.revision });
        }
        self.copy = snapshot;
        self.updated(now);
        Ok(())
    }

    /// Applies changes that follow on this copy; those that it already has are skipped.
    ///
    /// # Errors
    ///
    /// A revision is missing. The changes before it are applied.
    pub fn apply_changes(&mut self, now: Duration, changes: &[Change]) -> Result<(), UpdateError> {
        let known = self.copy.revision;
        for change in changes.iter().filter(|change| change.revision > known) {
            self.apply_change(change)?;
        }
        self.updated(now);
        Ok(())
    }

    fn apply_change(&mut self, change: &Change) -> Result<(), UpdateError> {
        if change.revision != self.copy.revision + 1 {
            return Err(UpdateError::Gap { found: change.revision, own: self.copy.revision });
        }
        for (key, value) in &change.items {
            match value {
                Some(value) => {
                    let entry = Entry { value: value.clone(), revision: change.revision };
                    self.copy.entries.insert(key.clone(), entry);
                }
                None => {
                    self.copy.entries.remove(key);
                }
            }
        }
        self.copy.revision = change.revision;
        Ok(())
    }

    fn updated(&mut self, now: Duration) {
        self.confirmed_at = Some(now);
        let revision = self.copy.revision;
        self.local_drains.retain(|_, drain| drain.decided_revision.is_none_or(|decided| decided > revision));
    }

    fn drain_revision(&self, worker: &Name) -> u64 {
        self.copy.entries.get(&Key::Drain(worker.clone())).map_or(0, |entry| entry.revision)
    }

    /// Drains a worker at this dispatcher from now on. Drained here again, it is the same local drain.
    ///
    /// # Errors
    ///
    /// There are too many local drains.
    pub fn drain(
        &mut self, worker: Name, request_id: RequestId, requested_by: Name, requested_at_ms: u64,
        reason: Text,
    ) -> Result<(), LocalDrainError> {
        if self.local_drains.contains_key(&worker) {
            return Ok(());
        }
        if self.local_drains.len() >= MAX_LOCAL_DRAINS {
            return Err(LocalDrainError::Full);
        }
        let key_revision = self.drain_revision(&worker);
        let decided_revision = None;
        let drain =
            LocalDrain { request_id, requested_by, requested_at_ms, reason, key_revision, decided_revision };
        self.local_drains.insert(worker, drain);
        Ok(())
    }

    /// Removes a local drain. One that is replicated, or may be by now, only the group removes.
    ///
    /// # Errors
    ///
    /// The worker has no drain mark, or one that is or may be replicated.
    pub fn undrain(&mut self, worker: &Name) -> Result<(), LocalDrainError> {
        let is_replicated = self.drain_revision(worker) != 0;
        match self.local_drains.get(worker) {
            Some(drain) if drain.decided_revision.is_none() && !is_replicated => {
                self.local_drains.remove(worker);
                Ok(())
            }
            None if !is_replicated => Err(LocalDrainError::Unknown),
            _ => Err(LocalDrainError::Replicated),
        }
    }

    /// The command that proposes the next local drain to the group.
    pub fn next_proposal(&self) -> Option<Command> {
        let (worker, drain) = self.local_drains.iter().find(|(_, drain)| drain.decided_revision.is_none())?;
        let precondition = Precondition { key: Key::Drain(worker.clone()), revision: drain.key_revision };
        let action = Action::Change {
            operations: vec![Operation::Drain(worker.clone())],
            preconditions: vec![precondition],
            reason: drain.reason.clone(),
        };
        Some(Command {
            id: drain.request_id,
            issued_by: drain.requested_by.clone(),
            issued_at_ms: drain.requested_at_ms,
            action,
        })
    }

    /// Takes in the group's answer to a proposal.
    pub fn record_result(&mut self, request_id: RequestId, result: &CommandResult) -> ProposalOutcome {
        let proposed = self.local_drains.iter().find(|(_, drain)| drain.request_id == request_id);
        let Some(worker) = proposed.map(|(worker, _)| worker.clone()) else {
            return ProposalOutcome::Unknown;
        };
        // Either way the group has decided; the mark stays until this copy has the decision.
        let (decided_revision, outcome) = match result {
            Ok(done) => (done.revision, ProposalOutcome::Accepted),
            Err(Rejection::Conflict { state_revision, .. }) => (*state_revision, ProposalOutcome::Overruled),
            // There may be capacity later.
            Err(_) => return ProposalOutcome::Deferred,
        };
        if decided_revision <= self.copy.revision {
            self.local_drains.remove(&worker);
        } else if let Some(drain) = self.local_drains.get_mut(&worker) {
            drain.decided_revision = Some(decided_revision);
        }
        outcome
    }

    /// Workers with a drain mark, replicated or local.
    pub fn drained_workers(&self) -> BTreeSet<&Name> {
        let replicated = self.copy.entries.keys().filter_map(|key| match key {
            Key::Drain(worker) => Some(worker),
            _ => None,
        });
        replicated.chain(self.local_drains.keys()).collect()
    }

    /// The revision of the newest replicated drain mark.
    pub fn newest_drain_revision(&self) -> u64 {
        let drains = self.copy.entries.iter().take_while(|(key, _)| matches!(key, Key::Drain(_)));
        drains.map(|(_, entry)| entry.revision).max().unwrap_or(0)
    }

    /// The local drains, by worker.
    pub fn local_drains(&self) -> impl Iterator<Item = (&Name, &LocalDrain)> {
        self.local_drains.iter()
    }

    /// The revision at which that incarnation of a dispatcher was permitted to end, if it was.
    pub fn permit_granted_revision(&self, dispatcher: &Name, incarnation_id: IncarnationId) -> Option<u64> {
        let subject = Subject { kind: SubjectKind::Dispatcher, name: dispatcher.clone() };
        match &self.copy.entries.get(&Key::Permit(subject))?.value {
            // A permit of an earlier incarnation does not count, however old the copy is.
            Value::Permit(permit) if permit.incarnation_id == Some(incarnation_id) => {
                permit.granted_at_revision
            }
            _ => None,
        }
    }

    /// What a dispatcher with these observations has to report: the differences from the replicated list.
    pub fn diff_observations(&self, observed: &BTreeMap<Name, WorkerObservation>) -> WorkerDiff {
        let replicated = |name: &Name| match &self.copy.entries.get(&Key::Worker(name.clone()))?.value {
            Value::Worker(worker) => worker.observation(),
            _ => None,
        };
        let changed =
            observed.iter().filter(|(name, observation)| replicated(name).as_ref() != Some(*observation));
        let mut diff: WorkerDiff =
            changed.map(|(name, observation)| (name.clone(), Some(observation.clone()))).collect();
        let is_gone =
            |name: &Name, worker: &Worker| worker.observation().is_some() && !observed.contains_key(name);
        let gone = self.copy.entries.iter().filter_map(|(key, entry)| match (key, &entry.value) {
            (Key::Worker(name), Value::Worker(worker)) if is_gone(name, worker) => Some(name),
            _ => None,
        });
        diff.extend(gone.map(|name| (name.clone(), None)));
        if let Some(first_excess) = diff.keys().nth(MAX_WORKER_DIFF_ENTRIES).cloned() {
            diff.split_off(&first_excess);
        }
        diff
    }

    /// A setting's replicated value.
    pub fn setting(&self, name: &str) -> Option<f64> {
        match self.copy.entries.get(&Key::Setting(name.parse().ok()?))?.value {
            Value::Setting(value) => Some(value),
            _ => None,
        }
    }
}
