//! Whether a drained worker may be stopped: whether every dispatcher has confirmed the drain.
//!
//! Heartbeats are enough for that, because what a dispatcher confirms stays true: a drain mark stands until
//! the worker's permit ends, a dispatcher sends nothing more where it knows of one, and one that stores a
//! copy of the state confirms only what is stored, so that its next incarnation knows of it from the start. A
//! new session confirms anew.

use super::Sessions;
use crate::name::{Key, Name, Subject, SubjectKind};
use crate::state::State;
use crate::value::{Member, Presence};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Why a dispatcher has not confirmed a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UnconfirmedReason {
    /// It has applied changes up to this revision, which is before the drain.
    #[serde(rename = "behind")]
    StaleRevision(u64),
    /// It has attempts in flight at the worker.
    Busy,
    /// The present leader has no report from its present session.
    #[serde(rename = "unheard")]
    NoReport,
    /// Its session expired, or it left. It may run all the same, and then acts by what it knows: only its
    /// return, or an operator who removes the member, decides that.
    #[serde(rename = "cut_off")]
    Absent,
}

impl fmt::Display for UnconfirmedReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::StaleRevision(revision) => {
                write!(f, "acts by revision {revision}, from before the drain")
            }
            Self::Busy => f.write_str("has attempts out there"),
            Self::NoReport => f.write_str("has not been heard yet"),
            Self::Absent => {
                f.write_str("is cut off, or has ended: it is back, or dismissed, before this is known")
            }
        }
    }
}

/// The progress of a worker's drain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainStatus {
    /// The revision at which its permit was granted; `None`: there is none, or it waits.
    #[serde(rename = "granted")]
    pub granted_at_revision: Option<u64>,
    /// Dispatchers that have confirmed the drain and have nothing in flight at the worker.
    #[serde(rename = "clear")]
    pub confirmed: Vec<Name>,
    /// The other dispatchers.
    #[serde(rename = "waits_for")]
    pub unconfirmed: BTreeMap<Name, UnconfirmedReason>,
}

impl DrainStatus {
    /// Whether the worker may be stopped: it has a granted permit, and every dispatcher has confirmed the
    /// drain.
    pub fn is_complete(&self) -> bool {
        self.granted_at_revision.is_some() && self.unconfirmed.is_empty()
    }
}

/// The progress of a worker's drain, by the state and the heartbeats that this leader has received.
pub fn drain_status(state: &State, sessions: &Sessions, worker: &Name) -> DrainStatus {
    let subject = Subject { kind: SubjectKind::Worker, name: worker.clone() };
    let Some(granted) = state.permit(&subject).and_then(|permit| permit.granted_at_revision) else {
        return DrainStatus::default();
    };
    // A drain mark from before the permit is enough; none can come after it, as the grant sets it.
    let drained_since =
        state.get(&Key::Drain(worker.clone())).map_or(granted, |entry| entry.revision.min(granted));
    let mut status = DrainStatus { granted_at_revision: Some(granted), ..DrainStatus::default() };
    for (name, member) in state.members().filter(|(_, member)| member.is_dispatcher()) {
        match unconfirmed_reason(sessions, name, member, worker, drained_since) {
            Some(reason) => {
                status.unconfirmed.insert(name.clone(), reason);
            }
            None => status.confirmed.push(name.clone()),
        }
    }
    status
}

fn unconfirmed_reason(
    sessions: &Sessions, name: &Name, member: &Member, worker: &Name, drained_since: u64,
) -> Option<UnconfirmedReason> {
    if member.presence != Presence::Present {
        return Some(UnconfirmedReason::Absent);
    }
    match sessions.report(name, member.session) {
        None => Some(UnconfirmedReason::NoReport),
        Some(report) if report.applied_revision < drained_since => {
            Some(UnconfirmedReason::StaleRevision(report.applied_revision))
        }
        Some(report) if report.busy_workers.contains(worker) => Some(UnconfirmedReason::Busy),
        Some(_) => None,
    }
}
