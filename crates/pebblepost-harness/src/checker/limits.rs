//! The limits that the rules set.

/// The limits that the rules set.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Tolerance of all measured times, in seconds.
    pub tolerance_s: f64,
    /// Most attempts at workers for each attempt of a client.
    pub attempts: usize,
    /// Time from the first attempt that may have run in which a repeat of its idempotency key is dropped, in seconds.
    pub idempotency_window_s: f64,
    /// Grace after a drain was announced in which attempts may still be sent there, in seconds.
    pub drain_grace_s: f64,
    /// Every dispatcher counts as notified so long after a change, whether the update arrived or not.
    pub assumed_notified_after_s: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            tolerance_s: 0.05,
            attempts: 3,
            idempotency_window_s: 10.0,
            drain_grace_s: 0.5,
            assumed_notified_after_s: 6.0,
        }
    }
}
