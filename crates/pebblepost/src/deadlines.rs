//! The one sorted structure that holds every deadline of the program; swept once a turn.

use pebblepost_dispatch::api::Time;
use std::collections::BTreeMap;

/// Names an entry, so that it can be withdrawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Handle {
    at: Time,
    order: u64,
}

/// Deadlines by time; equal times in the order of their setting.
#[derive(Debug)]
pub struct Deadlines<K> {
    entries: BTreeMap<Handle, K>,
    order: u64,
}

impl<K> Default for Deadlines<K> {
    fn default() -> Self {
        Self { entries: BTreeMap::new(), order: 0 }
    }
}

impl<K> Deadlines<K> {
    /// Sets a deadline.
    pub fn set(&mut self, at: Time, what: K) -> Handle {
        self.order += 1;
        let handle = Handle { at, order: self.order };
        self.entries.insert(handle, what);
        handle
    }

    /// Withdraws a deadline; one that is past is ignored.
    pub fn withdraw(&mut self, handle: Handle) {
        self.entries.remove(&handle);
    }

    /// The earliest deadline.
    pub fn next(&self) -> Option<Time> {
        self.entries.first_key_value().map(|(handle, _)| handle.at)
    }

    /// Takes the earliest entry that is due.
    pub fn pop_due(&mut self, now: Time) -> Option<K> {
        let first = self.entries.first_entry().filter(|e| e.key().at <= now)?;
        Some(first.remove())
    }
}
