//! The lease on the exclusive right to send load orders to transcribers.
//!
//! The replicated state names the last holder. A primary becomes holder by a replicated command, which it proposes only
//! when load orders of the previous holder can no longer take effect. Load orders carry the epoch as fencing token, so
//! transcribers reject those of a former holder.

use crate::state::ControlState;
use crate::state::command::Command;
use pebblepost_messages::DiskId;
use std::time::Duration;

/// Safety margin added to the lease of another holder before it counts as expired.
const LEASE_EXPIRY_MARGIN: Duration = Duration::from_millis(300);
/// Expected time to commit the command by which a primary becomes holder.
const EXPECTED_COMMIT_TIME: Duration = Duration::from_millis(100);

/// State of the lease as seen by the current primary.
#[derive(Debug)]
pub(super) struct OrderLease {
    me: DiskId,
    /// Time from which the lease of another holder counts as expired.
    acquire_at: Duration,
    /// Whether the command to become holder was proposed.
    is_proposed: bool,
}

impl OrderLease {
    /// Creates the lease state of a node that has just become primary. `duration` is the time for which a load order of
    /// a former holder may still take effect.
    pub(super) fn new(now: Duration, me: DiskId, state: &ControlState, duration: Duration) -> OrderLease {
        let holder = state.order_lease_holder();
        let is_held_by_other = holder != DiskId::default() && holder != me;
        let wait = if is_held_by_other { duration + LEASE_EXPIRY_MARGIN } else { Duration::ZERO };
        OrderLease { me, acquire_at: now + wait, is_proposed: false }
    }

    /// Returns whether this primary is the holder.
    pub(super) fn is_held(&self, state: &ControlState) -> bool {
        state.order_lease_holder() == self.me
    }

    /// Returns the time at which this primary is expected to be the holder.
    pub(super) fn expected_holder_at(&self, now: Duration, state: &ControlState) -> Duration {
        if self.is_held(state) { now } else { self.acquire_at + EXPECTED_COMMIT_TIME }
    }

    /// Returns the command to become holder if the previous lease has expired and the command was not proposed yet.
    pub(super) fn due_acquisition(&self, now: Duration, state: &ControlState) -> Option<Command> {
        let is_due = !self.is_held(state) && !self.is_proposed && now >= self.acquire_at;
        is_due.then_some(Command::AcquireOrderLease { holder: self.me })
    }

    /// Records that the command to become holder was proposed.
    pub(super) fn mark_proposed(&mut self) {
        self.is_proposed = true;
    }
}
