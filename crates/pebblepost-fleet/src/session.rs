//! The time to live of sessions, as the member and the leader measure it.
//!
//! A member stops relying on its session before the leader ends it. The member counts from *before* it sent a
//! heartbeat and subtracts a margin for clocks that run at different rates. The leader counts from *after* it
//! received the heartbeat and adds the margin.

use std::time::Duration;

/// Maximum difference in rate between the clocks of two machines, as a fraction.
pub const MAX_CLOCK_RATE_ERROR: f64 = 0.05;

/// Time to live of a session without a heartbeat, before the clock margin of either side is applied.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SessionTtl(pub Duration);

impl SessionTtl {
    /// Returns how long a member may rely on its session after it sent an acknowledged heartbeat.
    pub fn for_member(self) -> Duration {
        self.0.mul_f64(1.0 - MAX_CLOCK_RATE_ERROR)
    }

    /// Returns how long the leader keeps a session after it received a heartbeat.
    pub fn for_leader(self) -> Duration {
        self.0.mul_f64(1.0 + MAX_CLOCK_RATE_ERROR)
    }
}
