//! What drives a release: it looks at the agreed state now and then, and asks for the next wave, the end, or a halt. It has
//! no say in who goes: a driver that is dead, late or doubled holds a release up and breaks nothing. Time is monotonic and
//! comes as an argument.

use crate::command::Op;
use crate::doing::Counts;
use crate::name::{Key, Kind, Name, RequestId, Text};
use crate::permit::Release;
use crate::reckon::Tally;
use crate::state::{Presence, Snapshot, Value};
use std::collections::BTreeMap;
use std::time::Duration;

/// A watch lasts for at most so many pauses, while the new version has too few answers.
const LONGEST: u32 = 3;

/// When it asks for what.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// A wave that is back is watched for so long before the next one begins.
    pub pause: Duration,
    /// A wave that is not back within this halts the release.
    pub patience: Duration,
    /// So many new lives without a permit, of dispatchers with the new version, halt it as well.
    pub crashes: u64,
    /// While a wave is watched the share of requests that the new version serves may be lower by this than that of the old
    /// one, and no more.
    pub drop: f64,
    /// Shares of fewer answers than this tell nothing. 0: shares are not looked at.
    pub sample: u64,
}

/// How requests went while a wave is watched, at those with the release's version and at the others.
#[derive(Clone, Debug, Default)]
struct Shares {
    /// By member: its life, and its counts when it was last heard. Who is not heard for a while, as leaders change, loses nothing.
    last: BTreeMap<Name, (RequestId, Counts)>,
    new: Counts,
    old: Counts,
}

impl Shares {
    fn add(&mut self, want: &Text, tallies: &BTreeMap<Name, Tally>) {
        for (name, Tally { life, version, counts }) in tallies {
            let before = match self.last.insert(name.clone(), (*life, *counts)) {
                Some((of, before)) if of == *life => before,
                // Not looked at before: what went by then is not of this watch.
                _ => *counts,
            };
            let sum = if version == want { &mut self.new } else { &mut self.old };
            sum.answered += counts.answered.saturating_sub(before.answered);
            sum.served += counts.served.saturating_sub(before.served);
        }
    }
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
    shares: Shares,
    /// The share that the old version served when there was enough of it to tell.
    old_share: Option<f64>,
}

impl Driver {
    /// One that has seen nothing.
    pub fn new(pace: Pace) -> Self {
        Self {
            pace,
            wave: None,
            began: Duration::ZERO,
            back: None,
            crashes: 0,
            lives: BTreeMap::new(),
            shares: Shares::default(),
            old_share: None,
        }
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

    /// Why the new version is not to go on, by how its requests go beside those of the old one.
    fn worse(&mut self, watched: bool) -> Option<String> {
        let Shares { new, old, .. } = self.shares;
        if self.pace.sample == 0 {
            return None;
        }
        let share = |c: Counts| (c.answered >= self.pace.sample).then(|| c.served as f64 / c.answered as f64);
        self.old_share = share(old).or(self.old_share);
        match (share(new), self.old_share) {
            (Some(new), Some(old)) if new < old - self.pace.drop => {
                Some(format!("the new version serves {new:.3} of its requests, the old one {old:.3}"))
            }
            (None, _) if watched && new.answered == 0 && share(old).is_some() => {
                Some(format!("the new version answers nothing, the old one {} requests", old.answered))
            }
            _ => None,
        }
    }

    /// What is to be done, as the state is now and as requests go.
    pub fn look(&mut self, now: Duration, state: &Snapshot, tallies: &BTreeMap<Name, Tally>) -> Next {
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
        if self.back.is_none() {
            self.shares = Shares::default();
        }
        let since = *self.back.get_or_insert(now);
        self.shares.add(&release.want, tallies);
        // Too few answers of the new version tell nothing, and are waited for, unless all are heard and there are few requests.
        let tells = |c: Counts| c.answered >= self.pace.sample;
        let all_heard = state.entries.iter().all(|(key, entry)| match (key, &entry.value) {
            (Key::Member(name), Value::Member(m)) if m.is_dispatcher() => {
                m.presence != Presence::Here || tallies.contains_key(name)
            }
            _ => true,
        });
        let waits = !tells(self.shares.new) && (tells(self.shares.old) || !all_heard);
        let pause = self.pace.pause * if waits { LONGEST } else { 1 };
        let watched = now.saturating_sub(since) >= pause;
        let unheard = watched && !all_heard && self.pace.sample > 0;
        let unheard =
            unheard.then(|| "not all dispatchers that are there are heard by the keepers".to_owned());
        // On a way back nothing is compared: what is left is what was there before.
        if release.from.is_none()
            && let Some(why) = self.worse(watched).or(unheard)
        {
            self.back = None;
            return Next::Ask(Op::Halt(Kind::Dispatcher), why);
        }
        match release.is_last() {
            // Of a way back some may still be out that had never gone.
            true if roll.all.values().any(|s| s.permit.is_some()) => Next::Wait,
            true => Next::Ask(Op::EndRelease, "all have it".to_owned()),
            false if !watched => Next::Wait,
            false => Next::Ask(Op::Advance(release.wave), format!("wave {} was watched", release.wave)),
        }
    }
}
