//! The time of a group of jobs: milliseconds that never go back, stamped on its log entries.
//!
//! The time stands still while no machine advances it, so it never runs ahead of the real time since a
//! job was accepted: no item is dead-lettered and no job deleted too early.

use std::time::Duration;

/// One machine's estimate of a group's time.
#[derive(Clone, Copy, Debug, Default)]
pub struct GroupClock {
    base_ms: u64,
    anchored_at: Duration,
}

impl GroupClock {
    /// An estimate that starts from the newest time stamp seen.
    pub fn new(now: Duration, stamp_ms: u64) -> GroupClock {
        GroupClock { base_ms: stamp_ms, anchored_at: now }
    }

    /// The group's time at `now`.
    pub fn now_ms(&self, now: Duration) -> u64 {
        let elapsed = now.saturating_sub(self.anchored_at);
        self.base_ms.saturating_add(whole_millis(elapsed))
    }

    /// Catches up with the newest time stamp of the applied entries; one behind the estimate is ignored.
    pub fn observe(&mut self, now: Duration, stamp_ms: u64) {
        if stamp_ms > self.now_ms(now) {
            *self = GroupClock::new(now, stamp_ms);
        }
    }
}

/// Whole milliseconds of a duration, at most `u64::MAX`.
pub(crate) fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
