//! What may be asked of the agreed state, and what is answered.

pub use crate::name::RequestId;
use crate::name::{Key, Kind, Name, Subject, Text};
use crate::permit::{Budget, Limit};
use crate::sight::{Different, Seen, Sight};
use crate::state::Snapshot;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use thiserror::Error;

/// A request for a change of the agreed state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Command {
    /// The same each time that this request is sent.
    pub id: RequestId,
    /// Who asks: an operator or a member.
    pub by: Name,
    /// The asker's wall clock, in Unix time in milliseconds. It is shown to people and decides nothing.
    pub at_ms: u64,
    /// What is asked for.
    pub act: Act,
}

/// What is asked for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Act {
    /// All of these changes or none of them.
    Change {
        /// The changes, each key at most once.
        ops: Vec<Op>,
        /// Nothing is changed unless all of this still holds.
        #[serde(default)]
        expect: Vec<Expect>,
        /// Why, for the history.
        #[serde(default)]
        why: Text,
    },
    /// Drains, settings, budgets and workers become what a backup says. Members, permits and halts stay as they are; members
    /// that only the backup knows count as lost. Revisions, sessions and incarnations do not go back.
    Restore(Snapshot),
    /// A keeper of this number and disk may be taken in.
    Admit {
        /// Its number.
        keeper: u64,
        /// Its disk.
        disk: u64,
    },
    /// A member begins a session; the one it had before ends.
    Join {
        /// Which.
        member: Name,
        /// Drawn once by each process at its start: tells its life from those before it.
        life: RequestId,
        /// The rest.
        card: Card,
    },
    /// A member takes new clients from now on, or none.
    Report {
        /// Which.
        member: Name,
        /// The session.
        session: u64,
        /// Counts its reports in this session, from 1: one that comes late changes nothing.
        number: u64,
        /// Whether it does.
        ready: bool,
    },
    /// A member ends its session of its own accord.
    Leave {
        /// Which.
        member: Name,
        /// The session.
        session: u64,
    },
    /// A member wants tasks: each is granted as soon as it is free and the member is its next.
    Acquire {
        /// Which.
        member: Name,
        /// Its session.
        session: u64,
        /// The tasks.
        tasks: Vec<Name>,
    },
    /// A holder has stopped acting and gives a task back, or one that waits does so no more.
    GiveBack {
        /// Which.
        member: Name,
        /// Its session when it was granted.
        session: u64,
        /// The task.
        task: Name,
        /// Who is to have it next.
        #[serde(default)]
        to: Option<Name>,
    },
    /// A session that was replaced has surely run out, so that its leases are free. Asked by the leader of the keepers.
    Lapse {
        /// Whose it was.
        member: Name,
        /// The session.
        session: u64,
    },
    /// These workers are seen so by most dispatchers. Asked by the leader of the keepers.
    Sighted {
        /// How each stands; `None`: it is no more.
        workers: Different,
    },
    /// A member has not been heard for too long. Asked by the leader of the keepers.
    Expire {
        /// Which.
        member: Name,
        /// The session that has not been heard.
        session: u64,
    },
}

/// One change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Op {
    /// Nothing new goes to this worker.
    Drain(Name),
    /// Takes the drain mark back.
    Undrain(Name),
    /// A setting gets this value.
    Set(Name, f64),
    /// A setting goes back to what the operator's file says.
    Unset(Name),
    /// A worker is known like this.
    Know(Name, Worker),
    /// A worker is known no more.
    Forget(Name),
    /// A member that is not there is known no more, nor are its former lives.
    Dismiss(Name),
    /// So many of a kind may be out at once.
    Budget(Kind, Budget),
    /// No budget any more: nothing of the kind may go out.
    Unbudget(Kind),
    /// Nothing more of the kind goes out until it is resumed. What is out already may come back.
    Halt(Kind),
    /// The end of a halt.
    Resume(Kind),
    /// One wants to go out. It is granted as soon as it fits; asked for again, it is the same permit.
    Ask {
        /// Which.
        subject: Subject,
        /// Goes before those that are not.
        #[serde(default)]
        urgent: bool,
        /// The version that a dispatcher must have to count as back; empty: any.
        #[serde(default)]
        want: Text,
    },
    /// One that waits does not want to go any more. A granted permit is not taken back: its subject may be going already.
    Withdraw(Subject),
    /// A worker is back: the permit granted at that revision ends, and the drain mark with it.
    Back(Subject, u64),
    /// An operator answers for it that a subject counts as back.
    Force(Subject),
    /// All dispatchers are to have this version, so many of them in each wave. All that have another one are asked for with
    /// it; begun again, it is the same release.
    Release {
        /// The version.
        want: Text,
        /// How many may have it in each wave, those of the waves before among them.
        waves: Vec<Limit>,
        /// Zones in the order in which they go; see [`Release`](crate::permit::Release).
        #[serde(default)]
        zones: Vec<Text>,
    },
    /// The release is given up: all that have its version, or may be going over to it, go back to this one, those that are
    /// out first, and without waves.
    GoBack(Text),
    /// The wave of this number, counted from 0, is all back and was watched: the next one begins.
    Advance(u32),
    /// The release is over: all have its version.
    EndRelease,
    /// The holder of a task, by the fence of its grant, is to give it back; somebody named has it next.
    Revoke {
        /// The task.
        task: Name,
        /// The fence.
        fence: u64,
        /// Who has it next.
        #[serde(default)]
        to: Option<Name>,
    },
}

impl Op {
    /// The place that it changes.
    pub fn key(&self) -> Key {
        match self {
            Self::Drain(name) | Self::Undrain(name) => Key::Drain(name.clone()),
            Self::Set(name, _) | Self::Unset(name) => Key::Setting(name.clone()),
            Self::Know(name, _) | Self::Forget(name) => Key::Worker(name.clone()),
            Self::Dismiss(name) => Key::Member(name.clone()),
            Self::Budget(kind, _) | Self::Unbudget(kind) => Key::Budget(*kind),
            Self::Halt(kind) | Self::Resume(kind) => Key::Halt(*kind),
            Self::Release { .. } | Self::GoBack(_) | Self::Advance(_) | Self::EndRelease => {
                Key::Release(Kind::Dispatcher)
            }
            Self::Revoke { task, .. } => Key::Lease(task.clone()),
            Self::Ask { subject, .. }
            | Self::Withdraw(subject)
            | Self::Back(subject, _)
            | Self::Force(subject) => Key::Permit(subject.clone()),
        }
    }
}

/// A precondition: the key was changed last at this revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Expect {
    /// The key.
    pub key: Key,
    /// Its revision; 0: it is not there.
    pub revision: u64,
}

/// A worker as it was last known.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Worker {
    /// Where it is reached, if all reach it at one address.
    #[serde(default)]
    pub dial: Option<SocketAddr>,
    /// Its zone.
    #[serde(default)]
    pub zone: Text,
    /// Its kind of machine.
    #[serde(default)]
    pub kind: Text,
    /// Its last start, in Unix time in milliseconds; 0: long ago.
    #[serde(default)]
    pub born_ms: u64,
    /// Most slots seen free.
    #[serde(default)]
    pub slots: u32,
    /// How most dispatchers see it; `None`: they have told nothing of it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sight: Option<Sight>,
}

impl Worker {
    /// It as most dispatchers see it.
    pub fn seen(&self) -> Option<Seen> {
        Some(Seen { zone: self.zone.clone(), kind: self.kind.clone(), sight: self.sight? })
    }
}

/// What a member says of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Card {
    /// What it is.
    pub role: Role,
    /// Version of its program.
    #[serde(default)]
    pub version: Text,
    /// Where it is reached.
    #[serde(default)]
    pub address: Option<SocketAddr>,
    /// Its zone.
    #[serde(default)]
    pub zone: Text,
    /// Whether it takes new clients; see [`Act::Report`].
    #[serde(default)]
    pub ready: bool,
}

/// What a member is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// It dispatches.
    Dispatcher,
    /// It keeps the agreed state.
    Keeper,
}

/// What was done.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Done {
    /// The revision of the state after it. A command that changes nothing leaves it as it was.
    pub revision: u64,
    /// The session, for a `Join`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub session: Option<u64>,
}

/// Why nothing was done. The same command is refused again for as long as this holds.
#[derive(Clone, Debug, Error, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// A precondition does not hold.
    #[error("{key} was changed at revision {found}, not at {expected}")]
    Conflict {
        /// Which key.
        key: Key,
        /// The revision named.
        expected: u64,
        /// The revision that it has; 0: it is not there.
        found: u64,
        /// The revision of the state that says so.
        at: u64,
    },
    /// The command makes no sense.
    #[error("{what}")]
    Invalid {
        /// Why.
        what: String,
    },
    /// There is no room for more of its kind.
    #[error("no room for more: at most {most} {what}")]
    Full {
        /// Of what.
        what: String,
        /// How many fit.
        most: usize,
    },
    /// The member's name belongs to a later life.
    #[error(
        "{member} has started anew since (life {incarnation}); this process must end or take another name"
    )]
    Superseded {
        /// Which member.
        member: Name,
        /// The incarnation that has the name now.
        incarnation: u64,
    },
    /// The session has ended.
    #[error("session {session} of {member} has ended; join again")]
    Ended {
        /// Which member.
        member: Name,
        /// The session named.
        session: u64,
    },
}

/// What is answered to a command.
pub type Answer = Result<Done, Refusal>;
