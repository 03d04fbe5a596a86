//! This process's clocks. In the build with faults they run at another rate, or have jumped, by the
//! environment, to show what depends on them; in any other build these are the machine's own.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[cfg(feature = "faults")]
fn by_environment(name: &str) -> Option<f64> {
    std::env::var(name).ok()?.parse().ok()
}

/// The time since a moment, on the monotonic clock by which sessions are measured
/// (`PEBBLEPOST_FAULT_CLOCK_RATE`).
pub fn elapsed_since(moment: Instant) -> Duration {
    let elapsed = moment.elapsed();
    #[cfg(feature = "faults")]
    if let Some(rate) = by_environment("PEBBLEPOST_FAULT_CLOCK_RATE") {
        return elapsed.mul_f64(rate.clamp(0.01, 100.0));
    }
    elapsed
}

/// The wall clock, in Unix time in milliseconds (`PEBBLEPOST_FAULT_CLOCK_JUMP_S`). It is shown to people;
/// nothing is decided by it.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    #[cfg(feature = "faults")]
    let now = match by_environment("PEBBLEPOST_FAULT_CLOCK_JUMP_S") {
        Some(jump) if jump >= 0.0 => now.saturating_add(Duration::from_secs_f64(jump)),
        Some(jump) => now.saturating_sub(Duration::from_secs_f64(-jump)),
        None => now,
    };
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}
