//! Exponential backoff with jitter between connection attempts.

use super::random;
use std::time::Duration;

const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_millis(400);

/// Backoff of one client.
pub(super) struct Backoff {
    delay: Duration,
}

impl Backoff {
    /// Backoff before the first attempt.
    pub(super) fn new() -> Backoff {
        Backoff { delay: INITIAL_BACKOFF }
    }

    /// Starts over after a success.
    pub(super) fn reset(&mut self) {
        self.delay = INITIAL_BACKOFF;
    }

    /// The delay before the next attempt, with jitter. Each one is twice as long as the one before, up to a limit.
    pub(super) fn next_delay(&mut self) -> Duration {
        let delay = with_jitter(self.delay);
        self.delay = (self.delay * 2).min(MAX_BACKOFF);
        delay
    }
}

/// A random time between half the delay and all of it.
fn with_jitter(delay: Duration) -> Duration {
    const STEPS: u32 = 1024;
    let step = u32::try_from(random::next_u64() % u64::from(STEPS)).unwrap_or(0);
    delay / 2 + delay / 2 * step / STEPS
}
