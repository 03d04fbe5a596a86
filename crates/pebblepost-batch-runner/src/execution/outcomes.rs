//! Outcomes of items: out of the lease table and into the outbox.

use crate::lease_table::{LeaseKey, LeaseTable, ReleasedItem};
use crate::store::outbox::{LeasedOutcome, Outbox, OutcomeKey};
use pebblepost_messages::batch::{ItemOutcome, ItemResult};
use std::cell::RefCell;
use std::rc::Rc;

/// Reports what became of items. An item that is not in flight any more is reported by nobody.
pub(crate) struct OutcomeReporter {
    pub(crate) leases: Rc<RefCell<LeaseTable>>,
    pub(crate) outbox: Rc<Outbox>,
}

impl OutcomeReporter {
    /// Reports the result of a finished item.
    pub(crate) fn finish(&self, key: LeaseKey, result: ItemResult) {
        if let Some(ReleasedItem { store_group, job, lease, .. }) = self.release(key, &result.id) {
            let key = OutcomeKey { store_group, job, lease };
            self.outbox.push(LeasedOutcome { key, outcome: ItemOutcome::Finished(result) });
        }
    }

    /// Returns an unfinished item to its store, with its progress.
    pub(crate) fn return_item(&self, key: LeaseKey, item: &str) {
        if let Some(released) = self.release(key, item) {
            self.return_released(released);
        }
    }

    /// Returns an unfinished item that was released before.
    pub(crate) fn return_released(&self, released: ReleasedItem) {
        let ReleasedItem { store_group, job, lease, item, progress } = released;
        let progress = progress.borrow();
        let outcome = ItemOutcome::Returned {
            id: item,
            failed_attempts: progress.failed_attempts,
            failed_scorer_attempts: progress.failed_scorer_attempts,
            partial: progress.partial(),
        };
        self.outbox.push(LeasedOutcome { key: OutcomeKey { store_group, job, lease }, outcome });
    }

    /// Drops an item whose lease has ended, without a report.
    pub(crate) fn abandon(&self, key: LeaseKey, item: &str) {
        self.release(key, item);
    }

    fn release(&self, key: LeaseKey, item: &str) -> Option<ReleasedItem> {
        self.leases.borrow_mut().release(key, item)
    }
}
