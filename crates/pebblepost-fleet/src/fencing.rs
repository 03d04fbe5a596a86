//! Lease checks outside the replicated state. [`SessionValidity`] keeps a holder from acting beyond its
//! session; [`FencingGuard`] lets the resource that is acted on reject an earlier holder. No I/O and no
//! clock.

use crate::name::Name;
use crate::session::SessionTtl;
use crate::value::Lease;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;
use thiserror::Error;

/// The time until which a member may rely on its session, by its own clock. It counts from before the last
/// acknowledged heartbeat was sent and subtracts the margin for clock rates. The clock must not stop while
/// the machine is suspended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SessionValidity {
    session: u64,
    valid_until: Duration,
}

impl SessionValidity {
    /// Returns the validity of a session that was begun or renewed by an acknowledged join or heartbeat sent
    /// at `sent_at`.
    pub fn new(ttl: SessionTtl, session: u64, sent_at: Duration) -> Self {
        Self { session, valid_until: sent_at + ttl.for_member() }
    }

    /// Returns the validity after a further acknowledged heartbeat. Of the same session the later end is
    /// kept; another session replaces this one.
    #[must_use]
    pub fn renewed(self, ttl: SessionTtl, session: u64, sent_at: Duration) -> Self {
        let renewal = Self::new(ttl, session, sent_at);
        if session == self.session {
            Self { valid_until: self.valid_until.max(renewal.valid_until), ..self }
        } else {
            renewal
        }
    }

    /// Returns the fencing token for a step of the task that takes at most `max_duration`.
    ///
    /// # Errors
    ///
    /// Fails if this session does not hold the lease, if the lease is revoked, or if the session may expire
    /// during the step.
    pub fn authorize(
        &self, now: Duration, max_duration: Duration, member: &Name, lease: &Lease,
    ) -> Result<u64, NotAuthorized> {
        let holder =
            lease.holder.as_ref().filter(|held| held.member == *member && held.session == self.session);
        let holder = holder.ok_or(NotAuthorized::NotHolder)?;
        if lease.revoked {
            return Err(NotAuthorized::Revoked);
        }
        if now + max_duration >= self.valid_until {
            return Err(NotAuthorized::WouldExpire);
        }
        Ok(holder.fencing_token)
    }
}

/// A step of a task must not begin.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum NotAuthorized {
    /// Another member, or an earlier session of this one, holds the lease.
    #[error("the lease is not held by this session")]
    NotHolder,
    /// The lease is revoked: its holder has to release it.
    #[error("the lease is revoked")]
    Revoked,
    /// The session may expire before the step ends.
    #[error("the session may expire before the step ends")]
    WouldExpire,
}

/// The highest fencing token seen for each task, kept by the resource that is acted on. If the check has to
/// survive a restart, the owner must store the guard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencingGuard(BTreeMap<Name, u64>);

/// A step carries a fencing token that is older than one seen before.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("fencing token {found} is older than {newest}")]
pub struct StaleFencingToken {
    /// Fencing token of the step.
    pub found: u64,
    /// Newest fencing token seen for the task.
    pub newest: u64,
}

impl FencingGuard {
    /// Checks the fencing token of a step and records it.
    ///
    /// # Errors
    ///
    /// Fails if a newer token of the task was seen before.
    pub fn check(&mut self, task: &Name, fencing_token: u64) -> Result<(), StaleFencingToken> {
        let newest = self.0.entry(task.clone()).or_insert(0);
        if fencing_token < *newest {
            return Err(StaleFencingToken { found: fencing_token, newest: *newest });
        }
        *newest = fencing_token;
        Ok(())
    }
}
