//! Permits in the state: what operations make of them, and the one place that grants.

use super::value::roll;
use super::{Items, Member, State, Value};
use crate::command::{Command, Op, Refusal};
use crate::name::{Key, Kind, Subject, Text};
use crate::permit::{Permit, Roll};

impl State {
    /// All of one kind, and how they stand.
    pub fn roll(&self, kind: Kind) -> Roll<'_> {
        roll(&self.entries, kind)
    }

    /// A permit.
    pub fn permit(&self, subject: &Subject) -> Option<&Permit> {
        match &self.entries.get(&Key::Permit(subject.clone()))?.value {
            Value::Permit(permit) => Some(permit),
            _ => None,
        }
    }

    /// All permits, and whose they are.
    pub fn permits(&self) -> impl Iterator<Item = (&Subject, &Permit)> {
        // They are the last keys in their order.
        self.entries.iter().rev().map_while(|(key, entry)| match (key, &entry.value) {
            (Key::Permit(subject), Value::Permit(permit)) => Some((subject, permit)),
            _ => None,
        })
    }

    /// Ends the permits of dispatchers that are back, and grants what waits and fits now. Whatever a command changed, this
    /// is the only place that grants.
    pub(super) fn settle_permits(&mut self, revision: u64) -> Items {
        let mut items = Items::new();
        let back = |subject: &Subject, permit: &Permit| {
            subject.kind == Kind::Dispatcher
                && permit.granted.is_some()
                && self.member(&subject.name).is_some_and(|m| {
                    let anew = m.life() != permit.life;
                    let wanted = permit.want.as_str().is_empty() || permit.want == m.card.version;
                    anew && wanted && !m.is_out()
                })
        };
        for subject in self.permits().filter(|(s, p)| back(s, p)).map(|(s, _)| s.clone()).collect::<Vec<_>>()
        {
            items.push((Key::Permit(subject), None));
        }
        self.put(revision, &items);
        let again = self.gone_the_wrong_way();
        self.put(revision, &again);
        items.extend(again);
        for kind in [Kind::Dispatcher, Kind::Worker] {
            if !self.permits().any(|(s, p)| s.kind == kind && p.granted.is_none()) {
                continue;
            }
            let mut granted = Items::new();
            for name in self.roll(kind).grants() {
                let life = self.member(&name).filter(|_| kind == Kind::Dispatcher).and_then(Member::life);
                let subject = Subject { kind, name };
                let Some(permit) = self.permit(&subject) else { continue };
                let drain = Key::Drain(subject.name.clone());
                if kind == Kind::Worker && !self.entries.contains_key(&drain) {
                    let (by, at_ms, why) = (permit.by.clone(), permit.at_ms, permit.why.clone());
                    granted.push((drain, Some(Value::Drain { by, at_ms, why })));
                }
                let permit = Permit { granted: Some(revision), life, ..permit.clone() };
                granted.push((Key::Permit(subject), Some(Value::Permit(permit))));
            }
            self.put(revision, &granted);
            items.extend(granted);
        }
        items
    }

    /// Permits of those that came back as another version than wanted: started by whoever knew of no permit, or on a way back
    /// by whoever did not know of that. They bind the new life, so that it ends itself as well; a halt stops that too.
    pub(super) fn gone_the_wrong_way(&self) -> Items {
        if self.entries.contains_key(&Key::Halt(Kind::Dispatcher)) {
            return Items::new();
        }
        let again = |(subject, permit): (&Subject, &Permit)| {
            permit.granted.filter(|_| subject.kind == Kind::Dispatcher)?;
            let member = self.member(&subject.name)?;
            let wrong = !permit.want.as_str().is_empty() && permit.want != member.card.version;
            if !wrong || permit.life == member.life() {
                return None;
            }
            let permit = Permit { life: member.life(), ..permit.clone() };
            Some((Key::Permit(subject.clone()), Some(Value::Permit(permit))))
        };
        self.permits().filter_map(again).collect()
    }

    /// What an operation on a permit makes of it, and of the drain mark that goes with it.
    pub(super) fn change_permit(&self, command: &Command, op: &Op, why: &Text) -> Result<Items, Refusal> {
        let invalid = |what: String| Err(Refusal::Invalid { what });
        let Key::Permit(subject) = op.key() else { return Ok(Items::new()) };
        let permit = self.permit(&subject);
        let ended = |subject: Subject| {
            let drain = (subject.kind == Kind::Worker).then(|| (Key::Drain(subject.name.clone()), None));
            std::iter::once((Key::Permit(subject), None)).chain(drain).collect()
        };
        match (op, permit) {
            // Asked for again: it is the same one.
            (Op::Ask { .. }, Some(_)) => Ok(Items::new()),
            (Op::Ask { urgent, want, .. }, None) => {
                let roll = self.roll(subject.kind);
                if subject.kind == Kind::Dispatcher && !roll.all.contains_key(&subject.name) {
                    return invalid(format!("no dispatcher {} has ever joined", subject.name));
                }
                if subject.kind == Kind::Worker && !want.as_str().is_empty() {
                    return invalid(
                        "a worker is back when whoever asked says so, whatever its version".to_owned(),
                    );
                }
                if let Some(never) = roll.never(&subject.name) {
                    return invalid(format!("{subject} could never go: {never}"));
                }
                let permit = Permit {
                    by: command.by.clone(),
                    at_ms: command.at_ms,
                    why: why.clone(),
                    urgent: *urgent,
                    want: want.clone(),
                    asked: self.revision + 1,
                    granted: None,
                    life: None,
                };
                Ok(vec![(Key::Permit(subject), Some(Value::Permit(permit)))])
            }
            (Op::Withdraw(_), Some(permit)) if permit.granted.is_some() => invalid(format!(
                "{subject} may be going already: its permit ends when it is back, or by force"
            )),
            (Op::Back(_, at), Some(permit)) if permit.granted != Some(*at) => invalid(format!(
                "{subject} has another permit by now, granted at revision {}",
                permit.granted.unwrap_or(0)
            )),
            (Op::Back(..), Some(_)) if subject.kind == Kind::Dispatcher => {
                invalid(format!("{subject} is back when it is seen in a new life, ready"))
            }
            (Op::Force(_), Some(_)) if why.as_str().is_empty() => {
                invalid("a force needs a reason, for the history".to_owned())
            }
            (Op::Withdraw(_), Some(_)) => Ok(vec![(Key::Permit(subject), None)]),
            (Op::Back(..) | Op::Force(_), Some(_)) => Ok(ended(subject)),
            (_, None) => Ok(Items::new()),
            (_, Some(_)) => invalid(format!("{subject} has a permit")),
        }
    }
}
