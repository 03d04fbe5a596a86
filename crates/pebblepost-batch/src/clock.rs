//! The time of a store group: a monotonic count of milliseconds that is stamped on its log entries.
//!
//! The time does not advance while no machine advances it. Time stamps therefore never run ahead of the
//! real time since a job was accepted, so no item is dead-lettered and no job is deleted too early.

use std::time::Duration;

/// A machine's local estimate of a store group's time.
#[derive(Clone, Copy, Debug, Default)]
pub struct GroupClock {
    observed_ms: u64,
    /// Local time at which `observed_ms` was current.
    observed_at: Duration,
}

impl GroupClock {
    /// Creates an estimate that continues from the newest observed time stamp.
    pub fn new(now: Duration, stamp_ms: u64) -> GroupClock {
        GroupClock { observed_ms: stamp_ms, observed_at: now }
    }

    /// Returns the store group's time at the local time `now`.
    pub fn now_ms(&self, now: Duration) -> u64 {
        let elapsed = now.saturating_sub(self.observed_at);
        self.observed_ms.saturating_add(whole_millis(elapsed))
    }

    /// Advances the estimate to the newest time stamp of the applied entries.
    ///
    /// A time stamp that is not ahead of the estimate is ignored, so the time never goes back.
    pub fn observe(&mut self, now: Duration, stamp_ms: u64) {
        if stamp_ms > self.now_ms(now) {
            *self = GroupClock::new(now, stamp_ms);
        }
    }
}

/// Converts a duration to whole milliseconds, saturating at `u64::MAX`.
pub(crate) fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
