//! The time of a store group: milliseconds that its primary counts and stamps on the entries of the log.
//!
//! Items expire and jobs are deleted by this time. It never runs ahead of real time, so neither happens too
//! early:
//!
//! * The primary's clock runs freely while its term lasts.
//! * Every other replica continues from the newest time stamp that it has applied, even if that is behind its
//!   previous estimate. The primary may have restarted and lost time that the others have counted; the age of
//!   the jobs that it accepts is known only relative to its own stamps.
//! * A replica that restarts continues from the newest time stamp on its disk. The time since then is lost, so
//!   the primary logs a time stamp at intervals ([`TIME_STAMP_INTERVAL`]) while a job may expire.

use std::time::Duration;

/// Maximum age of the newest entry while items are pending, and so the time that a restart of all replicas
/// adds to their expiry.
pub const TIME_STAMP_INTERVAL: Duration = Duration::from_secs(1);
/// The same while jobs are stored of which no item is pending.
pub const IDLE_TIME_STAMP_INTERVAL: Duration = Duration::from_secs(10);

/// A replica's local estimate of its store group's time.
#[derive(Clone, Copy, Debug, Default)]
pub struct GroupClock {
    stamp_ms: u64,
    /// Local time from which on the clock counts from `stamp_ms`.
    stamped_at: Duration,
}

impl GroupClock {
    /// Creates a clock that continues from a time stamp at the local time `now`.
    pub fn new(now: Duration, stamp_ms: u64) -> GroupClock {
        GroupClock { stamp_ms, stamped_at: now }
    }

    /// Returns the store group's time at the local time `now`.
    pub fn now_ms(&self, now: Duration) -> u64 {
        let elapsed = now.saturating_sub(self.stamped_at);
        self.stamp_ms.saturating_add(whole_millis(elapsed))
    }
}

/// Converts a duration to whole milliseconds, saturating at `u64::MAX`.
pub(crate) fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
