//! What drives a release: it looks at the agreed state now and then, and asks for the next wave, the end, or a halt. It has
//! no say in who goes: a driver that is dead, late or doubled holds a release up and breaks nothing. Time is monotonic and
//! comes as an argument.

use crate::command::Op;
use crate::name::{Key, Kind, Name};
use crate::permit::Release;
use crate::state::{Snapshot, Value};
use std::collections::BTreeMap;
use std::time::Duration;

/// When it asks for what.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// A wave that is back is watched for so long before the next one begins.
    pub pause: Duration,
    /// A wave that is not back within this halts the release.
    pub patience: Duration,
    /// So many new lives without a permit, of dispatchers with the new version, halt it as well.
    pub crashes: u64,
}

/// What is to be done next.
#[derive(Clone, Debug, PartialEq)]
pub enum Next {
    /// Nothing; look again later.
    Wait,
    /// This is to be asked for, with the reason.
    Ask(Op, String),
    /// The release is halted: an operator resumes it, or has all go back.
    Halted,
    /// No release goes on.
    Over,
}

/// A driver, and what it has seen of the present wave.
#[derive(Clone, Debug)]
pub struct Driver {
    pace: Pace,
    wave: Option<u32>,
    began: Duration,
    /// Since when all of the wave are back.
    back: Option<Duration>,
    /// Crashes seen so far.
    crashes: u64,
    /// Lives of dispatchers with the new version when each was first seen with it.
    lives: BTreeMap<Name, u64>,
}

impl Driver {
    /// One that has seen nothing.
    pub fn new(pace: Pace) -> Self {
        Self { pace, wave: None, began: Duration::ZERO, back: None, crashes: 0, lives: BTreeMap::new() }
    }

    /// New lives that nobody asked for, of dispatchers with the version.
    fn crashes(&mut self, release: &Release, state: &Snapshot) -> u64 {
        let mut crashes = 0;
        for (key, entry) in &state.entries {
            if let (Key::Member(name), Value::Member(member)) = (key, &entry.value)
                && member.card.version == release.want
            {
                let first = *self.lives.entry(name.clone()).or_insert(member.incarnation);
                crashes += member.incarnation.saturating_sub(first);
            }
        }
        crashes
    }

    /// What is to be done, as the state is now.
    pub fn look(&mut self, now: Duration, state: &Snapshot) -> Next {
        let roll = state.roll(Kind::Dispatcher);
        let Some(release) = roll.release else { return Next::Over };
        if self.wave != Some(release.wave) || roll.halted {
            // While it is halted no time is counted.
            (self.wave, self.began, self.back) = (Some(release.wave), now, None);
        }
        let crashes = self.crashes(release, state);
        if std::mem::replace(&mut self.crashes, crashes) != crashes {
            // One that was back a moment after its crash: the watch begins anew.
            self.back = None;
        }
        if roll.halted {
            return Next::Halted;
        }
        if crashes >= self.pace.crashes {
            (self.crashes, self.lives) = (0, BTreeMap::new());
            let why = format!("{crashes} crashes of dispatchers with version {}", release.want);
            return Next::Ask(Op::Halt(Kind::Dispatcher), why);
        }
        if !roll.wave_is_back() {
            self.back = None;
            if now.saturating_sub(self.began) <= self.pace.patience {
                return Next::Wait;
            }
            let why = format!("wave {} is not back within {:?}", release.wave, self.pace.patience);
            return Next::Ask(Op::Halt(Kind::Dispatcher), why);
        }
        let since = *self.back.get_or_insert(now);
        match release.is_last() {
            // Of a way back some may still be out that had never gone.
            true if roll.all.values().any(|s| s.permit.is_some()) => Next::Wait,
            true => Next::Ask(Op::EndRelease, "all have it".to_owned()),
            false if now.saturating_sub(since) < self.pace.pause => Next::Wait,
            false => Next::Ask(Op::Advance(release.wave), format!("wave {} was watched", release.wave)),
        }
    }
}
