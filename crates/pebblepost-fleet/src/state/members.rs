//! Members in the state: their lives and sessions.

use super::{Items, MAX_LIVES, MAX_MEMBERS, Member, Presence, State, Value};
use crate::command::{Card, Refusal, RequestId};
use crate::name::{Key, Name};
use std::collections::VecDeque;

impl State {
    pub(super) fn join(&self, name: &Name, life: RequestId, card: &Card) -> Result<Items, Refusal> {
        let session = self.revision + 1;
        let key = Key::Member(name.clone());
        let member = match self.member(name) {
            None => {
                if self.count(|key| matches!(key, Key::Member(_))) >= MAX_MEMBERS {
                    return Err(Refusal::Full { what: "members".to_owned(), most: MAX_MEMBERS });
                }
                let lives = VecDeque::from([life]);
                let (card, presence) = (card.clone(), Presence::Here);
                Member { card, incarnation: 1, session, presence, reports: 0, lives }
            }
            Some(old) => {
                let mut member = Member { card: card.clone(), session, reports: 0, ..old.clone() };
                member.presence = Presence::Here;
                if member.lives.front() != Some(&life) {
                    // A process that was replaced and has woken up must not take the name back.
                    if member.lives.contains(&life) {
                        return Err(Refusal::Superseded {
                            member: name.clone(),
                            incarnation: old.incarnation,
                        });
                    }
                    member.lives.push_front(life);
                    member.lives.truncate(MAX_LIVES);
                    member.incarnation += 1;
                }
                member
            }
        };
        Ok(vec![(key, Some(Value::Member(member)))])
    }

    /// The member of that session, if it goes on.
    pub(super) fn in_session(&self, name: &Name, session: u64) -> Result<&Member, Refusal> {
        let member = self.member(name).filter(|m| m.session == session && m.presence == Presence::Here);
        member.ok_or_else(|| Refusal::Ended { member: name.clone(), session })
    }

    pub(super) fn end(&self, name: &Name, session: u64, presence: Presence) -> Result<Items, Refusal> {
        let member = Member { presence, ..self.in_session(name, session)?.clone() };
        Ok(vec![(Key::Member(name.clone()), Some(Value::Member(member)))])
    }

    /// A member.
    pub fn member(&self, name: &Name) -> Option<&Member> {
        match &self.entries.get(&Key::Member(name.clone()))?.value {
            Value::Member(member) => Some(member),
            _ => None,
        }
    }

    /// All members.
    pub fn members(&self) -> impl Iterator<Item = (&Name, &Member)> {
        self.entries.iter().filter_map(|(key, entry)| match (key, &entry.value) {
            (Key::Member(name), Value::Member(member)) => Some((name, member)),
            _ => None,
        })
    }
}
