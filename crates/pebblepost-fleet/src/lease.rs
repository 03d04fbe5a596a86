//! Leases: one member at a time does a task for the whole fleet. No I/O and no clock.
//!
//! A lease belongs to a member's *session*, and lasts as long as that: beats renew all leases of a member at once, and cost
//! no entry of the log. The state frees a lease when its holder gives it back, when the holder's session ended by silence, or when
//! the leader says that a session which was replaced has surely run out ([`Act::Lapse`](crate::Act::Lapse)): a process
//! that was replaced under its name may only be paused, and wake up. Each grant has a *fence*, the revision that made it: it
//! grows for ever, also over a restore, so that whatever is acted on can refuse an older one ([`Fence`]).

use crate::name::Name;
use crate::session::Ttl;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;
use thiserror::Error;

/// Most members that wait for one task.
pub const MAX_WAITING: usize = 64;

/// Who has a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Holder {
    /// The member.
    pub member: Name,
    /// Its session when it was granted.
    pub session: u64,
    /// The revision that granted it.
    pub fence: u64,
}

/// A task, who has it, and who waits for it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Lease {
    /// Who has it.
    pub holder: Option<Holder>,
    /// Who wants it, the first first.
    pub queue: Vec<Name>,
    /// The holder is asked to give it back.
    pub ends: bool,
    /// Who of the queue is to have it next.
    pub next: Option<Name>,
}

impl Lease {
    /// Whether a session has it.
    pub fn is_held_by(&self, member: &Name, session: u64) -> bool {
        self.holder.as_ref().is_some_and(|h| h.member == *member && h.session == session)
    }

    /// With a member that wants it; `None`: too many do.
    pub fn wanted_by(&self, member: &Name, session: u64) -> Option<Self> {
        let mut lease = self.clone();
        if !lease.is_held_by(member, session) && !lease.queue.contains(member) {
            if lease.queue.len() >= MAX_WAITING {
                return None;
            }
            lease.queue.push(member.clone());
        }
        Some(lease)
    }

    /// Without its holder.
    pub fn freed(&self) -> Self {
        Self { holder: None, ends: false, ..self.clone() }
    }

    /// Granted, if it is free and somebody who waits may have it. `session`: the present one of a member that may.
    pub fn settled(&self, revision: u64, session: impl Fn(&Name) -> Option<u64>) -> Option<Self> {
        if self.holder.is_some() {
            return None;
        }
        let may = |name: &&Name| session(name).is_some();
        let first = self.next.iter().filter(|next| self.queue.contains(next));
        let member = first.chain(&self.queue).find(may)?.clone();
        let holder = Holder { session: session(&member)?, fence: revision, member: member.clone() };
        let queue = self.queue.iter().filter(|n| **n != member).cloned().collect();
        Some(Self { holder: Some(holder), queue, ends: false, next: None })
    }

    /// Whether nobody has it or wants it.
    pub fn is_idle(&self) -> bool {
        self.holder.is_none() && self.queue.is_empty()
    }
}

/// How long a member may rely on its session, by its own clock: from before it sent the last beat that was answered, less the
/// margin for rates. The clock has to run on while the machine is suspended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tenure {
    session: u64,
    until: Duration,
}

impl Tenure {
    /// Of a session that was joined, or beaten for, by a request sent at that time and answered since.
    pub fn new(ttl: Ttl, session: u64, sent: Duration) -> Self {
        Self { session, until: sent + ttl.for_member() }
    }

    /// A later beat was answered.
    pub fn renewed(self, ttl: Ttl, session: u64, sent: Duration) -> Self {
        let other = Self::new(ttl, session, sent);
        if session == self.session { Self { until: self.until.max(other.until), ..self } } else { other }
    }

    /// The fence to act with for a step that takes so long at most, or why it must not begin.
    pub fn act(&self, now: Duration, longest: Duration, member: &Name, lease: &Lease) -> Result<u64, NoAct> {
        let holder = lease.holder.as_ref().filter(|h| h.member == *member && h.session == self.session);
        let holder = holder.ok_or(NoAct::NotOurs)?;
        if lease.ends {
            return Err(NoAct::Ends);
        }
        if now + longest >= self.until {
            return Err(NoAct::TooLate);
        }
        Ok(holder.fence)
    }
}

/// Why a step of a task must not begin.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum NoAct {
    /// The lease is somebody else's, or an earlier session's.
    #[error("the lease is not this session's")]
    NotOurs,
    /// It is asked back.
    #[error("the lease is asked back")]
    Ends,
    /// It might run out before the step ends.
    #[error("the session may end before the step does")]
    TooLate,
}

/// The side of what is acted on: the highest fence seen of each task. Where it must last over a restart, its owner keeps it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence(BTreeMap<Name, u64>);

/// A step came with a fence that a newer holder's has overtaken.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("fence {found} is older than {newest}")]
pub struct Stale {
    /// Of the step.
    pub found: u64,
    /// The newest seen.
    pub newest: u64,
}

impl Fence {
    /// Takes a step in, or refuses it.
    pub fn pass(&mut self, task: &Name, fence: u64) -> Result<(), Stale> {
        let newest = self.0.entry(task.clone()).or_insert(0);
        if fence < *newest {
            return Err(Stale { found: fence, newest: *newest });
        }
        *newest = fence;
        Ok(())
    }
}
