//! Outcomes of items of one lease.

use pebblepost_batch::scheduler::LeaseReference;
use pebblepost_messages::batch::ItemOutcome;

/// Outcomes of items of one lease, as reported by a proxy.
#[derive(Debug)]
pub(crate) struct LeaseOutcomes {
    pub(crate) lease: LeaseReference,
    pub(crate) group_id: u32,
    pub(crate) job: String,
    pub(crate) outcomes: Vec<ItemOutcome>,
}
