//! The clocks of this process. With the feature `faults`, environment variables change their rate or offset,
//! so that tests can show what depends on them. Without it they are the machine's clocks.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[cfg(feature = "faults")]
fn read_variable(name: &str) -> Option<f64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Returns the time since `moment` on the monotonic clock, which measures the sessions.
///
/// With the feature `faults`, `PEBBLEPOST_FAULT_CLOCK_RATE` scales the result.
pub fn elapsed_since(moment: Instant) -> Duration {
    let elapsed = moment.elapsed();
    #[cfg(feature = "faults")]
    if let Some(rate) = read_variable("PEBBLEPOST_FAULT_CLOCK_RATE") {
        return elapsed.mul_f64(rate.clamp(0.01, 100.0));
    }
    elapsed
}

/// Returns the time of the wall clock as Unix time in milliseconds. It is for display only, and no decision
/// depends on it.
///
/// With the feature `faults`, `PEBBLEPOST_FAULT_CLOCK_JUMP_S` is added to the result.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    #[cfg(feature = "faults")]
    let now = match read_variable("PEBBLEPOST_FAULT_CLOCK_JUMP_S") {
        Some(jump) if jump >= 0.0 => now.saturating_add(Duration::from_secs_f64(jump)),
        Some(jump) => now.saturating_sub(Duration::from_secs_f64(-jump)),
        None => now,
    };
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}
