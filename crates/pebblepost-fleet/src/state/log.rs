//! Revisions, and the bounded log of changes.

use super::{Command, KeyChanges, MAX_LOGGED_KEYS, Outcome, State};
use crate::name::{Key, Text};
use crate::value::{Change, Entry};

impl State {
    /// Returns at most `max` changes after a revision, the oldest first. Returns `None` if some of them were
    /// compacted or the state never had that revision; a snapshot is needed then.
    pub fn changes_after(&self, revision: u64, max: usize) -> Option<Vec<Change>> {
        if revision < self.compacted_revision || revision > self.revision {
            return None;
        }
        let from = self.log.partition_point(|change| change.revision <= revision);
        Some(self.log.range(from..).take(max).cloned().collect())
    }

    /// Iterates over the changes in the log, the oldest first.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &Change> {
        self.log.iter()
    }

    /// Commits these changes as the next revision, together with the permits and leases that can be granted
    /// as a result. Without changes there is no new revision.
    pub(super) fn commit(&mut self, command: &Command, mut items: KeyChanges, reason: Text) -> Outcome {
        if items.is_empty() {
            return Outcome { revision: self.revision, session: None };
        }
        self.revision += 1;
        let revision = self.revision;
        self.put(revision, &items);
        items.extend(self.grant_permits(revision));
        // Changes of members, leases and permits can free a lease or make a member eligible for one.
        if items.iter().any(|(key, _)| matches!(key, Key::Member(_) | Key::Lease(_) | Key::Permit(_))) {
            items.extend(self.grant_leases(revision));
        }
        self.logged_keys += items.len();
        let (issued_by, issued_at_ms) = (command.issued_by.clone(), command.issued_at_ms);
        self.log.push_back(Change { revision, issued_by, issued_at_ms, reason, items });
        self.compact();
        Outcome { revision, session: None }
    }

    /// Sets or removes the values at these keys.
    pub(super) fn put(&mut self, revision: u64, changes: &KeyChanges) {
        for (key, value) in changes {
            match value {
                Some(value) => {
                    self.entries.insert(key.clone(), Entry { value: value.clone(), revision });
                }
                None => {
                    self.entries.remove(key);
                }
            }
        }
    }

    fn compact(&mut self) {
        while self.logged_keys > MAX_LOGGED_KEYS
            && let Some(oldest) = self.log.pop_front()
        {
            self.logged_keys -= oldest.items.len();
            self.compacted_revision = oldest.revision;
        }
    }
}
