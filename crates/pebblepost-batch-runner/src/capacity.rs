//! Limits how many items this proxy executes concurrently: its share of the transcribers' slots, plus a small
//! margin.
//!
//! Stores the counts of items in flight and notifies the task that requests work. It does not request work itself.

use crate::feed_view::FeedView;
use pebblepost_configuration::{Configuration, RouteKind};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Limit of texts in flight, in percent of this proxy's share of the slots.
const TEXT_LIMIT_PERCENT_OF_SHARE: u64 = 115;
/// Lower bound of the limit of texts in flight, if there is any slot.
const MIN_TEXT_LIMIT: u32 = 4;
/// Limit of all items in flight, including those whose complete text awaits its score, as a multiple of the limit of
/// texts.
const ITEM_LIMIT_MULTIPLIER: u32 = 4;
/// Time for which a computed limit is cached, unless the feed changes.
const LIMIT_CACHE_TTL: Duration = Duration::from_secs(1);

/// A cached limit with the time at which it was computed.
#[derive(Clone, Copy, Debug)]
struct CachedLimit {
    computed_at: Instant,
    texts: u32,
}

/// Counts and limits the items in flight.
pub(crate) struct Capacity {
    feed: FeedView,
    /// Items in flight whose text is incomplete.
    texts_in_flight: Cell<u32>,
    items_in_flight: Cell<u32>,
    cached_limit: Cell<Option<CachedLimit>>,
    changed: Notify,
}

impl Capacity {
    pub(crate) fn new(feed: FeedView) -> Capacity {
        Capacity {
            feed,
            texts_in_flight: Cell::default(),
            items_in_flight: Cell::default(),
            cached_limit: Cell::default(),
            changed: Notify::new(),
        }
    }

    /// Wakes the task that requests work.
    pub(crate) fn wake(&self) {
        self.changed.notify_one();
    }

    /// Waits until the capacity, or the work available at the stores, may have changed.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Discards the cached limit after a change of the feed: the slots or the number of proxies may have changed.
    pub(crate) fn feed_changed(&self) {
        self.cached_limit.set(None);
        self.wake();
    }

    /// Returns the limit of texts in flight. It is recomputed at most once per [`LIMIT_CACHE_TTL`], and after each
    /// change of the feed.
    pub(crate) fn text_limit(&self) -> u32 {
        let now = Instant::now();
        match self.cached_limit.get() {
            Some(limit) if now < limit.computed_at + LIMIT_CACHE_TTL => limit.texts,
            _ => {
                let texts = self.compute_text_limit();
                self.cached_limit.set(Some(CachedLimit { computed_at: now, texts }));
                texts
            }
        }
    }

    /// Returns how many more items may be taken under this limit of texts.
    pub(crate) fn available(&self, text_limit: u32) -> u32 {
        let texts = text_limit.saturating_sub(self.texts_in_flight.get());
        let items =
            text_limit.saturating_mul(ITEM_LIMIT_MULTIPLIER).saturating_sub(self.items_in_flight.get());
        texts.min(items)
    }

    /// Counts an item as in flight. Leased items are always admitted: the limit applies when work is requested.
    pub(crate) fn admit(self: &Rc<Self>) -> CapacityPermit {
        self.texts_in_flight.set(self.texts_in_flight.get() + 1);
        self.items_in_flight.set(self.items_in_flight.get() + 1);
        CapacityPermit { capacity: self.clone(), counts_as_text: true }
    }

    fn compute_text_limit(&self) -> u32 {
        let Some(configuration) = self.feed.configuration() else { return 0 };
        let share = self.feed.fair_share_of_slots(TEXT_LIMIT_PERCENT_OF_SHARE, |service| {
            serves_batch_jobs(&configuration, service)
        });
        if share == 0 {
            return 0;
        }
        share.max(MIN_TEXT_LIMIT)
    }
}

/// Returns whether a batch job route sends requests to the service.
fn serves_batch_jobs(configuration: &Configuration, service: &str) -> bool {
    configuration.routes().iter().any(|route| {
        route.kind == RouteKind::Rollout
            && route.backends.iter().any(|(name, weight)| name == service && *weight > 0)
    })
}

/// Permit of an item in flight. The item is counted until the permit is dropped.
pub(crate) struct CapacityPermit {
    capacity: Rc<Capacity>,
    counts_as_text: bool,
}

impl CapacityPermit {
    /// Stops counting the item as a text in flight, because its text is complete. Another text may start.
    pub(crate) fn release_text(&mut self) {
        if self.counts_as_text {
            self.counts_as_text = false;
            let texts = &self.capacity.texts_in_flight;
            texts.set(texts.get().saturating_sub(1));
            self.capacity.wake();
        }
    }
}

impl Drop for CapacityPermit {
    fn drop(&mut self) {
        self.release_text();
        let items = &self.capacity.items_in_flight;
        items.set(items.get().saturating_sub(1));
        self.capacity.wake();
    }
}
