//! What the leader of the keepers reckons from the dispatchers' beats and the agreed state: whether a worker may be switched
//! off, how requests go, and how most see the workers.
//!
//! Beats are enough for saying that a worker may be switched off, because what a dispatcher confirms stays true: a drain mark
//! stands until the worker's permit ends, a dispatcher sends nothing more where it knows of one, and one that keeps a copy
//! confirms only what the copy has, so that its next life knows of it from the start. A new session confirms anew.

use crate::command::Act;
use crate::doing::Counts;
use crate::name::{Key, Kind, Name, RequestId, Subject, Text};
use crate::session::Sessions;
use crate::sight::{Different, Seen};
use crate::state::{MAX_OPS, MAX_WORKERS, Presence, State};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Why a dispatcher keeps a worker from being switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Because {
    /// It acts by this revision, from before the drain.
    Behind(u64),
    /// It has attempts out there.
    Busy,
    /// It has not been heard in its present session, or by the present leader.
    Unheard,
    /// It was not heard for so long that its session ended, or it left. It may run all the same, and then goes on by what it
    /// knows: only its return, or an operator who dismisses it, tells.
    CutOff,
}

impl fmt::Display for Because {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Behind(at) => write!(f, "acts by revision {at}, from before the drain"),
            Self::Busy => f.write_str("has attempts out there"),
            Self::Unheard => f.write_str("has not been heard yet"),
            Self::CutOff => {
                f.write_str("is cut off, or has ended: it is back, or dismissed, before this is known")
            }
        }
    }
}

/// Whether a worker may be switched off, and whose word is missing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Off {
    /// The revision at which its permit was granted; `None`: it has none, or it waits.
    pub granted: Option<u64>,
    /// Dispatchers that have confirmed the drain and have nothing out there.
    pub clear: Vec<Name>,
    /// The others.
    pub waits_for: BTreeMap<Name, Because>,
}

impl Off {
    /// Whether every dispatcher's word is there.
    pub fn may_be_switched_off(&self) -> bool {
        self.granted.is_some() && self.waits_for.is_empty()
    }
}

/// Whether a worker may be switched off, as the state is and as far as the leader has heard.
pub fn off(state: &State, heard: &Sessions, worker: &Name) -> Off {
    let subject = Subject { kind: Kind::Worker, name: worker.clone() };
    let Some(granted) = state.permit(&subject).and_then(|p| p.granted) else { return Off::default() };
    // A drain mark that was there before the permit is enough; none can come after it, as the permit sets it.
    let since = state.get(&Key::Drain(worker.clone())).map_or(granted, |e| e.revision.min(granted));
    let mut off = Off { granted: Some(granted), ..Off::default() };
    for (name, member) in state.members().filter(|(_, m)| m.is_dispatcher()) {
        let because = match (member.presence, heard.doing(name, member.session)) {
            (Presence::Lost | Presence::Left, _) => Some(Because::CutOff),
            (Presence::Here, None) => Some(Because::Unheard),
            (Presence::Here, Some(doing)) if doing.acts_by < since => Some(Because::Behind(doing.acts_by)),
            (Presence::Here, Some(doing)) if doing.busy.contains(worker) => Some(Because::Busy),
            (Presence::Here, Some(_)) => None,
        };
        match because {
            Some(because) => drop(off.waits_for.insert(name.clone(), because)),
            None => off.clear.push(name.clone()),
        }
    }
    off
}

/// How the requests of one dispatcher went in one life.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Tally {
    /// Its life.
    pub life: RequestId,
    /// Its version.
    pub version: Text,
    /// How they went.
    pub counts: Counts,
}

/// How the requests of all dispatchers went that are there and were heard.
pub fn tallies(state: &State, heard: &Sessions) -> BTreeMap<Name, Tally> {
    let here = state.members().filter(|(_, m)| m.presence == Presence::Here);
    here.filter_map(|(name, member)| {
        let counts = heard.doing(name, member.session)?.counts;
        let (life, version) = (member.life()?, member.card.version.clone());
        Some((name.clone(), Tally { life, version, counts }))
    })
    .collect()
}

/// What most of the dispatchers that are there tell alike, as what to ask for; `None`: nothing.
pub fn settled(state: &State, heard: &Sessions) -> Option<Act> {
    let here = state.members().filter(|(_, m)| m.presence == Presence::Here && m.is_dispatcher());
    let mut votes: BTreeMap<(&Name, &Option<Seen>), usize> = BTreeMap::new();
    let mut all = 0;
    for (name, member) in here {
        all += 1;
        for vote in heard.doing(name, member.session).into_iter().flat_map(|doing| &doing.differs) {
            *votes.entry(vote).or_insert(0) += 1;
        }
    }
    // What is so by now, as some have not heard of it yet, is asked for no more.
    let is_so = |name: &Name, now: &Option<Seen>| state.worker(name).and_then(|w| w.seen()) == *now;
    let mut room = MAX_WORKERS.saturating_sub(state.workers());
    let mut workers = Different::new();
    for ((name, now), _) in votes.into_iter().filter(|((name, now), n)| n * 2 > all && !is_so(name, now)) {
        if workers.len() >= MAX_OPS {
            break;
        }
        if now.is_some() && state.worker(name).is_none() {
            if room == 0 {
                continue;
            }
            room -= 1;
        }
        workers.insert(name.clone(), now.clone());
    }
    (!workers.is_empty()).then_some(Act::Sighted { workers })
}
