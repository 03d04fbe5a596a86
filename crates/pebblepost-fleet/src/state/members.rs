//! The members in the state: their incarnations, sessions and readiness.

use super::{KeyChanges, MAX_INCARNATIONS_PER_MEMBER, MAX_MEMBERS, Rejection, State, invalid};
use crate::name::{IncarnationId, Key, Name};
use crate::value::{Member, MemberInfo, Presence, Value};
use std::collections::VecDeque;

impl State {
    /// Returns a member.
    pub fn member(&self, name: &Name) -> Option<&Member> {
        match &self.entries.get(&Key::Member(name.clone()))?.value {
            Value::Member(member) => Some(member),
            _ => None,
        }
    }

    /// Iterates over all members.
    pub fn members(&self) -> impl Iterator<Item = (&Name, &Member)> {
        self.entries.iter().filter_map(|(key, entry)| match (key, &entry.value) {
            (Key::Member(name), Value::Member(member)) => Some((name, member)),
            _ => None,
        })
    }

    pub(super) fn join(
        &self, name: &Name, incarnation_id: IncarnationId, info: &MemberInfo,
    ) -> Result<KeyChanges, Rejection> {
        let member = match self.member(name) {
            None => self.new_member(incarnation_id, info)?,
            Some(old) => self.rejoined(name, old, incarnation_id, info)?,
        };
        Ok(vec![(Key::Member(name.clone()), Some(Value::Member(member)))])
    }

    fn new_member(&self, incarnation_id: IncarnationId, info: &MemberInfo) -> Result<Member, Rejection> {
        if self.count_keys(|key| matches!(key, Key::Member(_))) >= MAX_MEMBERS {
            return Err(Rejection::Full { resource: "members".to_owned(), capacity: MAX_MEMBERS });
        }
        Ok(Member {
            info: info.clone(),
            incarnation: 1,
            session: self.revision + 1,
            presence: Presence::Present,
            last_report_sequence: 0,
            incarnation_ids: VecDeque::from([incarnation_id]),
        })
    }

    fn rejoined(
        &self, name: &Name, old: &Member, incarnation_id: IncarnationId, info: &MemberInfo,
    ) -> Result<Member, Rejection> {
        let mut member = Member {
            info: info.clone(),
            session: self.revision + 1,
            presence: Presence::Present,
            last_report_sequence: 0,
            ..old.clone()
        };
        if old.incarnation_id() == Some(incarnation_id) {
            return Ok(member);
        }
        // A process that was paused and superseded must not take the name back when it resumes.
        if old.incarnation_ids.contains(&incarnation_id) {
            return Err(Rejection::Superseded { member: name.clone(), incarnation: old.incarnation });
        }
        member.incarnation_ids.push_front(incarnation_id);
        member.incarnation_ids.truncate(MAX_INCARNATIONS_PER_MEMBER);
        member.incarnation += 1;
        Ok(member)
    }

    /// Returns the member if the session is its present one and has not ended.
    pub(super) fn check_session(&self, name: &Name, session: u64) -> Result<&Member, Rejection> {
        let member = self
            .member(name)
            .filter(|member| member.session == session && member.presence == Presence::Present);
        member.ok_or_else(|| Rejection::SessionEnded { member: name.clone(), session })
    }

    pub(super) fn report_readiness(
        &self, name: &Name, session: u64, sequence: u64, ready: bool,
    ) -> Result<KeyChanges, Rejection> {
        let current = self.check_session(name, session)?;
        if sequence <= current.last_report_sequence {
            return Ok(KeyChanges::new());
        }
        let info = MemberInfo { ready, ..current.info.clone() };
        let member = Member { info, last_report_sequence: sequence, ..current.clone() };
        Ok(vec![(Key::Member(name.clone()), Some(Value::Member(member)))])
    }

    /// Ends a session and frees its leases.
    pub(super) fn end_session(
        &self, name: &Name, session: u64, presence: Presence,
    ) -> Result<KeyChanges, Rejection> {
        let member = Member { presence, ..self.check_session(name, session)?.clone() };
        let mut changes = vec![(Key::Member(name.clone()), Some(Value::Member(member)))];
        changes.extend(self.free_leases(name, session));
        Ok(changes)
    }

    pub(super) fn expire_superseded_session(
        &self, name: &Name, session: u64,
    ) -> Result<KeyChanges, Rejection> {
        if self.check_session(name, session).is_ok() {
            return invalid(format!("session {session} of {name} goes on"));
        }
        Ok(self.free_leases(name, session))
    }
}
