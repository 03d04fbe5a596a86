//! A dispatcher's copy of the replicated state, and the drains requested at the dispatcher while it was
//! partitioned from the Raft group.
//!
//! A drain requested here takes effect at once as a *local drain*. When the group is reachable again, the
//! drain is proposed with a precondition: the revision that its key had at the request. If the group has
//! changed the drain of that worker in the meantime, **the group's decision wins**, because it may be newer
//! and is in the history. Otherwise the drain becomes replicated. In both cases the local drain is removed
//! only once this copy contains the decision, so there is no gap without a mark.

use crate::command::{Action, Command, CommandResult, Operation, Precondition, Rejection};
use crate::name::{IncarnationId, Key, Name, RequestId, Subject, SubjectKind, Text};
use crate::value::{
    Change, Entry, MAX_WORKER_DIFF_ENTRIES, Snapshot, Value, Worker, WorkerDiff, WorkerObservation,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use thiserror::Error;

/// Maximum number of local drains.
pub const MAX_LOCAL_DRAINS: usize = 1_024;

/// A drain that was requested at this dispatcher and is not yet part of its copy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LocalDrain {
    /// Id of the request, which is the same in each proposal.
    #[serde(rename = "id")]
    pub request_id: RequestId,
    /// Operator that requested the drain.
    #[serde(rename = "by")]
    pub requested_by: Name,
    /// Wall clock of this machine at the request, in Unix time in milliseconds.
    #[serde(rename = "at_ms")]
    pub requested_at_ms: u64,
    /// Reason given with the request.
    #[serde(rename = "why")]
    pub reason: Text,
    /// Revision of the drain's key in this copy at the request; 0 if it had no value.
    #[serde(rename = "seen")]
    pub key_revision: u64,
    /// Revision at which the group accepted or overruled the drain, or `None` before that. The local drain
    /// stays until the copy has reached this revision.
    #[serde(rename = "taken")]
    pub decided_revision: Option<u64>,
}

/// An update cannot be applied to this copy.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum UpdateError {
    /// The update does not continue at the revision of this copy, so a snapshot is needed.
    #[error("changes from revision {found} do not follow on {own}")]
    Gap {
        /// Revision of the first change that does not follow, or of the confirmation.
        found: u64,
        /// Revision of the copy.
        own: u64,
    },
    /// The update is older than this copy.
    #[error("a snapshot of revision {found} is older than {own}")]
    Stale {
        /// Revision of the snapshot.
        found: u64,
        /// Revision of the copy.
        own: u64,
    },
}

/// A request to drain or undrain a worker at this dispatcher alone is rejected.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum LocalDrainError {
    /// The maximum number of local drains is reached.
    #[error("no room for more local drains: at most {MAX_LOCAL_DRAINS}")]
    Full,
    /// The drain is or may be replicated, so only the group can remove it.
    #[error("the drain is agreed by the group; take it back there")]
    Replicated,
    /// The worker has no local drain, and no replicated one.
    #[error("no drain mark of that name")]
    Unknown,
}

/// The outcome of a proposed local drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposalOutcome {
    /// The group has accepted the drain.
    Accepted,
    /// The group had changed the worker's drain in the meantime. Its decision applies once the copy contains
    /// it.
    Overruled,
    /// The group cannot accept the drain now. It stays local and is proposed again.
    Deferred,
    /// No local drain has this request id any more.
    Unknown,
}

/// A dispatcher's copy of the state, with its local drains.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Follower {
    copy: Snapshot,
    #[serde(rename = "local")]
    local_drains: BTreeMap<Name, LocalDrain>,
    /// Time at which the group last confirmed this copy; not stored.
    #[serde(skip)]
    confirmed_at: Option<Duration>,
}

impl Follower {
    /// Returns the revision of the copy.
    pub fn revision(&self) -> u64 {
        self.copy.revision
    }

    /// Returns the copy.
    pub fn copy(&self) -> &Snapshot {
        &self.copy
    }

    /// Returns how long ago the group last confirmed this copy, or `None` if it has not done so since this
    /// process started.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at.map(|confirmed_at| now.saturating_sub(confirmed_at))
    }

    /// Records that the group has no changes after that revision.
    ///
    /// # Errors
    ///
    /// Fails if the copy has another revision.
    pub fn confirm(&mut self, now: Duration, revision: u64) -> Result<(), UpdateError> {
        if revision != self.copy.revision {
            return Err(UpdateError::Gap { found: revision, own: self.copy.revision });
        }
        self.confirmed_at = Some(now);
        Ok(())
    }

    /// Replaces the copy by a snapshot of the state.
    ///
    /// # Errors
    ///
    /// Fails if the snapshot is older than the copy.
    pub fn apply_snapshot(&mut self, now: Duration, snapshot: Snapshot) -> Result<(), UpdateError> {
        if snapshot.revision < self.copy.revision {
            return Err(UpdateError::Stale { found: snapshot.revision, own: self.copy.revision });
        }
        self.copy = snapshot;
        self.mark_confirmed(now);
        Ok(())
    }

    /// Applies the changes that follow this copy and skips those that it already contains.
    ///
    /// # Errors
    ///
    /// Fails if a revision is missing. The changes before the gap are applied.
    pub fn apply_changes(&mut self, now: Duration, changes: &[Change]) -> Result<(), UpdateError> {
        let known = self.copy.revision;
        for change in changes.iter().filter(|change| change.revision > known) {
            self.apply_change(change)?;
        }
        self.mark_confirmed(now);
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

    /// Records a confirmation by the group, and removes the local drains whose decision the copy now
    /// contains.
    fn mark_confirmed(&mut self, now: Duration) {
        self.confirmed_at = Some(now);
        let revision = self.copy.revision;
        self.local_drains.retain(|_, drain| drain.decided_revision.is_none_or(|decided| decided > revision));
    }

    fn drain_revision(&self, worker: &Name) -> u64 {
        self.copy.entries.get(&Key::Drain(worker.clone())).map_or(0, |entry| entry.revision)
    }

    /// Drains a worker at this dispatcher. A worker that has a local drain keeps it unchanged.
    ///
    /// # Errors
    ///
    /// Fails if there are [`MAX_LOCAL_DRAINS`] local drains already.
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

    /// Removes a local drain. Only the group can remove a drain that is or may be replicated.
    ///
    /// # Errors
    ///
    /// Fails if the worker has no drain mark, or one that is or may be replicated.
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

    /// Returns the command that proposes the next undecided local drain to the group.
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

    /// Records the group's answer to a proposal.
    pub fn record_result(&mut self, request_id: RequestId, result: &CommandResult) -> ProposalOutcome {
        let proposed = self.local_drains.iter().find(|(_, drain)| drain.request_id == request_id);
        let Some(worker) = proposed.map(|(worker, _)| worker.clone()) else {
            return ProposalOutcome::Unknown;
        };
        // After an acceptance or a conflict the group has decided; the local drain stays until this copy
        // contains the decision.
        let (decided_revision, outcome) = match result {
            Ok(done) => (done.revision, ProposalOutcome::Accepted),
            Err(Rejection::Conflict { state_revision, .. }) => (*state_revision, ProposalOutcome::Overruled),
            // Other rejections may be temporary: the group may have capacity later.
            Err(_) => return ProposalOutcome::Deferred,
        };
        if decided_revision <= self.copy.revision {
            self.local_drains.remove(&worker);
        } else if let Some(drain) = self.local_drains.get_mut(&worker) {
            drain.decided_revision = Some(decided_revision);
        }
        outcome
    }

    /// Returns the workers with a drain mark, replicated or local.
    pub fn drained_workers(&self) -> BTreeSet<&Name> {
        let replicated = self.copy.entries.keys().filter_map(|key| match key {
            Key::Drain(worker) => Some(worker),
            _ => None,
        });
        replicated.chain(self.local_drains.keys()).collect()
    }

    /// Returns the revision of the newest replicated drain mark, or 0 if there is none.
    pub fn newest_drain_revision(&self) -> u64 {
        let drains = self.copy.entries.iter().take_while(|(key, _)| matches!(key, Key::Drain(_)));
        drains.map(|(_, entry)| entry.revision).max().unwrap_or(0)
    }

    /// Iterates over the local drains, by worker.
    pub fn local_drains(&self) -> impl Iterator<Item = (&Name, &LocalDrain)> {
        self.local_drains.iter()
    }

    /// Returns the revision at which this incarnation of a dispatcher was granted a permit to end, if it was.
    pub fn permit_granted_revision(&self, dispatcher: &Name, incarnation_id: IncarnationId) -> Option<u64> {
        let subject = Subject { kind: SubjectKind::Dispatcher, name: dispatcher.clone() };
        match &self.copy.entries.get(&Key::Permit(subject))?.value {
            // A permit granted to an earlier incarnation does not apply. An outdated copy may still contain
            // one.
            Value::Permit(permit) if permit.incarnation_id == Some(incarnation_id) => {
                permit.granted_at_revision
            }
            _ => None,
        }
    }

    /// Returns the differences between a dispatcher's observations and the replicated list, which it reports
    /// with its heartbeats. The diff is limited to the first [`MAX_WORKER_DIFF_ENTRIES`] workers by name.
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

    /// Returns the replicated value of a setting.
    pub fn setting(&self, name: &str) -> Option<f64> {
        match self.copy.entries.get(&Key::Setting(name.parse().ok()?))?.value {
            Value::Setting(value) => Some(value),
            _ => None,
        }
    }
}
