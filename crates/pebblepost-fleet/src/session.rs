//! Which members are there, as the leader of the keepers reckons it. Beats are soft state: they are not agreed, only
//! that a session has ended is. Time is monotonic and comes as an argument.
//!
//! Both sides measure so that the member gives up first: it counts from *before* it sent a beat and takes off a margin
//! for clocks that run at different rates; the leader counts from *after* it received the beat, adds the margin, and a
//! leader that has just come counts all sessions from the moment it began, since it cannot know what its predecessor heard.

use crate::command::Act;
use crate::doing::Doing;
use crate::name::Name;
use crate::state::{Presence, State};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Clocks of two machines differ in rate by at most this part.
pub const MAX_RATE_ERROR: f64 = 0.05;

/// How long a session lasts without a beat, by its name's side.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ttl(pub Duration);

impl Ttl {
    /// For so long after it sent a beat that was answered a member may rely on its session.
    pub fn for_member(self) -> Duration {
        self.0.mul_f64(1.0 - MAX_RATE_ERROR)
    }

    /// For so long after it received a beat the leader keeps a session.
    pub fn for_leader(self) -> Duration {
        self.0.mul_f64(1.0 + MAX_RATE_ERROR)
    }
}

/// What a beat is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Beat {
    /// The session goes on.
    Counted,
    /// There is no such session; join again.
    Ended,
}

/// What was heard of a member.
#[derive(Clone, Debug)]
struct Heard {
    session: u64,
    at: Duration,
    doing: Option<Doing>,
}

/// The beats that the leader has heard.
#[derive(Clone, Debug)]
pub struct Sessions {
    ttl: Ttl,
    heard: BTreeMap<Name, Heard>,
    /// Sessions that were replaced and hold leases yet: since when this leader has seen that.
    replaced: BTreeMap<(Name, u64), Duration>,
}

impl Sessions {
    /// A leader that begins: it has heard nobody, and counts each session from when it first looks at it.
    pub fn begin(ttl: Ttl) -> Self {
        Self { ttl, heard: BTreeMap::new(), replaced: BTreeMap::new() }
    }

    /// A beat has come, and with it what the member does; `None`: it has said nothing of that yet.
    pub fn beat(
        &mut self, now: Duration, state: &State, member: &Name, session: u64, doing: Option<Doing>,
    ) -> Beat {
        let goes_on =
            state.member(member).is_some_and(|m| m.session == session && m.presence == Presence::Here);
        if !goes_on {
            return Beat::Ended;
        }
        // One that was overtaken may take the place of a newer one: what is confirmed stays true (see `doing`).
        let before = self.heard.remove(member).filter(|h| h.session == session).and_then(|h| h.doing);
        let doing = doing.map(Doing::bounded).or(before);
        self.heard.insert(member.clone(), Heard { session, at: now, doing });
        Beat::Counted
    }

    /// What a member does, as it told in this session.
    pub fn doing(&self, member: &Name, session: u64) -> Option<&Doing> {
        self.heard.get(member).filter(|h| h.session == session)?.doing.as_ref()
    }

    /// Sessions that were replaced and hold leases, once whoever had them surely relies on them no more: it may have sent a beat
    /// just before this leader saw that, and was answered.
    fn lapsed(&mut self, now: Duration, state: &State) -> Vec<Act> {
        let goes_on = |member: &Name, session: u64| {
            state.member(member).is_some_and(|m| m.session == session && m.presence == Presence::Here)
        };
        let holders = state.leases().filter_map(|(_, lease)| lease.holder.as_ref());
        let replaced = holders.filter(|h| !goes_on(&h.member, h.session));
        let replaced: BTreeSet<(Name, u64)> = replaced.map(|h| (h.member.clone(), h.session)).collect();
        self.replaced.retain(|of, _| replaced.contains(of));
        let mut lapsed = Vec::new();
        for (member, session) in replaced {
            let since = *self.replaced.entry((member.clone(), session)).or_insert(now);
            if now > since + self.ttl.for_leader() {
                lapsed.push(Act::Lapse { member, session });
            }
        }
        lapsed
    }

    /// The sessions that have not been heard for too long, as what to ask for.
    pub fn overdue(&mut self, now: Duration, state: &State) -> Vec<Act> {
        let here = |(_, m): &(&Name, &crate::state::Member)| m.presence == Presence::Here;
        let mut overdue = Vec::new();
        for (name, member) in state.members().filter(here) {
            let fresh = || Heard { session: member.session, at: now, doing: None };
            let heard = self.heard.entry(name.clone()).or_insert_with(fresh);
            if heard.session != member.session {
                *heard = fresh();
            }
            if now > heard.at + self.ttl.for_leader() {
                overdue.push(Act::Expire { member: name.clone(), session: member.session });
            }
        }
        overdue.extend(self.lapsed(now, state));
        self.heard.retain(|name, _| state.member(name).is_some_and(|m| m.presence == Presence::Here));
        overdue
    }
}
