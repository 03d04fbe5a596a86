//! Leases: at most one member at a time performs a task for the whole fleet.
//!
//! A lease belongs to a *session* and lasts as long as the session does. Heartbeats renew all leases of a
//! member at once without an entry in the Raft log. The state frees a lease when its holder releases it, when
//! the holder's session expires, or when the leader reports that a superseded session has certainly expired
//! ([`Action::ExpireSupersededSession`](crate::Action::ExpireSupersededSession)). The leases of a
//! superseded session are not freed at once, because its process may only be paused and continue later.
//!
//! Each grant has a *fencing token*: the revision that made it. Fencing tokens increase forever, also across
//! a restore, so the resource that is acted on can reject an earlier holder
//! ([`FencingGuard`](crate::fencing::FencingGuard)).

use crate::name::Name;
use serde::{Deserialize, Serialize};

/// Maximum number of members that wait for one lease.
pub const MAX_WAITING_MEMBERS_PER_LEASE: usize = 64;

/// The holder of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseHolder {
    /// Member that holds the lease.
    pub member: Name,
    /// Session of the member at the grant.
    pub session: u64,
    /// Revision that granted the lease.
    #[serde(rename = "fence")]
    pub fencing_token: u64,
}

/// The lease of a task: its holder and the members that wait for it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Holder of the lease, or `None` if the lease is free.
    pub holder: Option<LeaseHolder>,
    /// Waiting members, in the order of their requests.
    pub queue: Vec<Name>,
    /// Whether the holder has been asked to release the lease.
    #[serde(rename = "ends")]
    pub revoked: bool,
    /// Member of the queue that gets the lease next, ahead of the others.
    #[serde(rename = "next")]
    pub successor: Option<Name>,
}

impl Lease {
    /// Returns whether the session of the member holds the lease.
    pub fn is_held_by(&self, member: &Name, session: u64) -> bool {
        self.holder.as_ref().is_some_and(|holder| holder.member == *member && holder.session == session)
    }

    /// Returns the lease with the member added to its queue, or `None` if the queue is full. A member that
    /// holds the lease or waits already is not added again.
    pub fn with_waiting(&self, member: &Name, session: u64) -> Option<Self> {
        let mut lease = self.clone();
        if !lease.is_held_by(member, session) && !lease.queue.contains(member) {
            if lease.queue.len() >= MAX_WAITING_MEMBERS_PER_LEASE {
                return None;
            }
            lease.queue.push(member.clone());
        }
        Some(lease)
    }

    /// Returns the lease without its holder.
    pub fn released(&self) -> Self {
        Self { holder: None, revoked: false, ..self.clone() }
    }

    /// Returns the lease granted to the next eligible member of its queue, or `None` if the lease is held or
    /// no waiting member is eligible.
    ///
    /// `eligible_session` returns the session of a member that may hold leases, and `None` for others.
    pub fn granted(&self, revision: u64, eligible_session: impl Fn(&Name) -> Option<u64>) -> Option<Self> {
        if self.holder.is_some() {
            return None;
        }
        let is_eligible = |name: &&Name| eligible_session(name).is_some();
        let preferred = self.successor.iter().filter(|successor| self.queue.contains(successor));
        let member = preferred.chain(&self.queue).find(is_eligible)?.clone();
        let session = eligible_session(&member)?;
        let holder = LeaseHolder { session, fencing_token: revision, member: member.clone() };
        let queue = self.queue.iter().filter(|waiting| **waiting != member).cloned().collect();
        Some(Self { holder: Some(holder), queue, revoked: false, successor: None })
    }

    /// Returns whether the lease has neither a holder nor waiting members.
    pub fn is_idle(&self) -> bool {
        self.holder.is_none() && self.queue.is_empty()
    }
}
