//! The sessions that heartbeats keep alive at the leader, and the expiry of those without heartbeats.
//!
//! A new leader counts the time to live of all sessions from its own start, because it does not know which
//! heartbeats its predecessor received.

use crate::command::Action;
use crate::heartbeat::HeartbeatReport;
use crate::name::Name;
use crate::session::SessionTtl;
use crate::state::State;
use crate::value::Presence;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The answer to a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// The session is renewed.
    Renewed,
    /// The session has ended; the member has to join again.
    SessionEnded,
}

/// The last heartbeat of a member.
#[derive(Clone, Debug)]
struct LastHeartbeat {
    session: u64,
    received_at: Duration,
    report: Option<HeartbeatReport>,
}

/// The heartbeats that this leader has received.
#[derive(Clone, Debug)]
pub struct Sessions {
    ttl: SessionTtl,
    heartbeats: BTreeMap<Name, LastHeartbeat>,
    /// Superseded sessions that still hold leases, with the time at which this leader first saw each.
    superseded: BTreeMap<(Name, u64), Duration>,
}

impl Sessions {
    /// Returns the sessions of a new leader, which has received no heartbeats.
    pub fn new(ttl: SessionTtl) -> Self {
        Self { ttl, heartbeats: BTreeMap::new(), superseded: BTreeMap::new() }
    }

    /// Records a heartbeat with the member's report, or without one if the member has nothing to report yet.
    pub fn record_heartbeat(
        &mut self, now: Duration, state: &State, member: &Name, session: u64, report: Option<HeartbeatReport>,
    ) -> HeartbeatOutcome {
        if !is_current_session(state, member, session) {
            return HeartbeatOutcome::SessionEnded;
        }
        // A delayed report may replace a newer one: its confirmations stay true (see `drain_status`).
        let previous = self.heartbeats.remove(member).filter(|last| last.session == session);
        let report = report.map(HeartbeatReport::bounded).or(previous.and_then(|last| last.report));
        self.heartbeats.insert(member.clone(), LastHeartbeat { session, received_at: now, report });
        HeartbeatOutcome::Renewed
    }

    /// Returns the last report of a member in the session.
    pub fn report(&self, member: &Name, session: u64) -> Option<&HeartbeatReport> {
        self.heartbeats.get(member).filter(|last| last.session == session)?.report.as_ref()
    }

    /// Returns the commands that end sessions without heartbeats and free the leases of superseded sessions
    /// that have expired. They are returned again on each call until they are applied.
    pub fn expire_sessions(&mut self, now: Duration, state: &State) -> Vec<Action> {
        let is_present = |(_, member): &(&Name, &crate::value::Member)| member.presence == Presence::Present;
        let mut expired = Vec::new();
        for (name, member) in state.members().filter(is_present) {
            let first_seen = || LastHeartbeat { session: member.session, received_at: now, report: None };
            let last = self.heartbeats.entry(name.clone()).or_insert_with(first_seen);
            if last.session != member.session {
                *last = first_seen();
            }
            if now > last.received_at + self.ttl.for_leader() {
                expired.push(Action::ExpireSession { member: name.clone(), session: member.session });
            }
        }
        expired.extend(self.expired_superseded(now, state));
        self.heartbeats
            .retain(|name, _| state.member(name).is_some_and(|member| member.presence == Presence::Present));
        expired
    }

    /// Returns the commands for superseded sessions on which no process can rely any more. A process may have
    /// sent a heartbeat just before this leader saw that the session was superseded, and have received an
    /// answer; so a full time to live has to pass from then on.
    fn expired_superseded(&mut self, now: Duration, state: &State) -> Vec<Action> {
        let holders = state.leases().filter_map(|(_, lease)| lease.holder.as_ref());
        let superseded: BTreeSet<(Name, u64)> = holders
            .filter(|holder| !is_current_session(state, &holder.member, holder.session))
            .map(|holder| (holder.member.clone(), holder.session))
            .collect();
        self.superseded.retain(|session, _| superseded.contains(session));
        let mut expired = Vec::new();
        for (member, session) in superseded {
            let since = *self.superseded.entry((member.clone(), session)).or_insert(now);
            if now > since + self.ttl.for_leader() {
                expired.push(Action::ExpireSupersededSession { member, session });
            }
        }
        expired
    }
}

/// Returns whether the session is the member's present one and has not ended.
fn is_current_session(state: &State, member: &Name, session: u64) -> bool {
    state.member(member).is_some_and(|found| found.session == session && found.presence == Presence::Present)
}
