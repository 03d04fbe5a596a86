//! The permits in the state: the operations on them, and the only code that grants them.

use super::{KeyChanges, State, invalid};
use crate::availability::Availability;
use crate::command::{Command, Operation, Rejection};
use crate::name::{Key, Subject, SubjectKind, Text};
use crate::value::{Member, Permit, Value};

impl State {
    /// Returns all subjects of a kind, and the rules that apply to them.
    pub fn availability(&self, kind: SubjectKind) -> Availability<'_> {
        Availability::new(&self.entries, kind)
    }

    /// Returns the permit of a dispatcher or worker.
    pub fn permit(&self, subject: &Subject) -> Option<&Permit> {
        match &self.entries.get(&Key::Permit(subject.clone()))?.value {
            Value::Permit(permit) => Some(permit),
            _ => None,
        }
    }

    /// Iterates over all permits with their subjects, in descending order of their keys.
    pub fn permits(&self) -> impl Iterator<Item = (&Subject, &Permit)> {
        // Permits come last in the order of keys.
        self.entries.iter().rev().map_while(|(key, entry)| match (key, &entry.value) {
            (Key::Permit(subject), Value::Permit(permit)) => Some((subject, permit)),
            _ => None,
        })
    }

    /// Ends the permits of dispatchers that have returned, and grants the permits that the rules allow now.
    /// It runs after each change; no other code grants permits.
    pub(super) fn grant_permits(&mut self, revision: u64) -> KeyChanges {
        let returned = self.permits().filter(|(subject, permit)| self.has_returned(subject, permit));
        let mut changes: KeyChanges =
            returned.map(|(subject, _)| (Key::Permit(subject.clone()), None)).collect();
        self.put(revision, &changes);
        let rebound = self.rebound_permits();
        self.put(revision, &rebound);
        changes.extend(rebound);
        for kind in [SubjectKind::Dispatcher, SubjectKind::Worker] {
            let waits = |(subject, permit): (&Subject, &Permit)| subject.kind == kind && !permit.is_granted();
            if self.permits().any(waits) {
                let granted = self.granted_permits(kind, revision);
                self.put(revision, &granted);
                changes.extend(granted);
            }
        }
        changes
    }

    /// Returns whether a dispatcher with a granted permit is available in another incarnation and with the
    /// permit's version.
    fn has_returned(&self, subject: &Subject, permit: &Permit) -> bool {
        if subject.kind != SubjectKind::Dispatcher || !permit.is_granted() {
            return false;
        }
        self.member(&subject.name).is_some_and(|member| {
            let is_new = member.incarnation_id() != permit.incarnation_id;
            let has_version = permit.version.as_str().is_empty() || permit.version == member.info.version;
            is_new && has_version && !member.is_unavailable()
        })
    }

    /// Returns the changed permits of dispatchers that returned with a version other than the permit's,
    /// because they were started without knowledge of the permit or of a rollback. Such a permit is bound to
    /// the new incarnation, so that this incarnation has to end as well. No permit is rebound during a halt.
    fn rebound_permits(&self) -> KeyChanges {
        if self.entries.contains_key(&Key::Halt(SubjectKind::Dispatcher)) {
            return KeyChanges::new();
        }
        let rebound = |(subject, permit): (&Subject, &Permit)| {
            permit.granted_at_revision.filter(|_| subject.kind == SubjectKind::Dispatcher)?;
            let member = self.member(&subject.name)?;
            let has_other_version =
                !permit.version.as_str().is_empty() && permit.version != member.info.version;
            if !has_other_version || permit.incarnation_id == member.incarnation_id() {
                return None;
            }
            let permit = Permit { incarnation_id: member.incarnation_id(), ..permit.clone() };
            Some((Key::Permit(subject.clone()), Some(Value::Permit(permit))))
        };
        self.permits().filter_map(rebound).collect()
    }

    /// Returns the permits of a kind that can be granted now, with the drain marks for workers.
    fn granted_permits(&self, kind: SubjectKind, revision: u64) -> KeyChanges {
        let mut changes = KeyChanges::new();
        for name in self.availability(kind).select_grants() {
            let member = self.member(&name).filter(|_| kind == SubjectKind::Dispatcher);
            let incarnation_id = member.and_then(Member::incarnation_id);
            let subject = Subject { kind, name };
            let Some(permit) = self.permit(&subject) else { continue };
            let drain = Key::Drain(subject.name.clone());
            if kind == SubjectKind::Worker && !self.entries.contains_key(&drain) {
                let mark = Value::Drain {
                    set_by: permit.requested_by.clone(),
                    set_at_ms: permit.requested_at_ms,
                    reason: permit.reason.clone(),
                };
                changes.push((drain, Some(mark)));
            }
            let permit = Permit { granted_at_revision: Some(revision), incarnation_id, ..permit.clone() };
            changes.push((Key::Permit(subject), Some(Value::Permit(permit))));
        }
        changes
    }

    /// Returns the changes that an operation makes to a permit and to the drain mark that belongs to it.
    pub(super) fn change_permit(
        &self, command: &Command, operation: &Operation, reason: &Text,
    ) -> Result<KeyChanges, Rejection> {
        let Key::Permit(subject) = operation.key() else { return Ok(KeyChanges::new()) };
        match (operation, self.permit(&subject)) {
            // A repeated request leaves the existing permit as it is.
            (Operation::RequestPermit { .. }, Some(_)) | (Operation::WithdrawPermit(_), None) => {
                Ok(KeyChanges::new())
            }
            (Operation::RequestPermit { urgent, version, .. }, None) => {
                self.request_permit(command, subject, *urgent, version, reason)
            }
            (Operation::WithdrawPermit(_), Some(permit)) if permit.is_granted() => invalid(format!(
                "{subject} may be going already: its permit ends when it is back, or by force"
            )),
            (Operation::WithdrawPermit(_), Some(_)) => Ok(vec![(Key::Permit(subject), None)]),
            (Operation::CompletePermit(_, revision), Some(permit))
                if permit.granted_at_revision != Some(*revision) =>
            {
                invalid(format!(
                    "{subject} has another permit by now, granted at revision {}",
                    permit.granted_at_revision.unwrap_or(0)
                ))
            }
            (Operation::CompletePermit(..), Some(_)) if subject.kind == SubjectKind::Dispatcher => {
                invalid(format!("{subject} is back when it is seen in a new life, ready"))
            }
            (Operation::ForceCompletePermit(_), Some(_)) if reason.as_str().is_empty() => {
                invalid("a force needs a reason, for the history")
            }
            (Operation::CompletePermit(..) | Operation::ForceCompletePermit(_), Some(_)) => {
                Ok(end_permit(subject))
            }
            (_, None) => Ok(KeyChanges::new()),
            (_, Some(_)) => invalid(format!("{subject} has a permit")),
        }
    }

    fn request_permit(
        &self, command: &Command, subject: Subject, urgent: bool, version: &Text, reason: &Text,
    ) -> Result<KeyChanges, Rejection> {
        let availability = self.availability(subject.kind);
        if subject.kind == SubjectKind::Dispatcher && !availability.subjects.contains_key(&subject.name) {
            return invalid(format!("no dispatcher {} has ever joined", subject.name));
        }
        if subject.kind == SubjectKind::Worker && !version.as_str().is_empty() {
            return invalid("a worker is back when whoever asked says so, whatever its version");
        }
        if let Some(impossible) = availability.impossible_reason(&subject.name) {
            return invalid(format!("{subject} could never go: {impossible}"));
        }
        let permit = Permit { urgent, ..self.new_permit(command, version, reason) };
        Ok(vec![(Key::Permit(subject), Some(Value::Permit(permit)))])
    }

    /// Returns a permit that this command requests and that is not urgent.
    pub(super) fn new_permit(&self, command: &Command, version: &Text, reason: &Text) -> Permit {
        Permit {
            requested_by: command.issued_by.clone(),
            requested_at_ms: command.issued_at_ms,
            reason: reason.clone(),
            urgent: false,
            version: version.clone(),
            requested_at_revision: self.revision + 1,
            granted_at_revision: None,
            incarnation_id: None,
        }
    }
}

/// Returns the changes that end a permit and remove the drain mark of a worker.
fn end_permit(subject: Subject) -> KeyChanges {
    let drain = (subject.kind == SubjectKind::Worker).then(|| (Key::Drain(subject.name.clone()), None));
    std::iter::once((Key::Permit(subject), None)).chain(drain).collect()
}
