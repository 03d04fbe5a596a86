//! Determines whether a drained worker may be stopped, which requires a confirmation by every dispatcher.
//!
//! Heartbeats suffice for this, because a confirmation stays true:
//!
//! * A drain mark remains until the worker's permit ends.
//! * A dispatcher sends no more work to a worker once it knows of the drain mark.
//! * A dispatcher that stores a copy of the state confirms only what is stored, so its next incarnation knows
//!   of the drain from the start.
//! * Each new session has to confirm again.

use super::Sessions;
use crate::name::{Key, Name, Subject, SubjectKind};
use crate::state::State;
use crate::value::{Member, Presence};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// The reason why a dispatcher has not confirmed a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UnconfirmedReason {
    /// The dispatcher has applied changes only up to this revision, which precedes the drain.
    #[serde(rename = "behind")]
    StaleRevision(u64),
    /// The dispatcher has attempts in flight at the worker.
    Busy,
    /// The present leader has no report from the dispatcher's present session.
    #[serde(rename = "unheard")]
    NoReport,
    /// The dispatcher's session expired, or it left. Its process may still run and act on an old copy of the
    /// state. The drain is confirmed only after it returns or an operator removes the member.
    #[serde(rename = "cut_off")]
    Absent,
}

impl fmt::Display for UnconfirmedReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::StaleRevision(revision) => {
                write!(f, "acts by revision {revision}, which precedes the drain")
            }
            Self::Busy => f.write_str("has attempts outstanding at the worker"),
            Self::NoReport => f.write_str("has not sent a report to the present leader"),
            Self::Absent => f.write_str("is cut off or has stopped: it must return or be dismissed first"),
        }
    }
}

/// The progress of a worker's drain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainStatus {
    /// Revision at which the worker's permit was granted, or `None` if it has no permit or the permit waits.
    #[serde(rename = "granted")]
    pub granted_at_revision: Option<u64>,
    /// Dispatchers that have confirmed the drain and have nothing in flight at the worker.
    #[serde(rename = "clear")]
    pub confirmed: Vec<Name>,
    /// The other dispatchers, with the reason.
    #[serde(rename = "waits_for")]
    pub unconfirmed: BTreeMap<Name, UnconfirmedReason>,
}

impl DrainStatus {
    /// Returns whether the worker may be stopped: it has a granted permit, and every dispatcher has confirmed
    /// the drain.
    pub fn is_complete(&self) -> bool {
        self.granted_at_revision.is_some() && self.unconfirmed.is_empty()
    }
}

/// Returns the progress of a worker's drain, according to the state and the heartbeats that this leader has
/// received.
pub fn drain_status(state: &State, sessions: &Sessions, worker: &Name) -> DrainStatus {
    let subject = Subject { kind: SubjectKind::Worker, name: worker.clone() };
    let Some(granted) = state.permit(&subject).and_then(|permit| permit.granted_at_revision) else {
        return DrainStatus::default();
    };
    // The grant sets the drain mark unless the worker has one already, so the mark is never later than the
    // grant. A dispatcher that has applied an earlier mark has stopped sending work.
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
