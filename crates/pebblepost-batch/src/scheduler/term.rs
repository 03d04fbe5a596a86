//! This machine's term as primary of one store group.
//!
//! A term starts with the epoch in which this machine became primary and lasts until it stops being
//! primary; the epoch may advance within a term.

use super::lease_table::LeaseKey;
use super::takeover::Takeover;

/// Number of low bits of a lease number that count leases. The bits above hold the epoch in which the
/// term began, so that no later primary reuses a number.
const LEASE_COUNTER_BITS: u32 = 32;

/// A term as primary of one store group.
#[derive(Debug)]
pub(super) struct Term {
    pub(super) epoch: u64,
    pub(super) takeover: Takeover,
    next_lease: u64,
}

impl Term {
    pub(super) fn new(epoch: u64, takeover: Takeover) -> Term {
        Term { epoch, takeover, next_lease: (epoch << LEASE_COUNTER_BITS) + 1 }
    }

    /// Returns the key of the next lease. It stays the same until [`Term::consume_lease_key`] is called.
    pub(super) fn next_lease_key(&self, store_group: u32) -> LeaseKey {
        LeaseKey { store_group, number: self.next_lease }
    }

    pub(super) fn consume_lease_key(&mut self) {
        self.next_lease += 1;
    }
}
