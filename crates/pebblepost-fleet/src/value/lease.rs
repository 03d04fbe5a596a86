//! Leases: one member at a time does a task for the whole fleet.
//!
//! A lease belongs to a *session* and lasts as long as that: heartbeats renew all leases of a member at once
//! and cost no entry of the log. The state frees a lease when its holder releases it, when the holder's
//! session expires, or when the leader says that a superseded session has certainly expired
//! ([`Action::ExpireSupersededSession`](crate::Action::ExpireSupersededSession)): a process that was
//! superseded under its name may only be paused, and wake up. Each grant has a *fencing token*, the revision
//! that made it. It grows for ever, also over a restore, so that what is acted on can reject an older one
//! ([`FencingGuard`](crate::fencing::FencingGuard)).

use crate::name::Name;
use serde::{Deserialize, Serialize};

/// Most members that wait for one lease.
pub const MAX_WAITING_MEMBERS_PER_LEASE: usize = 64;

/// The holder of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseHolder {
    /// The member.
    pub member: Name,
    /// Its session when the lease was granted.
    pub session: u64,
    /// The revision that granted the lease.
    #[serde(rename = "fence")]
    pub fencing_token: u64,
}

/// The lease of a task: its holder, and who waits for it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The holder; `None`: the lease is free.
    pub holder: Option<LeaseHolder>,
    /// The members that wait, in the order of their requests.
    pub queue: Vec<Name>,
    /// Whether the holder is asked to release it.
    #[serde(rename = "ends")]
    pub revoked: bool,
    /// The member of the queue that gets it next, ahead of the others.
    #[serde(rename = "next")]
    pub successor: Option<Name>,
}

impl Lease {
    /// Whether that session holds it.
    pub fn is_held_by(&self, member: &Name, session: u64) -> bool {
        self.holder.as_ref().is_some_and(|holder| holder.member == *member && holder.session == session)
    }

    /// The lease with that member in its queue; `None`: the queue is full.
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

    /// The lease without its holder.
    pub fn released(&self) -> Self {
        Self { holder: None, revoked: false, ..self.clone() }
    }

    /// The lease granted to the next member in its queue that is eligible; `None`: it is held, or nobody is.
    ///
    /// `eligible_session` gives the session of a member that may hold leases.
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

    /// Whether nobody holds it or waits for it.
    pub fn is_idle(&self) -> bool {
        self.holder.is_none() && self.queue.is_empty()
    }
}
