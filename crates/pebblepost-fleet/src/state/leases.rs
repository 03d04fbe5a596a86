//! Leases in the state: who asks, who gives back, and the one place that grants.

use super::{Items, MAX_LEASES, MAX_OPS, State, Value};
use crate::command::Refusal;
use crate::lease::{Lease, MAX_WAITING};
use crate::name::{Key, Kind, Name, Subject};
use std::collections::BTreeSet;

impl State {
    /// A lease.
    pub fn lease(&self, task: &Name) -> Option<&Lease> {
        match &self.entries.get(&Key::Lease(task.clone()))?.value {
            Value::Lease(lease) => Some(lease),
            _ => None,
        }
    }

    /// All leases, by task.
    pub fn leases(&self) -> impl Iterator<Item = (&Name, &Lease)> {
        let from = Key::Lease(Name::first());
        self.entries.range(from..).map_while(|(key, entry)| match (key, &entry.value) {
            (Key::Lease(task), Value::Lease(lease)) => Some((task, lease)),
            _ => None,
        })
    }

    pub(super) fn acquire(&self, member: &Name, session: u64, tasks: &[Name]) -> Result<Items, Refusal> {
        self.in_session(member, session)?;
        if tasks.len() > MAX_OPS {
            let what = format!("at most {MAX_OPS} tasks in one command, not {}", tasks.len());
            return Err(Refusal::Invalid { what });
        }
        let mut items = Items::new();
        for task in tasks.iter().collect::<BTreeSet<_>>() {
            let now = self.lease(task);
            let full = || Refusal::Full { what: format!("members wait for {task}"), most: MAX_WAITING };
            let wanted = now.cloned().unwrap_or_default().wanted_by(member, session).ok_or_else(full)?;
            if now != Some(&wanted) {
                items.push((Key::Lease(task.clone()), Some(Value::Lease(wanted))));
            }
        }
        self.fits(&items, |key| matches!(key, Key::Lease(_)), "tasks", MAX_LEASES)?;
        Ok(items)
    }

    /// Whoever has it no more, or waits no more; what another holder has is not touched.
    pub(super) fn give_back(&self, member: &Name, session: u64, task: &Name, to: Option<&Name>) -> Items {
        let Some(now) = self.lease(task) else { return Items::new() };
        let lease = if now.is_held_by(member, session) {
            Lease { next: to.or(now.next.as_ref()).cloned(), ..now.freed() }
        } else if self.in_session(member, session).is_ok() {
            let queue = now.queue.iter().filter(|n| *n != member).cloned().collect();
            Lease { queue, ..now.clone() }
        } else {
            // A process that was replaced does not withdraw what its successor waits for.
            return Items::new();
        };
        if lease == *now { Items::new() } else { vec![(Key::Lease(task.clone()), Some(Value::Lease(lease)))] }
    }

    /// All leases of a session that nobody acts by any more.
    pub(super) fn free(&self, member: &Name, session: u64) -> Items {
        let held = self.leases().filter(|(_, lease)| lease.is_held_by(member, session));
        held.map(|(task, lease)| (Key::Lease(task.clone()), Some(Value::Lease(lease.freed())))).collect()
    }

    /// Grants what is free to whoever waits and may have it: one that is there, ready, and has no permit to go. This is the
    /// only place that grants leases.
    pub(super) fn settle_leases(&mut self, revision: u64) -> Items {
        let session = |name: &Name| {
            let subject = Subject { kind: Kind::Dispatcher, name: name.clone() };
            let goes = self.permit(&subject).is_some_and(|p| p.granted.is_some());
            let member = self.member(name).filter(|m| !goes && !m.is_out())?;
            Some(member.session)
        };
        let mut items = Items::new();
        for (task, lease) in self.leases() {
            let settled = lease.settled(revision, session);
            if settled.is_some() || lease.is_idle() {
                items.push((Key::Lease(task.clone()), settled.map(Value::Lease)));
            }
        }
        self.put(revision, &items);
        items
    }
}
