//! The release in the state: its beginning, its waves, its way back and its end.

use super::{Items, MAX_WAVES, State, Value};
use crate::command::{Command, Op, Refusal, Role};
use crate::name::{Key, Kind, Subject, Text};
use crate::permit::{Limit, Permit, Release};

impl State {
    /// The release that goes on.
    pub fn release(&self) -> Option<&Release> {
        match &self.entries.get(&Key::Release(Kind::Dispatcher))?.value {
            Value::Release(release) => Some(release),
            _ => None,
        }
    }

    /// What an operation on the release makes of it, and of the permits that go with it.
    pub(super) fn change_release(&self, command: &Command, op: &Op, why: &Text) -> Result<Items, Refusal> {
        let invalid = |what: &str| Err(Refusal::Invalid { what: what.to_owned() });
        let key = || Key::Release(Kind::Dispatcher);
        match (op, self.release()) {
            (Op::Release { want, .. }, Some(now)) if now.want == *want => Ok(Items::new()),
            (Op::Release { .. }, Some(now)) => {
                invalid(&format!("the release of {} goes on: end it, or go back, first", now.want))
            }
            (Op::Release { want, waves, zones }, None) => {
                let sound =
                    !waves.is_empty() && waves.len() <= MAX_WAVES && waves.iter().all(|w| w.is_sound());
                if want.as_str().is_empty() || !sound || zones.len() > MAX_WAVES {
                    return invalid(&format!(
                        "a release wants a version, 1 to {MAX_WAVES} waves, and at most {MAX_WAVES} zones in order"
                    ));
                }
                let roll = self.roll(Kind::Dispatcher);
                if roll.all.is_empty() {
                    return invalid("no dispatcher has ever joined");
                }
                if waves.last().map(|w| w.of(roll.all.len())) < Some(roll.all.len()) {
                    return invalid("the last wave must reach all, or the release would never end");
                }
                let zones = zones.clone();
                if let Some(zone) = zones.iter().find(|z| roll.all.values().all(|s| s.zone != z.as_str())) {
                    return invalid(&format!("no dispatcher is in zone {zone}"));
                }
                if let Some(never) = roll.all.keys().find_map(|name| roll.never(name)) {
                    return invalid(&format!("it would never end: {never}"));
                }
                let (by, at_ms) = (command.by.clone(), command.at_ms);
                let (wanted, waves, from) = (want.clone(), waves.clone(), None);
                let release = Release { want: wanted, from, waves, wave: 0, zones, by, at_ms };
                Ok(self.all_to(command, release, why, |version| version != want))
            }
            (Op::GoBack(to), Some(now)) if now.from.is_some() && now.want == *to => Ok(Items::new()),
            (Op::GoBack(to), Some(now)) if to.as_str().is_empty() || *to == now.want => {
                invalid("a way back wants a version other than the release's")
            }
            (Op::GoBack(to), Some(now)) => {
                let (by, at_ms) = (command.by.clone(), command.at_ms);
                let (from, waves) = (Some(now.want.clone()), vec![Limit::Share(1.0)]);
                let release =
                    Release { want: to.clone(), from, waves, wave: 0, zones: Vec::new(), by, at_ms };
                let given_up = now.want.clone();
                Ok(self.all_to(command, release, why, |version| *version == given_up))
            }
            (Op::Advance(wave), Some(now)) if now.wave != *wave => Ok(Items::new()),
            (Op::Advance(_), Some(now)) if now.is_last() => invalid("this is the last wave"),
            (Op::Advance(_), Some(now)) => {
                if !self.roll(Kind::Dispatcher).wave_is_back() {
                    return invalid("not all of the wave have the version and are ready");
                }
                let release = Release { wave: now.wave + 1, ..now.clone() };
                Ok(vec![(key(), Some(Value::Release(release)))])
            }
            (Op::EndRelease, Some(now)) => {
                let left = self.permits().filter(|(_, p)| p.want == now.want).count();
                match left {
                    0 => Ok(vec![(key(), None)]),
                    _ => invalid(&format!("{left} dispatchers have not come back as {}", now.want)),
                }
            }
            (Op::EndRelease, None) => Ok(Items::new()),
            _ => invalid("no release goes on"),
        }
    }

    /// A release, and permits with its version for all that are to go: those that have one keep their place, granted ones
    /// stay granted, and those that are out go first. Others that wait for another version do so no more.
    pub(super) fn all_to(
        &self, command: &Command, release: Release, why: &Text, goes: impl Fn(&Text) -> bool,
    ) -> Items {
        let mut items = Items::new();
        for (name, member) in self.members().filter(|(_, m)| m.card.role == Role::Dispatcher) {
            let subject = Subject { kind: Kind::Dispatcher, name: name.clone() };
            let permit = match self.permit(&subject) {
                // It may be going already, to whichever version was wanted: it is to come back as this one.
                Some(p) if p.granted.is_some() => Some(Permit { want: release.want.clone(), ..p.clone() }),
                _ if goes(&member.card.version) => Some(Permit {
                    by: command.by.clone(),
                    at_ms: command.at_ms,
                    why: why.clone(),
                    urgent: release.from.is_some() && member.is_out(),
                    want: release.want.clone(),
                    asked: self.revision + 1,
                    granted: None,
                    life: None,
                }),
                _ => None,
            };
            items.push((Key::Permit(subject), permit.map(Value::Permit)));
        }
        items.push((Key::Release(Kind::Dispatcher), Some(Value::Release(release))));
        items
    }
}
