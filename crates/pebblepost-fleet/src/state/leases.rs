//! The leases in the state: requests, releases, and the only code that grants them.

use super::{KeyChanges, MAX_LEASES, MAX_OPERATIONS_PER_COMMAND, Rejection, State, invalid};
use crate::name::{Key, Name, Subject, SubjectKind};
use crate::value::{Lease, MAX_WAITING_MEMBERS_PER_LEASE, Value};
use std::collections::BTreeSet;

impl State {
    /// Returns the lease of a task.
    pub fn lease(&self, task: &Name) -> Option<&Lease> {
        match &self.entries.get(&Key::Lease(task.clone()))?.value {
            Value::Lease(lease) => Some(lease),
            _ => None,
        }
    }

    /// Iterates over all leases, by task.
    pub fn leases(&self) -> impl Iterator<Item = (&Name, &Lease)> {
        let from = Key::Lease(Name::lowest());
        self.entries.range(from..).map_while(|(key, entry)| match (key, &entry.value) {
            (Key::Lease(task), Value::Lease(lease)) => Some((task, lease)),
            _ => None,
        })
    }

    pub(super) fn acquire_leases(
        &self, member: &Name, session: u64, tasks: &[Name],
    ) -> Result<KeyChanges, Rejection> {
        self.check_session(member, session)?;
        if tasks.len() > MAX_OPERATIONS_PER_COMMAND {
            let count = tasks.len();
            return invalid(format!(
                "at most {MAX_OPERATIONS_PER_COMMAND} tasks in one command, not {count}"
            ));
        }
        let mut changes = KeyChanges::new();
        for task in tasks.iter().collect::<BTreeSet<_>>() {
            let current = self.lease(task);
            let full = || Rejection::Full {
                resource: format!("members wait for {task}"),
                capacity: MAX_WAITING_MEMBERS_PER_LEASE,
            };
            let requested =
                current.cloned().unwrap_or_default().with_waiting(member, session).ok_or_else(full)?;
            if current != Some(&requested) {
                changes.push((Key::Lease(task.clone()), Some(Value::Lease(requested))));
            }
        }
        self.check_capacity(&changes, |key| matches!(key, Key::Lease(_)), "tasks", MAX_LEASES)?;
        Ok(changes)
    }

    /// Releases the lease if the session holds it; otherwise removes the member from the queue. A lease held
    /// by another session stays.
    pub(super) fn release_lease(
        &self, member: &Name, session: u64, task: &Name, successor: Option<&Name>,
    ) -> KeyChanges {
        let Some(current) = self.lease(task) else { return KeyChanges::new() };
        let lease = if current.is_held_by(member, session) {
            Lease { successor: successor.or(current.successor.as_ref()).cloned(), ..current.released() }
        } else if self.check_session(member, session).is_ok() {
            let queue = current.queue.iter().filter(|waiting| *waiting != member).cloned().collect();
            Lease { queue, ..current.clone() }
        } else {
            // A superseded process must not remove the queue entry of the process that replaced it.
            return KeyChanges::new();
        };
        if lease == *current {
            return KeyChanges::new();
        }
        vec![(Key::Lease(task.clone()), Some(Value::Lease(lease)))]
    }

    /// Frees all leases of a session. No process may rely on the session any more.
    pub(super) fn free_leases(&self, member: &Name, session: u64) -> KeyChanges {
        let held = self.leases().filter(|(_, lease)| lease.is_held_by(member, session));
        held.map(|(task, lease)| (Key::Lease(task.clone()), Some(Value::Lease(lease.released())))).collect()
    }

    /// Grants free leases to waiting members that are eligible: present, ready and without a granted permit.
    /// It also removes leases that have neither a holder nor a queue. No other code grants leases.
    pub(super) fn grant_leases(&mut self, revision: u64) -> KeyChanges {
        let mut changes = KeyChanges::new();
        for (task, lease) in self.leases() {
            let granted = lease.granted(revision, |name| self.eligible_session(name));
            if granted.is_some() || lease.is_idle() {
                changes.push((Key::Lease(task.clone()), granted.map(Value::Lease)));
            }
        }
        self.put(revision, &changes);
        changes
    }

    fn eligible_session(&self, name: &Name) -> Option<u64> {
        let subject = Subject { kind: SubjectKind::Dispatcher, name: name.clone() };
        let has_granted_permit = self.permit(&subject).is_some_and(|permit| permit.is_granted());
        let member = self.member(name).filter(|member| !has_granted_permit && !member.is_unavailable())?;
        Some(member.session)
    }
}
