//! A release played through before it begins: the same state, the same rules and the same driver, with dispatchers that come
//! back after the times given. It tells when each wave begins and ends, or why the release would be refused or stand still.

use crate::command::{Act, Card, Command, Op, Refusal, RequestId, Role};
use crate::driver::{Driver, Next, Pace};
use crate::name::{Kind, Name, Text};
use crate::permit::{Limit, Release};
use crate::state::{Presence, Snapshot, State};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use thiserror::Error;

/// What is rehearsed.
#[derive(Clone, Debug)]
pub struct Play {
    /// The version that all are to have.
    pub want: Text,
    /// How many may have it in each wave.
    pub waves: Vec<Limit>,
    /// Zones in the order in which they go.
    pub zones: Vec<Text>,
    /// A wave that is back is watched for so long.
    pub pause: Duration,
    /// From a dispatcher's permit until it is back.
    pub restart: Duration,
}

/// A wave, by the time since the release began.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Wave {
    /// When its first permit is granted, in seconds.
    pub from_s: f64,
    /// When its last dispatcher is back, in seconds.
    pub back_s: f64,
    /// Those that go, in their order.
    pub goes: Vec<Name>,
    /// The most that are out at once, others that are out already among them.
    pub most_out: usize,
}

/// Why it would not come to its end.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum Never {
    /// It is refused.
    #[error(transparent)]
    Refused(#[from] Refusal),
    /// It stands still.
    #[error("after {at_s} s nothing goes on in wave {wave}: {why}")]
    StandsStill {
        /// Since when, in seconds.
        at_s: f64,
        /// In which wave, counted from 1.
        wave: usize,
        /// What the first in the queue waits for, or who is out.
        why: String,
    },
}

struct Stage {
    state: State,
    requests: u64,
}

impl Stage {
    fn act(&mut self, by: &Name, act: Act) -> Result<(), Refusal> {
        self.requests += 1;
        // No request of the real fleet has such an id by chance, and none of them is answered from memory here.
        let id = RequestId(u64::MAX, self.requests);
        self.state.apply(&Command { id, by: by.clone(), at_ms: 0, act }).map(drop)
    }

    fn op(&mut self, by: &Name, op: Op) -> Result<(), Refusal> {
        self.act(by, Act::Change { ops: vec![op], expect: Vec::new(), why: Text::default() })
    }

    /// Those whose present life is permitted to end.
    fn going(&self) -> BTreeSet<Name> {
        let granted = self.state.permits().filter(|(s, p)| s.kind == Kind::Dispatcher && p.granted.is_some());
        let bound = granted.filter(|(s, p)| {
            self.state.member(&s.name).is_some_and(|m| m.life() == p.life && m.presence == Presence::Here)
        });
        bound.map(|(s, _)| s.name.clone()).collect()
    }

    fn comes_back(&mut self, name: &Name, want: &Text) -> Result<(), Refusal> {
        let Some(member) = self.state.member(name) else { return Ok(()) };
        let card = Card { version: want.clone(), ready: true, role: Role::Dispatcher, ..member.card.clone() };
        let life = RequestId(u64::MAX, self.requests + 1);
        self.act(name, Act::Join { member: name.clone(), life, card })
    }

    /// What nothing goes on for.
    fn stuck(&self) -> String {
        let roll = self.state.roll(Kind::Dispatcher);
        let waits = roll.queue().first().and_then(|name| Some((*name, roll.fits(name).err()?)));
        match (waits, roll.all.iter().find(|(_, s)| s.out)) {
            (Some((name, waits)), _) => format!("{name} waits, as {waits}"),
            (None, Some((name, _))) => format!("{name} is out and does not come back"),
            (None, None) => "a dispatcher has another version".to_owned(),
        }
    }
}

/// Plays a release on a copy of the state.
pub fn rehearse(now: &Snapshot, by: &Name, play: &Play) -> Result<Vec<Wave>, Never> {
    let mut stage = Stage { state: State::of(now.clone()), requests: 0 };
    // What stands still is seen below, without waiting.
    let pace = Pace { pause: play.pause, patience: Duration::MAX, crashes: u64::MAX, drop: 1.0, sample: 0 };
    let mut driver = Driver::new(pace);
    let (want, waves, zones) = (play.want.clone(), play.waves.clone(), play.zones.clone());
    stage.op(by, Op::Release { want, waves, zones })?;
    let mut at = Duration::ZERO;
    let mut out: BTreeMap<Name, Duration> = BTreeMap::new();
    let fresh = |at: Duration| Wave {
        from_s: at.as_secs_f64(),
        back_s: at.as_secs_f64(),
        goes: Vec::new(),
        most_out: 0,
    };
    let mut waves = vec![fresh(at)];
    loop {
        for name in stage.going() {
            if !out.contains_key(&name) {
                out.insert(name.clone(), at + play.restart);
                waves.iter_mut().last().into_iter().for_each(|w| w.goes.push(name.clone()));
            }
        }
        let (wave, most) = (waves.len(), stage.state.roll(Kind::Dispatcher).out());
        waves.iter_mut().last().into_iter().for_each(|w| w.most_out = w.most_out.max(most));
        match driver.look(at, &stage.state.snapshot(), &BTreeMap::new()) {
            Next::Over => return Ok(waves),
            Next::Ask(op, _) => {
                let advances = matches!(op, Op::Advance(_));
                stage.op(by, op)?;
                if advances {
                    waves.push(fresh(at));
                }
                continue;
            }
            Next::Wait | Next::Halted => {}
        }
        // The next moment at which anything happens: one is back, or the watch is over.
        let roll = stage.state.roll(Kind::Dispatcher);
        let watched = roll.wave_is_back() && !roll.release.is_some_and(Release::is_last);
        at = match out.values().copied().min() {
            Some(back) => back,
            None if watched && !roll.halted => at + play.pause,
            None => {
                let why = stage.stuck();
                return Err(Never::StandsStill { at_s: at.as_secs_f64(), wave, why });
            }
        };
        let due: Vec<Name> = out.iter().filter(|(_, t)| **t <= at).map(|(name, _)| name.clone()).collect();
        for name in due {
            out.remove(&name);
            stage.comes_back(&name, &play.want)?;
            waves.iter_mut().last().into_iter().for_each(|w| w.back_s = at.as_secs_f64());
        }
    }
}
