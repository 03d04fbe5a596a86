//! This machine's term as primary of one group: from the epoch in which it began to the next change.

use super::lease_table::LeaseKey;
use super::takeover::Takeover;

/// Lease numbers start with the epoch in their upper bits, so that no later primary uses them again.
const LEASE_NUMBER_BITS: u32 = 32;

/// The term as primary of one group.
#[derive(Debug)]
pub(super) struct Term {
    pub(super) epoch: u64,
    pub(super) takeover: Takeover,
    next_lease: u64,
}

impl Term {
    pub(super) fn new(epoch: u64, takeover: Takeover) -> Term {
        Term { epoch, takeover, next_lease: (epoch << LEASE_NUMBER_BITS) + 1 }
    }

    /// The key that the next lease of the group gets; it is used up by [`Term::use_lease_key`].
    pub(super) fn next_lease_key(&self, group: u32) -> LeaseKey {
        LeaseKey { group, number: self.next_lease }
    }

    pub(super) fn use_lease_key(&mut self) {
        self.next_lease += 1;
    }
}
