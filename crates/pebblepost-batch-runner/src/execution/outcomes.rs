//! Reports outcomes of items: releases the items from the lease table and adds the outcomes to the outbox.

use crate::lease_table::{LeaseKey, LeaseTable, ReleasedItem};
use crate::store::outbox::{LeasedOutcome, Outbox, OutcomeKey};
use pebblepost_messages::batch::{ItemOutcome, ItemResult};
use std::cell::RefCell;
use std::rc::Rc;

/// Reports outcomes of items. An item that is no longer in flight is not reported.
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

    /// Returns an unfinished item that has already been released.
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

    /// Drops an item whose lease has ended, without reporting it.
    pub(crate) fn abandon(&self, key: LeaseKey, item: &str) {
        self.release(key, item);
    }

    fn release(&self, key: LeaseKey, item: &str) -> Option<ReleasedItem> {
        self.leases.borrow_mut().release(key, item)
    }
}
