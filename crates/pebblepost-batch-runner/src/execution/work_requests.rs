//! Requests items from the stores while there is capacity for them.

use crate::capacity::{Capacity, min_requested_items};
use crate::execution::blocked_items::BlockedItems;
use crate::shutdown::ShutdownFlag;
use crate::store::link::MAX_ANSWER_WAIT;
use crate::store::links::StoreLinks;
use pebblepost_messages::batch::ToStore;
use std::rc::Rc;
use tokio::time::timeout;

/// Requests work from the stores.
pub(crate) struct WorkRequester {
    pub(crate) links: Rc<StoreLinks>,
    pub(crate) capacity: Rc<Capacity>,
    pub(crate) blocked: Rc<BlockedItems>,
    pub(crate) shutdown: Rc<ShutdownFlag>,
}

impl WorkRequester {
    /// Requests work whenever the capacity or the available work may have changed. Never returns.
    pub(crate) async fn run(self) {
        loop {
            // Places that were kept for a silent store become available without a change.
            let _ = timeout(MAX_ANSWER_WAIT, self.capacity.changed()).await;
            self.request_work();
        }
    }

    /// Requests as many items as there is capacity for, from one store after the other that may have work.
    fn request_work(&self) {
        if self.shutdown.is_set() || self.links.all().iter().all(|link| !link.may_have_work.get()) {
            return;
        }
        let text_limit = self.capacity.text_limit();
        for link in self.links.rotated() {
            let expected: u32 = self.links.all().iter().map(|link| link.expected_items()).sum();
            let available = self.capacity.available(text_limit).saturating_sub(expected);
            if available < min_requested_items(text_limit) {
                return;
            }
            if !link.may_have_work.get() || link.has_requested_work() {
                continue;
            }
            if link.send(&self.request(available)) {
                link.record_work_request(available, self.blocked.releases());
            }
        }
    }

    fn request(&self, max_items: u32) -> ToStore {
        let unsendable = self.blocked.unsendable();
        match unsendable.is_empty() {
            // Stores of earlier builds know only this request.
            true => ToStore::RequestWork { max_items },
            false => ToStore::RequestSendableWork { max_items, unsendable },
        }
    }
}
