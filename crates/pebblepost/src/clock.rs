//! The daemon's clock: monotonic, counted from the Unix epoch.
//!
//! It is the only place that reads the system's time for the event loop and never steps back, whatever is done to the
//! system's clock.

use pebblepost_dispatch::api::Time;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Monotonic time that starts at the Unix time of the program's start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    started_unix_ns: u64,
}

impl Default for Clock {
    fn default() -> Self {
        Self { started: Instant::now(), started_unix_ns: unix_ns() }
    }
}

impl Clock {
    /// The present time, on the clock of the decision module.
    pub fn now(&self) -> Time {
        Time(self.started_unix_ns) + self.started.elapsed()
    }

    /// Converts a Unix time in milliseconds to the clock of the decision module. The result is never in the future.
    ///
    /// The age is taken from the system's clock, so a step of that clock since the start does not shift the result.
    pub fn from_unix_ms(&self, unix_ms: u64) -> Time {
        let age = Duration::from_nanos(unix_ns().saturating_sub(unix_ms.saturating_mul(1_000_000)));
        self.now() - age
    }
}

fn unix_ns() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_nanos()).unwrap_or(u64::MAX)
}
