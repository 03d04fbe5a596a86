//! The lease on the singleton role of sending load orders to transcribers.
//!
//! The replicated state names the last holder. A primary becomes holder by a command, and only once the orders of
//! another holder can have no effect any more. Orders carry the epoch as fencing token, so transcribers reject those of
//! a former holder.

use crate::state::ControlState;
use crate::state::command::Command;
use pebblepost_messages::DiskId;
use std::time::Duration;

/// Added to the lease of another holder before it counts as expired.
const EXPIRY_MARGIN: Duration = Duration::from_millis(300);
/// Time allowed for the commit of the command by which a primary becomes holder.
const COMMIT_ALLOWANCE: Duration = Duration::from_millis(100);

/// This primary's part in the lease.
#[derive(Debug)]
pub(super) struct OrderLease {
    me: DiskId,
    /// When the lease of another holder has expired.
    acquire_at: Duration,
    is_proposed: bool,
}

impl OrderLease {
    /// For a process that has just become primary. `duration` is the time for which orders have an effect.
    pub(super) fn new(now: Duration, me: DiskId, state: &ControlState, duration: Duration) -> OrderLease {
        let holder = state.order_lease_holder();
        let is_held_by_other = holder != DiskId::default() && holder != me;
        let wait = if is_held_by_other { duration + EXPIRY_MARGIN } else { Duration::ZERO };
        OrderLease { me, acquire_at: now + wait, is_proposed: false }
    }

    /// Whether this primary is the holder.
    pub(super) fn is_held(&self, state: &ControlState) -> bool {
        state.order_lease_holder() == self.me
    }

    /// When this primary is expected to be the holder.
    pub(super) fn expected_at(&self, now: Duration, state: &ControlState) -> Duration {
        if self.is_held(state) { now } else { self.acquire_at + COMMIT_ALLOWANCE }
    }

    /// The command to become holder, once that is allowed and not proposed yet.
    pub(super) fn acquisition(&self, now: Duration, state: &ControlState) -> Option<Command> {
        let is_due = !self.is_held(state) && !self.is_proposed && now >= self.acquire_at;
        is_due.then_some(Command::AcquireOrderLease { holder: self.me })
    }

    /// The command to become holder was proposed.
    pub(super) fn proposed(&mut self) {
        self.is_proposed = true;
    }
}
