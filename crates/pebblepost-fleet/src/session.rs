//! The time to live of sessions, as both of its sides measure it.
//!
//! The member gives up first: it counts from *before* it sent a heartbeat and takes off a margin for clocks
//! that run at different rates; the leader counts from *after* it received the heartbeat and adds the margin.

use std::time::Duration;

/// The clocks of two machines differ in rate by at most this fraction.
pub const MAX_CLOCK_RATE_ERROR: f64 = 0.05;

/// How long a session lasts without a heartbeat, before the margin of either side.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SessionTtl(pub Duration);

impl SessionTtl {
    /// How long after it sent an acknowledged heartbeat a member may rely on its session.
    pub fn for_member(self) -> Duration {
        self.0.mul_f64(1.0 - MAX_CLOCK_RATE_ERROR)
    }

    /// How long after it received a heartbeat the leader keeps a session.
    pub fn for_leader(self) -> Duration {
        self.0.mul_f64(1.0 + MAX_CLOCK_RATE_ERROR)
    }
}
