//! Timers of the daemon, sorted by time.
//!
//! The queue holds keys only. It reads no clock and calls nothing: the event loop takes what is due once an iteration.

use pebblepost_dispatch::api::Time;
use std::collections::BTreeMap;

/// Identifies a scheduled timer, so that it can be cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerHandle {
    at: Time,
    sequence: u64,
}

/// Timers by time; those with equal times in the order in which they were scheduled.
#[derive(Debug)]
pub struct TimerQueue<K> {
    timers: BTreeMap<TimerHandle, K>,
    last_sequence: u64,
}

impl<K> Default for TimerQueue<K> {
    fn default() -> Self {
        Self { timers: BTreeMap::new(), last_sequence: 0 }
    }
}

impl<K> TimerQueue<K> {
    /// Schedules a timer.
    pub fn schedule(&mut self, at: Time, key: K) -> TimerHandle {
        self.last_sequence += 1;
        let handle = TimerHandle { at, sequence: self.last_sequence };
        self.timers.insert(handle, key);
        handle
    }

    /// Cancels a timer. One that has fired already is ignored.
    pub fn cancel(&mut self, handle: TimerHandle) {
        self.timers.remove(&handle);
    }

    /// The time of the earliest timer.
    pub fn next(&self) -> Option<Time> {
        self.timers.first_key_value().map(|(handle, _)| handle.at)
    }

    /// Removes and returns the earliest timer that is due at `now`.
    pub fn pop_due(&mut self, now: Time) -> Option<K> {
        let first = self.timers.first_entry().filter(|entry| entry.key().at <= now)?;
        Some(first.remove())
    }
}
