//! Exponential backoff between the orders to one transcriber.

use std::time::Duration;

/// Bounds of a backoff delay.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BackoffBounds {
    /// Delay after the first failure. Each further failure doubles the delay.
    pub(crate) initial: Duration,
    /// Upper bound on the delay.
    pub(crate) max: Duration,
}

/// Backoff state: the delay after the last failure, or zero after a success.
#[derive(Clone, Debug, Default)]
pub(crate) struct Backoff {
    delay: Duration,
}

impl Backoff {
    /// Records a failure and returns the delay before the next attempt.
    pub(crate) fn next_delay(&mut self, bounds: BackoffBounds) -> Duration {
        self.delay = (self.delay * 2).clamp(bounds.initial, bounds.max);
        self.delay
    }

    /// Records a success: the next failure is followed by the initial delay again.
    pub(crate) fn reset(&mut self) {
        self.delay = Duration::ZERO;
    }
}
