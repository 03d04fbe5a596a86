//! How many items this proxy executes at a time: its share of the transcribers' slots, and a few more.
//!
//! Owns the counts of items in flight and the wake-up of the task that requests work. Requests nothing itself.

use crate::feed_view::FeedView;
use pebblepost_configuration::{Configuration, RouteKind};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Texts in flight at most, in percent of this proxy's share of the slots.
const TEXTS_PERCENT: u64 = 115;
/// The limit of texts in flight is at least this, where there is any slot.
const MIN_TEXT_LIMIT: u32 = 4;
/// Items in flight at most, those with a complete text that await their score included, as a multiple of the limit
/// of texts.
const ITEMS_PER_TEXT: u32 = 4;
/// How long a computed limit is used, unless the feed changes.
const LIMIT_REUSE: Duration = Duration::from_secs(1);

/// A limit with the time of its computation.
#[derive(Clone, Copy, Debug)]
struct CachedLimit {
    computed_at: Instant,
    texts: u32,
}

/// Limits and counts the items in flight.
pub(crate) struct Capacity {
    feed: FeedView,
    /// Items in flight whose text is incomplete.
    texts: Cell<u32>,
    /// All items in flight.
    items: Cell<u32>,
    cached_limit: Cell<Option<CachedLimit>>,
    changed: Notify,
}

impl Capacity {
    pub(crate) fn new(feed: FeedView) -> Capacity {
        Capacity {
            feed,
            texts: Cell::default(),
            items: Cell::default(),
            cached_limit: Cell::default(),
            changed: Notify::new(),
        }
    }

    /// Wakes the task that requests work.
    pub(crate) fn wake(&self) {
        self.changed.notify_one();
    }

    /// Waits until the capacity, or the work at the stores, may have changed.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// The slots or the number of proxies may have changed.
    pub(crate) fn feed_changed(&self) {
        self.cached_limit.set(None);
        self.wake();
    }

    /// Texts that may be in flight; computed anew once in [`LIMIT_REUSE`].
    pub(crate) fn text_limit(&self) -> u32 {
        let now = Instant::now();
        match self.cached_limit.get() {
            Some(limit) if now < limit.computed_at + LIMIT_REUSE => limit.texts,
            _ => {
                let texts = self.compute_text_limit();
                self.cached_limit.set(Some(CachedLimit { computed_at: now, texts }));
                texts
            }
        }
    }

    /// How many more items may be taken under this limit of texts.
    pub(crate) fn free(&self, text_limit: u32) -> u32 {
        let texts = text_limit.saturating_sub(self.texts.get());
        let items = text_limit.saturating_mul(ITEMS_PER_TEXT).saturating_sub(self.items.get());
        texts.min(items)
    }

    /// Counts an item in flight. Items that were leased are always admitted: the limit applies when they are
    /// requested.
    pub(crate) fn admit(self: &Rc<Self>) -> CapacityPermit {
        self.texts.set(self.texts.get() + 1);
        self.items.set(self.items.get() + 1);
        CapacityPermit { capacity: self.clone(), counts_as_text: true }
    }

    fn compute_text_limit(&self) -> u32 {
        let Some(configuration) = self.feed.configuration() else { return 0 };
        let share =
            self.feed.fair_share_of_slots(TEXTS_PERCENT, |service| runs_items(&configuration, service));
        if share == 0 {
            return 0;
        }
        share.max(MIN_TEXT_LIMIT)
    }
}

/// Whether a route of batch jobs names the service.
fn runs_items(configuration: &Configuration, service: &str) -> bool {
    configuration.routes().iter().any(|route| {
        route.kind == RouteKind::Rollout
            && route.backends.iter().any(|(name, weight)| name == service && *weight > 0)
    })
}

/// An item in flight; counted until it is dropped.
pub(crate) struct CapacityPermit {
    capacity: Rc<Capacity>,
    counts_as_text: bool,
}

impl CapacityPermit {
    /// The text of the item is complete: another may start.
    pub(crate) fn release_text(&mut self) {
        if self.counts_as_text {
            self.counts_as_text = false;
            let texts = &self.capacity.texts;
            texts.set(texts.get().saturating_sub(1));
            self.capacity.wake();
        }
    }
}

impl Drop for CapacityPermit {
    fn drop(&mut self) {
        self.release_text();
        let items = &self.capacity.items;
        items.set(items.get().saturating_sub(1));
        self.capacity.wake();
    }
}
