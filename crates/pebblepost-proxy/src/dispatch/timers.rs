//! Timers that the dispatcher requests.

use pebblepost_dispatch::api::{Time, TimerToken};
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use tokio::sync::Notify;

/// Pending timers, ordered by due time.
#[derive(Debug, Default)]
pub(super) struct Timers {
    pending: RefCell<BinaryHeap<Reverse<(Time, u64)>>>,
    changed: Notify,
}

impl Timers {
    /// Adds a timer.
    pub(super) fn set(&self, at: Time, token: TimerToken) {
        let mut pending = self.pending.borrow_mut();
        let is_earliest = pending.peek().is_none_or(|Reverse((next, _))| at < *next);
        pending.push(Reverse((at, token.0)));
        if is_earliest {
            self.changed.notify_one();
        }
    }

    /// Removes all timers.
    pub(super) fn clear(&self) {
        let mut pending = self.pending.borrow_mut();
        if !pending.is_empty() {
            pending.clear();
            self.changed.notify_one();
        }
    }

    /// Returns the due time of the earliest timer.
    pub(super) fn next_due(&self) -> Option<Time> {
        self.pending.borrow().peek().map(|Reverse((at, _))| *at)
    }

    /// Takes out the earliest timer if it is due at `now`.
    pub(super) fn take_due(&self, now: Time) -> Option<TimerToken> {
        let mut pending = self.pending.borrow_mut();
        pending.peek().filter(|Reverse((at, _))| *at <= now)?;
        pending.pop().map(|Reverse((_, token))| TimerToken(token))
    }

    /// Waits until the earliest timer has changed. A change before the call is not missed.
    pub(super) async fn wait_for_change(&self) {
        self.changed.notified().await;
    }
}
