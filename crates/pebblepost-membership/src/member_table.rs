//! The table of known members, with the times at which their states expire.

use crate::member::{Member, MemberState, Update};
use std::{collections::BTreeMap, net::SocketAddrV4, ops::Bound, time::Duration};

/// A member other than the local one.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) update: Update,
    /// Time at which a suspicion ends, or at which a member that is dead or has left is removed.
    pub(crate) deadline: Option<Duration>,
}

/// All other members, by name.
#[derive(Default)]
pub(crate) struct MemberTable {
    entries: BTreeMap<String, Entry>,
}

impl MemberTable {
    pub(crate) fn get(&self, name: &str) -> Option<&Entry> {
        self.entries.get(name)
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Iterates over the members that are alive or suspected.
    pub(crate) fn present_members(&self) -> impl Iterator<Item = &Member> {
        self.entries().filter(|entry| entry.update.state.is_present()).map(|entry| &entry.update.member)
    }

    pub(crate) fn dead_members(&self) -> impl Iterator<Item = &Member> {
        self.entries()
            .filter(|entry| entry.update.state == MemberState::Dead)
            .map(|entry| &entry.update.member)
    }

    pub(crate) fn find_by_address(&self, address: SocketAddrV4) -> Option<&Entry> {
        self.entries().find(|entry| entry.update.member.address == address)
    }

    /// Iterates over the entries with names after this one, in the order of their names.
    pub(crate) fn entries_after(&self, name: &str) -> impl Iterator<Item = &Entry> {
        let range = (Bound::Excluded(name), Bound::Unbounded);
        self.entries.range::<str, _>(range).map(|(_, entry)| entry)
    }

    pub(crate) fn insert(&mut self, update: Update, deadline: Option<Duration>) {
        self.entries.insert(update.member.name.clone(), Entry { update, deadline });
    }

    pub(crate) fn remove(&mut self, name: &str) {
        self.entries.remove(name);
    }

    /// Returns the updates of the entries whose deadline has passed.
    pub(crate) fn expired_updates(&self, now: Duration) -> Vec<Update> {
        let expired = |entry: &&Entry| entry.deadline.is_some_and(|deadline| deadline <= now);
        self.entries().filter(expired).map(|entry| entry.update.clone()).collect()
    }

    /// Postpones all deadlines by the given time.
    pub(crate) fn extend_deadlines(&mut self, by: Duration) {
        for entry in self.entries.values_mut() {
            entry.deadline = entry.deadline.map(|deadline| deadline + by);
        }
    }
}
