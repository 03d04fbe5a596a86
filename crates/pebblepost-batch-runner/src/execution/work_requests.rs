//! Requests items from the stores while there is capacity for them.

use crate::capacity::Capacity;
use crate::shutdown::ShutdownFlag;
use crate::store::links::StoreLinks;
use pebblepost_messages::batch::ToStore;
use std::rc::Rc;

/// Work is requested only if the available capacity is at least the limit of texts divided by this number.
const MIN_REQUEST_LIMIT_DIVISOR: u32 = 8;

/// Requests work from the stores.
pub(crate) struct WorkRequester {
    pub(crate) links: Rc<StoreLinks>,
    pub(crate) capacity: Rc<Capacity>,
    pub(crate) shutdown: Rc<ShutdownFlag>,
}

impl WorkRequester {
    /// Requests work whenever the capacity or the available work may have changed. Never returns.
    pub(crate) async fn run(self) {
        loop {
            self.capacity.changed().await;
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
            let requested: u32 = self.links.all().iter().map(|link| link.requested_items.get()).sum();
            let available = self.capacity.available(text_limit).saturating_sub(requested);
            if available < (text_limit / MIN_REQUEST_LIMIT_DIVISOR).max(1) {
                return;
            }
            if !link.may_have_work.get() || link.requested_items.get() > 0 {
                continue;
            }
            if link.send(&ToStore::RequestWork { max_items: available }) {
                link.requested_items.set(available);
            }
        }
    }
}
