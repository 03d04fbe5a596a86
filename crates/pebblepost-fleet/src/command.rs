//! Commands: what may change the replicated state, and what is answered.
//!
//! This module only holds the messages. It owns no state and checks nothing but their form; the rules are in
//! [`State::apply`](crate::State::apply).

use crate::name::{IncarnationId, Key, Name, RequestId, Subject, SubjectKind, Text};
use crate::value::{Budget, Limit, MemberInfo, Snapshot, Worker, WorkerDiff};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A request for a change of the replicated state: one entry of the Raft log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Command {
    /// Identifies the request: a retry carries the same id and is applied once.
    pub id: RequestId,
    /// The operator, member or replica that issued it.
    #[serde(rename = "by")]
    pub issued_by: Name,
    /// The issuer's wall clock, in Unix time in milliseconds. Shown to operators; no decision depends on it.
    #[serde(rename = "at_ms")]
    pub issued_at_ms: u64,
    /// The requested change.
    #[serde(rename = "act")]
    pub action: Action,
}

/// What a [`Command`] asks for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Action {
    /// Applies all operations or none of them.
    Change {
        /// The operations; each key at most once.
        #[serde(rename = "ops")]
        operations: Vec<Operation>,
        /// Nothing is changed unless all of these hold.
        #[serde(rename = "expect", default)]
        preconditions: Vec<Precondition>,
        /// The reason, for the history.
        #[serde(rename = "why", default)]
        reason: Text,
    },
    /// Replaces drains, settings, budgets and workers by those of a backup. Members, permits and halts stay
    /// as they are; members that only the backup has become lost. Revisions, sessions and incarnations never
    /// go back.
    Restore(Snapshot),
    /// Registers the disk of a replica's number, so that the replica may join the Raft group.
    #[serde(rename = "admit")]
    AdmitReplica {
        /// The replica's number.
        #[serde(rename = "keeper")]
        replica: u64,
        /// The id of its disk.
        disk: u64,
    },
    /// Begins a session of a member; its previous session ends.
    Join {
        /// The member.
        member: Name,
        /// The id of the member's process.
        #[serde(rename = "life")]
        incarnation_id: IncarnationId,
        /// What the member says about itself.
        #[serde(rename = "card")]
        info: MemberInfo,
    },
    /// Reports whether a member accepts new clients.
    #[serde(rename = "report")]
    ReportReadiness {
        /// The member.
        member: Name,
        /// Its session.
        session: u64,
        /// Counts the reports of this session, from 1: a late one changes nothing.
        #[serde(rename = "number")]
        sequence: u64,
        /// Whether it accepts new clients.
        ready: bool,
    },
    /// Ends a session at the member's own request.
    Leave {
        /// The member.
        member: Name,
        /// Its session.
        session: u64,
    },
    /// Queues a member for the leases of tasks. Each is granted as soon as it is free and the member is next.
    #[serde(rename = "acquire")]
    AcquireLeases {
        /// The member.
        member: Name,
        /// Its session.
        session: u64,
        /// The tasks.
        tasks: Vec<Name>,
    },
    /// Releases a lease whose holder has stopped acting on it, or removes a waiting member from its queue.
    #[serde(rename = "give_back")]
    ReleaseLease {
        /// The member.
        member: Name,
        /// Its session when the lease was granted.
        session: u64,
        /// The task.
        task: Name,
        /// The member that gets the lease next.
        #[serde(rename = "to", default)]
        successor: Option<Name>,
    },
    /// Frees the leases of a superseded session that has certainly expired. Issued by the Raft leader.
    #[serde(rename = "lapse")]
    ExpireSupersededSession {
        /// The member.
        member: Name,
        /// The superseded session.
        session: u64,
    },
    /// Takes in what a majority of the dispatchers observes of workers. Issued by the Raft leader.
    #[serde(rename = "sighted")]
    UpdateWorkers {
        /// The observations by worker; `None`: the worker is gone.
        workers: WorkerDiff,
    },
    /// Ends a session without heartbeats. Issued by the Raft leader.
    #[serde(rename = "expire")]
    ExpireSession {
        /// The member.
        member: Name,
        /// The session.
        session: u64,
    },
}

/// One change of the value at one key (and of those that follow from it).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Operation {
    /// Sets a worker's drain mark: no new work goes to it.
    Drain(Name),
    /// Removes a worker's drain mark.
    Undrain(Name),
    /// Sets a setting's value.
    #[serde(rename = "set")]
    SetSetting(Name, f64),
    /// Removes a setting's value: the one of the operator's file applies again.
    #[serde(rename = "unset")]
    UnsetSetting(Name),
    /// Adds or replaces a worker.
    #[serde(rename = "know")]
    PutWorker(Name, Worker),
    /// Removes a worker.
    #[serde(rename = "forget")]
    RemoveWorker(Name),
    /// Removes an absent member together with its incarnations.
    #[serde(rename = "dismiss")]
    RemoveMember(Name),
    /// Sets the disruption budget of a kind.
    #[serde(rename = "budget")]
    SetBudget(SubjectKind, Budget),
    /// Removes the budget of a kind: no permit is granted without one.
    #[serde(rename = "unbudget")]
    RemoveBudget(SubjectKind),
    /// Stops granting permits of a kind. Granted permits stay.
    Halt(SubjectKind),
    /// Ends a halt.
    Resume(SubjectKind),
    /// Requests a permit. It is granted as soon as the budget allows it; requested again, it is the same
    /// permit.
    #[serde(rename = "ask")]
    RequestPermit {
        /// The dispatcher or worker.
        subject: Subject,
        /// Served before requests that are not urgent.
        #[serde(default)]
        urgent: bool,
        /// The version with which a dispatcher has to return; empty: any.
        #[serde(rename = "want", default)]
        version: Text,
    },
    /// Withdraws a permit that was not granted yet. A granted one stays: its subject may have gone already.
    #[serde(rename = "withdraw")]
    WithdrawPermit(Subject),
    /// A worker has returned: ends the permit granted at that revision and removes the drain mark.
    #[serde(rename = "back")]
    CompletePermit(Subject, u64),
    /// Ends a permit on an operator's responsibility.
    #[serde(rename = "force")]
    ForceCompletePermit(Subject),
    /// Begins a release: every dispatcher with another version gets a permit request. Begun again, it is the
    /// same release.
    #[serde(rename = "release")]
    BeginRelease {
        /// The version.
        #[serde(rename = "want")]
        version: Text,
        /// How many dispatchers may have the version in each wave, those of earlier waves included.
        waves: Vec<Limit>,
        /// The order of zones; see [`Release`](crate::value::Release).
        #[serde(rename = "zones", default)]
        zone_order: Vec<Text>,
    },
    /// Rolls the release back to this version, in one wave; dispatchers that are unavailable go first.
    #[serde(rename = "go_back")]
    RollBack(Text),
    /// Ends the wave of this number, counted from 0, and begins the next.
    #[serde(rename = "advance")]
    AdvanceWave(u32),
    /// Ends a release that all dispatchers have completed.
    EndRelease,
    /// Asks the holder of a lease to release it.
    #[serde(rename = "revoke")]
    RevokeLease {
        /// The task.
        task: Name,
        /// The fencing token of the grant that is meant.
        #[serde(rename = "fence")]
        fencing_token: u64,
        /// The member that gets the lease next.
        #[serde(rename = "to", default)]
        successor: Option<Name>,
    },
}

impl Operation {
    /// The key that it changes.
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

/// A precondition: the last change of a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Precondition {
    /// The key.
    pub key: Key,
    /// The revision of its last change; 0: the key has no value.
    pub revision: u64,
}

/// What an accepted command did.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// The revision of the state after the command, which a command without effect leaves as it was.
    pub revision: u64,
    /// The new session, for [`Action::Join`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub session: Option<u64>,
}

/// Why a command was rejected without any effect.
#[derive(Clone, Debug, Error, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rejection {
    /// A precondition does not hold.
    #[error("{key} was changed at revision {found}, not at {expected}")]
    Conflict {
        /// The key.
        key: Key,
        /// The revision of the precondition.
        expected: u64,
        /// The revision of the key's last change; 0: it has no value.
        found: u64,
        /// The revision of the state that rejects.
        #[serde(rename = "at")]
        state_revision: u64,
    },
    /// The command is not valid, or not in this state.
    #[error("{reason}")]
    Invalid {
        /// The reason, for people.
        #[serde(rename = "what")]
        reason: String,
    },
    /// A capacity limit is reached.
    #[error("no room for more: at most {capacity} {resource}")]
    Full {
        /// The limited resource, for people.
        #[serde(rename = "what")]
        resource: String,
        /// The limit.
        #[serde(rename = "most")]
        capacity: usize,
    },
    /// A later incarnation has the member's name.
    #[error(
        "{member} has started anew since (life {incarnation}); this process must end or take another name"
    )]
    Superseded {
        /// The member.
        member: Name,
        /// The incarnation that has the name now.
        incarnation: u64,
    },
    /// The session has ended.
    #[error("session {session} of {member} has ended; join again")]
    #[serde(rename = "ended")]
    SessionEnded {
        /// The member.
        member: Name,
        /// The session named.
        session: u64,
    },
}

/// The answer to a command.
pub type CommandResult = Result<Outcome, Rejection>;
