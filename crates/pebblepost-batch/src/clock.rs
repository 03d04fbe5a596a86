//! The time of a group of jobs: milliseconds that only rise, stamped on its entries.
//!
//! The time stands still while no machine estimates it, so it never runs ahead of the true time
//! since a job was taken: nothing is given up or forgotten too early.

use std::time::Duration;

/// One machine's estimate of a group's time.
#[derive(Clone, Copy, Debug, Default)]
pub struct GroupClock {
    base_ms: u64,
    anchored_at: Duration,
}

impl GroupClock {
    /// An estimate that starts from the newest stamp seen.
    pub fn new(now: Duration, stamp_ms: u64) -> GroupClock {
        GroupClock { base_ms: stamp_ms, anchored_at: now }
    }

    /// The group's time now.
    pub fn now_ms(&self, now: Duration) -> u64 {
        let elapsed = now.saturating_sub(self.anchored_at);
        self.base_ms.saturating_add(whole_millis(elapsed))
    }

    /// Takes in the newest stamp of the applied entries; a stamp behind the estimate changes nothing.
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
