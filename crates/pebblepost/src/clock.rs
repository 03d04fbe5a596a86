//! The daemon's monotonic clock, which counts from the Unix epoch.
//!
//! The event loop reads the time only here. The clock never steps back, even if the system clock is changed.

use pebblepost_dispatch::api::Time;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock that starts at the Unix time at which it is created.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
    started_unix_ns: u64,
}

impl Default for Clock {
    fn default() -> Self {
        Self { started_at: Instant::now(), started_unix_ns: unix_ns() }
    }
}

impl Clock {
    /// Returns the current time in the time base of the decision module.
    pub fn now(&self) -> Time {
        Time(self.started_unix_ns) + self.started_at.elapsed()
    }

    /// Converts a Unix time in milliseconds to the time base of the decision module. A time in the future becomes the current
    /// time.
    ///
    /// The age is computed with the system clock, so a step of that clock since the start does not shift the result.
    pub fn from_unix_ms(&self, unix_ms: u64) -> Time {
        let age = Duration::from_nanos(unix_ns().saturating_sub(unix_ms.saturating_mul(1_000_000)));
        self.now() - age
    }
}

/// Returns the Unix time of the system clock in nanoseconds; 0 if it is before the epoch.
fn unix_ns() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_nanos()).unwrap_or(u64::MAX)
}
