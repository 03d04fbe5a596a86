//! The two sides of a lease outside the state: the holder, which must not act beyond its session, and what is
//! acted on, which rejects an older holder. No I/O and no clock.

use crate::name::Name;
use crate::session::SessionTtl;
use crate::value::Lease;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;
use thiserror::Error;

/// How long a member may rely on its session, by its own clock: from before it sent the last acknowledged
/// heartbeat, less the margin for clock rates. The clock has to run on while the machine is suspended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SessionValidity {
    session: u64,
    until: Duration,
}

impl SessionValidity {
    /// Of a session that an acknowledged join or heartbeat, sent at that time, began or renewed.
    pub fn new(ttl: SessionTtl, session: u64, sent_at: Duration) -> Self {
        Self { session, until: sent_at + ttl.for_member() }
    }

    /// Renewed by a later acknowledged heartbeat.
    #[must_use]
    pub fn renewed(self, ttl: SessionTtl, session: u64, sent_at: Duration) -> Self {
        let other = Self::new(ttl, session, sent_at);
        if session == self.session { Self { until: self.until.max(other.until), ..self } } else { other }
    }

    /// The fencing token to act with for a step of at most that duration.
    ///
    /// # Errors
    ///
    /// The lease is not held by this session, is revoked, or may expire during the step.
    pub fn authorize(
        &self, now: Duration, max_duration: Duration, member: &Name, lease: &Lease,
    ) -> Result<u64, NotAuthorized> {
        let holder =
            lease.holder.as_ref().filter(|held| held.member == *member && held.session == self.session);
        let holder = holder.ok_or(NotAuthorized::NotHolder)?;
        if lease.revoked {
            return Err(NotAuthorized::Revoked);
        }
        if now + max_duration >= self.until {
            return Err(NotAuthorized::WouldExpire);
        }
        Ok(holder.fencing_token)
    }
}

/// Why a step of a task must not begin.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum NotAuthorized {
    /// Another member, or an earlier session of this one, holds the lease.
    #[error("the lease is not this session's")]
    NotHolder,
    /// The holder is asked to release the lease.
    #[error("the lease is asked back")]
    Revoked,
    /// The session may expire before the step ends.
    #[error("the session may end before the step does")]
    WouldExpire,
}

/// The highest fencing token seen of each task, at the side that is acted on. Its owner stores it where it
/// has to survive a restart.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencingGuard(BTreeMap<Name, u64>);

/// A step came with a fencing token older than one seen before.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("fence {found} is older than {newest}")]
pub struct StaleFencingToken {
    /// The token of the step.
    pub found: u64,
    /// The newest token seen.
    pub newest: u64,
}

impl FencingGuard {
    /// Accepts a step and remembers its token.
    ///
    /// # Errors
    ///
    /// A newer token of the task was seen before.
    pub fn check(&mut self, task: &Name, fencing_token: u64) -> Result<(), StaleFencingToken> {
        let newest = self.0.entry(task.clone()).or_insert(0);
        if fencing_token < *newest {
            return Err(StaleFencingToken { found: fencing_token, newest: *newest });
        }
        *newest = fencing_token;
        Ok(())
    }
}
