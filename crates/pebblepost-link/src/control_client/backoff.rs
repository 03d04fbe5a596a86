//! Exponential backoff with jitter between connection attempts.

use super::random;
use std::time::Duration;

const RECONNECT_BACKOFF_INITIAL: Duration = Duration::from_millis(50);
const RECONNECT_BACKOFF_MAX: Duration = Duration::from_millis(400);

/// Backoff between the connection attempts of one client.
pub(super) struct Backoff {
    delay: Duration,
}

impl Backoff {
    pub(super) fn new() -> Backoff {
        Backoff { delay: RECONNECT_BACKOFF_INITIAL }
    }

    /// Returns to the initial delay, after a successful connection.
    pub(super) fn reset(&mut self) {
        self.delay = RECONNECT_BACKOFF_INITIAL;
    }

    /// Returns the delay before the next attempt, with jitter. The delay without jitter doubles with each call, up to
    /// `RECONNECT_BACKOFF_MAX`.
    pub(super) fn next_delay(&mut self) -> Duration {
        let delay = with_jitter(self.delay);
        self.delay = (self.delay * 2).min(RECONNECT_BACKOFF_MAX);
        delay
    }
}

/// Returns a random duration between half the delay and the whole delay.
fn with_jitter(delay: Duration) -> Duration {
    const JITTER_STEPS: u32 = 1024;
    let step = u32::try_from(random::next_u64() % u64::from(JITTER_STEPS)).unwrap_or(0);
    delay / 2 + delay / 2 * step / JITTER_STEPS
}
