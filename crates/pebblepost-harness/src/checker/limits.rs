//! The limits that the rules are checked with.

/// The limits that the rules are checked with.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Tolerance for the inaccuracy of all measured times, in seconds.
    pub tolerance_s: f64,
    /// Maximum number of attempts at workers for each attempt of a client.
    pub max_attempts: usize,
    /// Time, in seconds, for which workers drop a repeat of an idempotency key, counted from the first attempt that may have run.
    /// A later repeat may run the job twice.
    pub idempotency_window_s: f64,
    /// Grace period after the notification of a drain in which attempts may still be sent to the worker, in seconds.
    pub drain_grace_s: f64,
    /// Time after a change, in seconds, from which every dispatcher counts as notified, whether or not the update arrived.
    pub assumed_notified_after_s: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            tolerance_s: 0.05,
            max_attempts: 3,
            idempotency_window_s: 10.0,
            drain_grace_s: 0.5,
            assumed_notified_after_s: 6.0,
        }
    }
}
