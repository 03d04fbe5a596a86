//! Exponential backoff before a transcriber gets another order.

use std::time::Duration;

/// Bounds of a backoff.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BackoffBounds {
    /// Delay after the first failure; it is doubled with each further one.
    pub(crate) first: Duration,
    /// Limit on the delay.
    pub(crate) max: Duration,
}

/// The delay after the last failure; zero after a success.
#[derive(Clone, Debug, Default)]
pub(crate) struct Backoff {
    delay: Duration,
}

impl Backoff {
    /// The delay after another failure.
    pub(crate) fn next_delay(&mut self, bounds: BackoffBounds) -> Duration {
        self.delay = (self.delay * 2).clamp(bounds.first, bounds.max);
        self.delay
    }

    /// Starts over, after a success.
    pub(crate) fn reset(&mut self) {
        self.delay = Duration::ZERO;
    }
}
