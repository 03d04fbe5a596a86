//! Who may be out at once. A *permit* lets one dispatcher or one worker go; a *budget* says how many of a kind may be out.
//!
//! Nobody grants: whoever wants something out asks, and the state itself grants whatever fits, in the order of the queue,
//! with each command that it takes in. So no driver, however late, paused or doubled, can go over a budget. What is out
//! without having been asked (lost, not ready, drained by hand) uses the budget up like what was.

use crate::name::{Name, RequestId, Text};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;

/// So many, or such a part of all.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Limit {
    /// So many.
    Count(u32),
    /// Such a part, 0 to 1, of those that there are, rounded down.
    Share(f64),
}

impl Limit {
    /// How many of `all` that is.
    pub fn of(self, all: usize) -> usize {
        match self {
            Self::Count(count) => count as usize,
            // A hair more, so that a tenth of thirty is three.
            Self::Share(share) => (all as f64 * share.clamp(0.0, 1.0) + 1e-9) as usize,
        }
    }

    /// Whether it makes sense.
    pub fn is_sound(self) -> bool {
        !matches!(self, Self::Share(share) if !(0.0..=1.0).contains(&share))
    }
}

impl FromStr for Limit {
    type Err = String;
    /// `3` or `10%`.
    fn from_str(text: &str) -> Result<Self, String> {
        let limit = match text.strip_suffix('%') {
            Some(part) => part.parse().map(|p: f64| Self::Share(p / 100.0)).map_err(|e| e.to_string()),
            None => text.parse().map(Self::Count).map_err(|e| e.to_string()),
        };
        let limit = limit.map_err(|e| format!("{text:?} is neither a count nor a percentage: {e}"))?;
        if limit.is_sound() { Ok(limit) } else { Err(format!("{text:?} is not within 0% and 100%")) }
    }
}

impl fmt::Display for Limit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Count(count) => write!(f, "{count}"),
            Self::Share(share) => write!(f, "{}%", share * 100.0),
        }
    }
}

/// How many of one kind may be out at once.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// In the fleet.
    pub most: Limit,
    /// In each zone; `None`: as many as in the fleet.
    #[serde(default)]
    pub most_in_zone: Option<Limit>,
    /// Of each kind of machine; `None`: as many as in the fleet.
    #[serde(default)]
    pub most_in_kind: Option<Limit>,
    /// So many stay in each zone.
    #[serde(default)]
    pub least_in_zone: u32,
}

impl Budget {
    /// Whether it makes sense.
    pub fn is_sound(&self) -> bool {
        [Some(self.most), self.most_in_zone, self.most_in_kind].into_iter().flatten().all(Limit::is_sound)
    }
}

/// A permit, waiting or granted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Permit {
    /// Who asked.
    pub by: Name,
    /// When, by that one's clock, in Unix time in milliseconds.
    pub at_ms: u64,
    /// Why.
    pub why: Text,
    /// Goes before those that are not urgent; not over the budget.
    pub urgent: bool,
    /// The version that a dispatcher must have to count as back; empty: any.
    pub want: Text,
    /// The revision at which it was asked for: its place among its equals.
    pub asked: u64,
    /// The revision at which it was granted. Nothing but the subject's return, or an operator's force, ends it then.
    pub granted: Option<u64>,
    /// The life of the dispatcher that is to end.
    pub life: Option<RequestId>,
}

/// A release: all dispatchers go over to a version, wave by wave. How many have reached it is a rule of the state as well:
/// a version that turns out bad never gets past its wave, whoever drives the release.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Release {
    /// The version that all are to have.
    pub want: Text,
    /// The version that is given up, on a way back.
    pub from: Option<Text>,
    /// How many may have it in each wave, those of the waves before among them.
    pub waves: Vec<Limit>,
    /// The present wave, counted from 0.
    pub wave: u32,
    /// Zones in the order in which they go, those not named last: nobody goes while one of an earlier zone waits.
    #[serde(default)]
    pub zones: Vec<Text>,
    /// Who began it.
    pub by: Name,
    /// When, by that one's clock, in Unix time in milliseconds.
    pub at_ms: u64,
}

impl Release {
    /// How many of `all` may have its version by now.
    pub fn cap(&self, all: usize) -> usize {
        let wave = (self.wave as usize).min(self.waves.len().saturating_sub(1));
        // A wave of a small part is one at least, or it would never end.
        self.waves.get(wave).map_or(all, |limit| limit.of(all).max(1))
    }

    /// The place of a zone in the order in which they go.
    fn turn(&self, zone: &str) -> usize {
        self.zones.iter().position(|z| z.as_str() == zone).unwrap_or(self.zones.len())
    }

    /// Whether the present wave is the last one.
    pub fn is_last(&self) -> bool {
        self.wave as usize + 1 >= self.waves.len()
    }
}

/// How one of a kind stands.
#[derive(Clone, Copy, Debug)]
pub struct Standing<'a> {
    /// Its zone.
    pub zone: &'a str,
    /// Its kind of machine, or empty.
    pub kind: &'a str,
    /// Whether it is out: by a permit, or without one.
    pub out: bool,
    /// Its version, or empty.
    pub version: &'a str,
    /// Its permit.
    pub permit: Option<&'a Permit>,
}

impl Standing<'_> {
    /// Whether it has a version, or is on its way to it.
    fn has(&self, version: &str) -> bool {
        let goes = self.permit.is_some_and(|p| p.granted.is_some() && p.want.as_str() == version);
        self.version == version || goes
    }
}

/// All of one kind, and what holds for them.
#[derive(Clone, Debug, Default)]
pub struct Roll<'a> {
    /// How each stands.
    pub all: BTreeMap<&'a Name, Standing<'a>>,
    /// The budget; without one nothing is granted.
    pub budget: Option<Budget>,
    /// Nothing is granted until an operator resumes.
    pub halted: bool,
    /// The release that goes on.
    pub release: Option<&'a Release>,
}

/// Why a permit has to wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Waits {
    /// There is no budget.
    NoBudget,
    /// An operator, or a release, has halted.
    Halted,
    /// So many others are out, and no more may be.
    Fleet(usize),
    /// So many others are out in its zone, and no more may be.
    Zone(usize),
    /// So many others of its kind of machine are out, and no more may be.
    MachineKind(usize),
    /// So many have the version of the release, and no more may in this wave.
    Wave(usize),
    /// Some of a zone that goes before its own wait.
    Turn,
}

impl fmt::Display for Waits {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoBudget => f.write_str("there is no budget for its kind"),
            Self::Halted => f.write_str("halted"),
            Self::Fleet(out) => write!(f, "{out} others are out, no more may be"),
            Self::MachineKind(out) => write!(f, "{out} others of its kind are out, no more may be"),
            Self::Turn => f.write_str("a zone before its own is not done"),
            Self::Wave(reached) => write!(f, "{reached} have its version, no more may in this wave"),
            Self::Zone(out) => write!(f, "{out} others are out in its zone, no more may be"),
        }
    }
}

/// How many there are and how many of them are out, in the fleet and in each zone.
#[derive(Debug, Default)]
struct Counts<'a> {
    all: usize,
    out: usize,
    /// Those that have the version of the release, or are on their way to it.
    reached: usize,
    zones: BTreeMap<&'a str, (usize, usize)>,
    kinds: BTreeMap<&'a str, (usize, usize)>,
    /// The first zone in the order of the release of which some still wait.
    turn: usize,
}

impl<'a> Counts<'a> {
    fn zone(&self, standing: Option<&Standing<'a>>) -> (usize, usize) {
        self.zones.get(standing.map_or("", |s| s.zone)).copied().unwrap_or_default()
    }

    fn kind(&self, standing: Option<&Standing<'a>>) -> (usize, usize) {
        self.kinds.get(standing.map_or("", |s| s.kind)).copied().unwrap_or_default()
    }

    fn goes_out(&mut self, standing: &Standing<'a>) {
        self.out += 1;
        self.zones.entry(standing.zone).or_default().1 += 1;
        self.kinds.entry(standing.kind).or_default().1 += 1;
    }
}

impl<'a> Roll<'a> {
    /// How many are out.
    pub fn out(&self) -> usize {
        self.all.values().filter(|s| s.out).count()
    }

    /// How many have the version of the release, or are on their way to it.
    pub fn reached(&self) -> usize {
        let has = |r: &Release| self.all.values().filter(|s| s.has(r.want.as_str())).count();
        self.release.map_or(0, has)
    }

    /// Whether all of the present wave have the version of the release, and are not out.
    pub fn wave_is_back(&self) -> bool {
        self.release.is_some_and(|r| {
            let back = |s: &&Standing<'_>| s.version == r.want.as_str() && !s.out;
            self.all.values().filter(back).count() >= r.cap(self.all.len())
        })
    }

    fn counts(&self) -> Counts<'a> {
        let mut counts = Counts { all: self.all.len(), ..Counts::default() };
        for standing in self.all.values() {
            counts.zones.entry(standing.zone).or_default().0 += 1;
            counts.kinds.entry(standing.kind).or_default().0 += 1;
            if standing.out {
                counts.goes_out(standing);
            }
        }
        counts.reached = self.reached();
        counts.turn = self.turn(&BTreeSet::new());
        counts
    }

    /// The first zone, in the order of the release, of which one waits that is not among those that go already.
    fn turn(&self, go: &BTreeSet<&Name>) -> usize {
        let Some(release) = self.release else { return usize::MAX };
        let waits = |(name, s): &(&&Name, &Standing<'_>)| {
            !go.contains(**name) && s.permit.is_some_and(|p| p.granted.is_none() && p.want == release.want)
        };
        let turns = self.all.iter().filter(waits).map(|(_, s)| release.turn(s.zone));
        turns.min().unwrap_or(usize::MAX)
    }

    /// How many may be out in a zone of so many.
    fn most_in_zone(budget: Budget, all: usize) -> usize {
        let most = budget.most_in_zone.map_or(usize::MAX, |limit| limit.of(all));
        most.min(all.saturating_sub(budget.least_in_zone as usize))
    }

    /// Whether one of them may go now. One that is out already has its own place in the budget, and no more: it may be
    /// merely cut off, and go later.
    pub fn fits(&self, name: &Name) -> Result<(), Waits> {
        self.fits_beside(&self.counts(), name)
    }

    fn fits_beside(&self, counts: &Counts<'a>, name: &Name) -> Result<(), Waits> {
        let budget = self.budget.ok_or(Waits::NoBudget)?;
        if self.halted {
            return Err(Waits::Halted);
        }
        let standing = self.all.get(name);
        #[cfg(feature = "faults")]
        if std::env::var_os("PEBBLEPOST_FAULT_BUDGET").is_some() {
            return Ok(());
        }
        if let Some(release) = self.release
            && let Some(standing) = standing.filter(|s| s.permit.is_some_and(|p| p.want == release.want))
        {
            if !standing.has(release.want.as_str()) && counts.reached + 1 > release.cap(counts.all) {
                return Err(Waits::Wave(counts.reached));
            }
            if release.turn(standing.zone) > counts.turn {
                return Err(Waits::Turn);
            }
        }
        let itself = usize::from(standing.is_some_and(|s| s.out));
        let others = counts.out - itself;
        if others + 1 > budget.most.of(counts.all) {
            return Err(Waits::Fleet(others));
        }
        let (all, out) = counts.zone(standing);
        let others = out - itself;
        if others + 1 > Self::most_in_zone(budget, all) {
            return Err(Waits::Zone(others));
        }
        let (all, out) = counts.kind(standing);
        let others = out - itself;
        let most = budget.most_in_kind.map_or(usize::MAX, |limit| limit.of(all));
        if others + 1 > most { Err(Waits::MachineKind(others)) } else { Ok(()) }
    }

    /// Why one of them could never go, even if nothing else were out; `None`: it could.
    pub fn never(&self, name: &Name) -> Option<String> {
        let budget = self.budget?;
        let (counts, standing) = (self.counts(), self.all.get(name));
        // One that nobody knows yet is one more.
        let itself = usize::from(standing.is_none());
        let all = counts.all + itself;
        if budget.most.of(all) == 0 {
            return Some(format!("the budget of {} lets none of {all} out", budget.most));
        }
        let zone = standing.map_or("", |s| s.zone);
        let all = counts.zone(standing).0 + itself;
        if Self::most_in_zone(budget, all) == 0 {
            return Some(format!("the budget lets none of the {all} in zone {zone:?} out"));
        }
        let kind = standing.map_or("", |s| s.kind);
        let all = counts.kind(standing).0 + itself;
        let none = budget.most_in_kind.is_some_and(|limit| limit.of(all) == 0);
        none.then(|| format!("the budget lets none of the {all} of kind {kind:?} out"))
    }

    /// Those that wait, in their order: urgent ones first, then by their zone's turn in a release, then by when they were asked for.
    pub fn queue(&self) -> Vec<&'a Name> {
        let turn = |zone| self.release.map_or(0, |r| r.turn(zone));
        let mut queue: Vec<(bool, usize, u64, &Name)> = self
            .all
            .iter()
            .filter_map(|(name, s)| Some((*name, s.zone, s.permit?)))
            .filter(|(_, _, permit)| permit.granted.is_none())
            .map(|(name, zone, permit)| (!permit.urgent, turn(zone), permit.asked, name))
            .collect();
        queue.sort();
        queue.into_iter().map(|(_, _, _, name)| name).collect()
    }

    /// Those of the queue that may go now. One whose zone is full lets others pass; it is the first again as soon as
    /// anything changes.
    pub fn grants(&self) -> Vec<Name> {
        let mut counts = self.counts();
        let (mut grants, mut go) = (Vec::new(), BTreeSet::new());
        for name in self.queue() {
            if self.fits_beside(&counts, name).is_ok() {
                if let Some(standing) = self.all.get(name) {
                    if !standing.out {
                        counts.goes_out(standing);
                    }
                    let wanted = self.release.map_or("", |r| r.want.as_str());
                    let goes_there = standing.permit.is_some_and(|p| p.want.as_str() == wanted);
                    counts.reached += usize::from(goes_there && !standing.has(wanted));
                }
                grants.push(name.clone());
                go.insert(name);
                counts.turn = self.turn(&go);
            }
        }
        grants
    }
}
