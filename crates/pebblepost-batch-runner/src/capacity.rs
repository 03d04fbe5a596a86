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
/// Work is requested only if the available capacity is at least the limit of texts divided by this number.
const MIN_REQUEST_LIMIT_DIVISOR: u32 = 8;
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
        texts.min(self.available_items(text_limit))
    }

    fn available_items(&self, text_limit: u32) -> u32 {
        text_limit.saturating_mul(ITEM_LIMIT_MULTIPLIER).saturating_sub(self.items_in_flight.get())
    }

    /// Returns whether the limit of items leaves too few places for a request for work.
    pub(crate) fn is_item_limit_reached(&self) -> bool {
        let text_limit = self.text_limit();
        self.available_items(text_limit) < min_requested_items(text_limit)
    }

    /// Counts an item as in flight. Leased items are always admitted: the limit applies when work is requested.
    pub(crate) fn admit(self: &Rc<Self>) -> CapacityPermit {
        let permit = CapacityPermit { capacity: self.clone(), is_text: true, is_suspended: Cell::new(true) };
        permit.resume();
        permit
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

/// Returns the smallest number of items that is requested under a limit of texts.
pub(crate) fn min_requested_items(text_limit: u32) -> u32 {
    (text_limit / MIN_REQUEST_LIMIT_DIVISOR).max(1)
}

/// Returns whether a batch job route sends requests to the service.
fn serves_batch_jobs(configuration: &Configuration, service: &str) -> bool {
    configuration.routes().iter().any(|route| {
        route.kind == RouteKind::Rollout
            && route.backends.iter().any(|(name, weight)| name == service && *weight > 0)
    })
}

/// Permit of an item in flight. The item is counted until the permit is dropped, except while it is suspended.
pub(crate) struct CapacityPermit {
    capacity: Rc<Capacity>,
    /// Whether the text of the item is incomplete.
    is_text: bool,
    is_suspended: Cell<bool>,
}

impl CapacityPermit {
    /// Stops counting the item as a text in flight, because its text is complete. Another text may start.
    pub(crate) fn release_text(&mut self) {
        let is_counted = self.is_text && !self.is_suspended.get();
        self.is_text = false;
        if is_counted {
            decrement(&self.capacity.texts_in_flight);
            self.capacity.wake();
        }
    }

    /// Stops counting the item while it cannot be sent, so that another item may take its place.
    pub(crate) fn suspend(&self) {
        if self.is_suspended.replace(true) {
            return;
        }
        if self.is_text {
            decrement(&self.capacity.texts_in_flight);
        }
        decrement(&self.capacity.items_in_flight);
        self.capacity.wake();
    }

    /// Counts the item again. Leased items are always admitted, so the limit may be exceeded for a while.
    pub(crate) fn resume(&self) {
        if !self.is_suspended.replace(false) {
            return;
        }
        if self.is_text {
            increment(&self.capacity.texts_in_flight);
        }
        increment(&self.capacity.items_in_flight);
    }
}

impl Drop for CapacityPermit {
    fn drop(&mut self) {
        self.suspend();
    }
}

fn increment(count: &Cell<u32>) {
    count.set(count.get().saturating_add(1));
}

fn decrement(count: &Cell<u32>) {
    count.set(count.get().saturating_sub(1));
}
