//! A queue of timers, sorted by time.
//!
//! The queue holds only keys. It reads no clock and calls no handlers; the event loop takes the due timers once per iteration.

use pebblepost_dispatch::api::Time;
use std::collections::BTreeMap;

/// Identifies a scheduled timer for cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerHandle {
    at: Time,
    /// Orders timers that are due at the same time.
    sequence: u64,
}

/// Timers in the order of their time. Timers with equal times keep the order in which they were scheduled.
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
    /// Schedules a timer. It is due at `at`.
    pub fn schedule(&mut self, at: Time, key: K) -> TimerHandle {
        self.last_sequence += 1;
        let handle = TimerHandle { at, sequence: self.last_sequence };
        self.timers.insert(handle, key);
        handle
    }

    /// Cancels a timer. Has no effect if the timer was taken or cancelled already.
    pub fn cancel(&mut self, handle: TimerHandle) {
        self.timers.remove(&handle);
    }

    /// Returns the time of the earliest timer; `None` if there are no timers.
    pub fn next(&self) -> Option<Time> {
        self.timers.first_key_value().map(|(handle, _)| handle.at)
    }

    /// Removes and returns the earliest timer if it is due at `now`.
    pub fn pop_due(&mut self, now: Time) -> Option<K> {
        let first = self.timers.first_entry().filter(|entry| entry.key().at <= now)?;
        Some(first.remove())
    }
}
