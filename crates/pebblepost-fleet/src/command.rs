//! Commands that change the replicated state, and their results.
//!
//! This module only defines the messages. It holds no state and checks only their form; the rules are in
//! [`State::apply`](crate::State::apply).

use crate::name::{IncarnationId, Key, Name, RequestId, Subject, SubjectKind, Text};
use crate::value::{Budget, Limit, MemberInfo, Snapshot, Worker, WorkerDiff};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A request to change the replicated state: one entry of the Raft log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Command {
    /// Id of the request. A retry carries the same id and is applied once.
    pub id: RequestId,
    /// Operator, member or replica that issued the command.
    #[serde(rename = "by")]
    pub issued_by: Name,
    /// Wall clock of the issuer, in Unix time in milliseconds. It is shown to operators; no decision depends
    /// on it.
    #[serde(rename = "at_ms")]
    pub issued_at_ms: u64,
    /// Requested change.
    #[serde(rename = "act")]
    pub action: Action,
}

/// The change that a [`Command`] requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Action {
    /// Applies all operations or none of them.
    Change {
        /// Operations, each on a different key.
        #[serde(rename = "ops")]
        operations: Vec<Operation>,
        /// Conditions that must all hold; otherwise nothing is changed.
        #[serde(rename = "expect", default)]
        preconditions: Vec<Precondition>,
        /// Reason, for the history.
        #[serde(rename = "why", default)]
        reason: Text,
    },
    /// Replaces drains, settings, budgets and workers by those of a backup. Members, leases, permits, halts
    /// and the release stay as they are, as do the drain marks of workers with a granted permit. Halts that
    /// only the backup has are added, and so are members, as lost. Revisions, sessions and incarnations never
    /// decrease.
    Restore(Snapshot),
    /// Registers the disk of a replica number, so that the replica may join the Raft group.
    #[serde(rename = "admit")]
    AdmitReplica {
        /// Number of the replica.
        #[serde(rename = "keeper")]
        replica: u64,
        /// Id of its disk.
        disk: u64,
    },
    /// Begins a session of a member, which supersedes its previous session.
    Join {
        /// Name of the member.
        member: Name,
        /// Id of the member's process.
        #[serde(rename = "life")]
        incarnation_id: IncarnationId,
        /// What the member reports about itself.
        #[serde(rename = "card")]
        info: MemberInfo,
    },
    /// Reports whether a member accepts new clients.
    #[serde(rename = "report")]
    ReportReadiness {
        /// Name of the member.
        member: Name,
        /// Session of the member.
        session: u64,
        /// Number of the report in this session, counted from 1. A delayed report changes nothing.
        #[serde(rename = "number")]
        sequence: u64,
        /// Whether the member accepts new clients.
        ready: bool,
    },
    /// Ends a session at the member's own request.
    Leave {
        /// Name of the member.
        member: Name,
        /// Session of the member.
        session: u64,
    },
    /// Queues a member for the leases of tasks. Each lease is granted once it is free and the member is the
    /// next eligible one.
    #[serde(rename = "acquire")]
    AcquireLeases {
        /// Name of the member.
        member: Name,
        /// Session of the member.
        session: u64,
        /// Tasks whose leases are requested.
        tasks: Vec<Name>,
    },
    /// Releases a lease whose holder has stopped acting on it, or removes a waiting member from its queue.
    #[serde(rename = "give_back")]
    ReleaseLease {
        /// Name of the member.
        member: Name,
        /// Session of the member at the grant.
        session: u64,
        /// Task of the lease.
        task: Name,
        /// Waiting member that gets the lease next, ahead of the queue.
        #[serde(rename = "to", default)]
        successor: Option<Name>,
    },
    /// Frees the leases of a superseded session that has certainly expired. The Raft leader issues this.
    #[serde(rename = "lapse")]
    ExpireSupersededSession {
        /// Name of the member.
        member: Name,
        /// Superseded session.
        session: u64,
    },
    /// Applies what a majority of the dispatchers observes of workers. The Raft leader issues this.
    #[serde(rename = "sighted")]
    UpdateWorkers {
        /// Observations by worker; `None` if the worker is gone.
        workers: WorkerDiff,
    },
    /// Ends a session that expired without heartbeats. The Raft leader issues this.
    #[serde(rename = "expire")]
    ExpireSession {
        /// Name of the member.
        member: Name,
        /// Expired session.
        session: u64,
    },
}

/// A change of the value at one key, with the changes that follow from it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Operation {
    /// Sets the drain mark of a worker, which gets no new work from then on.
    Drain(Name),
    /// Removes the drain mark of a worker.
    Undrain(Name),
    /// Sets the value of a setting.
    #[serde(rename = "set")]
    SetSetting(Name, f64),
    /// Removes the value of a setting, so that the value in the operator's configuration file applies again.
    #[serde(rename = "unset")]
    UnsetSetting(Name),
    /// Adds or replaces the record of a worker.
    #[serde(rename = "know")]
    PutWorker(Name, Worker),
    /// Removes the record of a worker.
    #[serde(rename = "forget")]
    RemoveWorker(Name),
    /// Removes an absent member and the record of its incarnations.
    #[serde(rename = "dismiss")]
    RemoveMember(Name),
    /// Sets the disruption budget of a kind.
    #[serde(rename = "budget")]
    SetBudget(SubjectKind, Budget),
    /// Removes the disruption budget of a kind. Without one no permit is granted.
    #[serde(rename = "unbudget")]
    RemoveBudget(SubjectKind),
    /// Stops granting permits of a kind. Granted permits stay.
    Halt(SubjectKind),
    /// Ends a halt.
    Resume(SubjectKind),
    /// Requests a permit, which is granted as soon as the budget allows it. A request for a subject that has
    /// a permit has no effect.
    #[serde(rename = "ask")]
    RequestPermit {
        /// Dispatcher or worker to take out of service.
        subject: Subject,
        /// Whether the request is granted before those that are not urgent.
        #[serde(default)]
        urgent: bool,
        /// Version with which a dispatcher has to return; any if empty.
        #[serde(rename = "want", default)]
        version: Text,
    },
    /// Withdraws a permit that is not granted yet. A granted permit cannot be withdrawn, because its subject
    /// may already be out of service.
    #[serde(rename = "withdraw")]
    WithdrawPermit(Subject),
    /// Ends the permit of a worker that has returned, if it was granted at that revision, and removes the
    /// drain mark.
    #[serde(rename = "back")]
    CompletePermit(Subject, u64),
    /// Ends a permit on the responsibility of an operator, who must give a reason.
    #[serde(rename = "force")]
    ForceCompletePermit(Subject),
    /// Begins a release: a permit is requested for every dispatcher with another version. If the release of
    /// that version is in progress, this has no effect.
    #[serde(rename = "release")]
    BeginRelease {
        /// Version to which all dispatchers change.
        #[serde(rename = "want")]
        version: Text,
        /// Number of dispatchers that may have the version in each wave, those of earlier waves included.
        waves: Vec<Limit>,
        /// Order of zones; see [`Release`](crate::value::Release).
        #[serde(rename = "zones", default)]
        zone_order: Vec<Text>,
    },
    /// Rolls the release back to this version in one wave. Unavailable dispatchers go first.
    #[serde(rename = "go_back")]
    RollBack(Text),
    /// Ends the wave with this number, counted from 0, and begins the next one.
    #[serde(rename = "advance")]
    AdvanceWave(u32),
    /// Ends the release once no permit for its version is left.
    EndRelease,
    /// Revokes a lease: its holder is asked to release it.
    #[serde(rename = "revoke")]
    RevokeLease {
        /// Task of the lease.
        task: Name,
        /// Fencing token of the grant to revoke. A later grant is not affected.
        #[serde(rename = "fence")]
        fencing_token: u64,
        /// Waiting member that gets the lease next, ahead of the queue.
        #[serde(rename = "to", default)]
        successor: Option<Name>,
    },
}

impl Operation {
    /// Returns the key that the operation changes.
    pub fn key(&self) -> Key {
        match self {
            Self::Drain(name) | Self::Undrain(name) => Key::Drain(name.clone()),
            Self::SetSetting(name, _) | Self::UnsetSetting(name) => Key::Setting(name.clone()),
            Self::PutWorker(name, _) | Self::RemoveWorker(name) => Key::Worker(name.clone()),
            Self::RemoveMember(name) => Key::Member(name.clone()),
            Self::SetBudget(kind, _) | Self::RemoveBudget(kind) => Key::Budget(*kind),
            Self::Halt(kind) | Self::Resume(kind) => Key::Halt(*kind),
            Self::BeginRelease { .. } | Self::RollBack(_) | Self::AdvanceWave(_) | Self::EndRelease => {
                Key::Release(SubjectKind::Dispatcher)
            }
            Self::RevokeLease { task, .. } => Key::Lease(task.clone()),
            Self::RequestPermit { subject, .. }
            | Self::WithdrawPermit(subject)
            | Self::CompletePermit(subject, _)
            | Self::ForceCompletePermit(subject) => Key::Permit(subject.clone()),
        }
    }
}

/// A condition on the revision at which a key was last changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Precondition {
    /// Key that is checked.
    pub key: Key,
    /// Required revision of its last change; 0 if the key must have no value.
    pub revision: u64,
}

/// The result of an accepted command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// Revision of the state after the command. A command without effect leaves it unchanged.
    pub revision: u64,
    /// New session, for [`Action::Join`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub session: Option<u64>,
}

/// The reason why a command was rejected without any effect.
#[derive(Clone, Debug, Error, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rejection {
    /// A precondition does not hold.
    #[error("{key} was changed at revision {found}, not at {expected}")]
    Conflict {
        /// Key of the precondition.
        key: Key,
        /// Revision that the precondition requires.
        expected: u64,
        /// Revision of the key's last change; 0 if it has no value.
        found: u64,
        /// Revision of the state that rejected the command.
        #[serde(rename = "at")]
        state_revision: u64,
    },
    /// The command is not valid, or not valid in the present state.
    #[error("{reason}")]
    Invalid {
        /// Reason, as readable text.
        #[serde(rename = "what")]
        reason: String,
    },
    /// A capacity limit is reached.
    #[error("no room for more: at most {capacity} {resource}")]
    Full {
        /// Name of the limited resource, as readable text.
        #[serde(rename = "what")]
        resource: String,
        /// Maximum number.
        #[serde(rename = "most")]
        capacity: usize,
    },
    /// A later incarnation has taken the member's name.
    #[error(
        "{member} has started anew since (life {incarnation}); this process must end or take another name"
    )]
    Superseded {
        /// Name of the member.
        member: Name,
        /// Number of the incarnation that has the name now.
        incarnation: u64,
    },
    /// The session has ended, or was superseded.
    #[error("session {session} of {member} has ended; join again")]
    #[serde(rename = "ended")]
    SessionEnded {
        /// Name of the member.
        member: Name,
        /// Session given in the command.
        session: u64,
    },
}

/// The result of a command.
pub type CommandResult = Result<Outcome, Rejection>;
