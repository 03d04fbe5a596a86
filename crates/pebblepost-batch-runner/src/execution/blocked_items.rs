//! Items that this proxy cannot send at present, by job and path.
//!
//! Such items are returned to their store, where other proxies may lease them, and hold no place here. Requests for
//! work leave them out. For each entry a task looks for a transcriber, without an item and without a place, and
//! removes the entry when there is one.

use crate::capacity::Capacity;
use crate::feed_view::FeedView;
use crate::lease_terms::LeaseTerms;
use crate::placement::placer::{PlacementError, Placer};
use crate::placement::requirements::Requirements;
use crate::random::Random;
use crate::store::links::StoreLinks;
use pebblepost_messages::batch::{Scorer, UnsendableItems};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::AbortHandle;
use tokio::time::sleep;

/// Bounds of the random pause between searches for a route.
const MIN_SEARCH_PAUSE: Duration = Duration::from_millis(50);
const MAX_SEARCH_PAUSE: Duration = Duration::from_millis(100);
/// Time for which items stay blocked at least if transcribers have places for them and yet did not complete them.
const MIN_BLOCK_TIME: Duration = Duration::from_secs(1);
/// Maximum size of the entries in a request for work. Items of further entries are leased and returned.
const MAX_REQUEST_BYTES: usize = 64 * 1024;
/// Approximate size of an entry, excluding its texts.
const ENTRY_OVERHEAD_BYTES: usize = 16;

/// The request that could not be sent.
#[derive(Clone, Debug)]
pub(crate) enum BlockedRequest {
    /// The text of an item with this path: no transcriber had a place for it.
    Placement {
        /// Path of the item.
        path: String,
    },
    /// The text of an item with this path: transcribers had places for it and did not execute it.
    Execution {
        /// Path of the item.
        path: String,
    },
    /// The scorer call of a complete text of an item with this path.
    ScorerCall {
        /// Path of the item.
        path: String,
        /// The scorer.
        scorer: Scorer,
    },
}

impl BlockedRequest {
    fn item_path(&self) -> &str {
        match self {
            BlockedRequest::Placement { path }
            | BlockedRequest::Execution { path }
            | BlockedRequest::ScorerCall { path, .. } => path,
        }
    }

    fn requirements<'a>(&'a self, terms: &'a LeaseTerms) -> Requirements<'a> {
        match self {
            BlockedRequest::Placement { path } | BlockedRequest::Execution { path } => {
                Requirements::for_text(terms, path)
            }
            BlockedRequest::ScorerCall { scorer, .. } => Requirements::for_scorer_call(terms, scorer),
        }
    }

    /// Returns why the items are blocked, for the log.
    fn reason(&self) -> &'static str {
        match self {
            BlockedRequest::Placement { .. } => "no_place",
            BlockedRequest::Execution { .. } => "not_executed",
            BlockedRequest::ScorerCall { .. } => "no_score",
        }
    }

    fn min_block_time(&self) -> Duration {
        match self {
            BlockedRequest::Placement { .. } => Duration::ZERO,
            BlockedRequest::Execution { .. } | BlockedRequest::ScorerCall { .. } => MIN_BLOCK_TIME,
        }
    }
}

/// The items that cannot be sent at present, each entry with the task that watches it.
pub(crate) struct BlockedItems {
    pub(crate) feed: FeedView,
    pub(crate) placer: Rc<Placer>,
    pub(crate) links: Rc<StoreLinks>,
    pub(crate) capacity: Rc<Capacity>,
    pub(crate) random: Rc<Random>,
    pub(crate) watches: RefCell<BTreeMap<UnsendableItems, AbortHandle>>,
    pub(crate) releases: Cell<u64>,
}

impl BlockedItems {
    /// Blocks the items of a job that have the same route as the request, until it can be sent.
    pub(crate) fn block(self: &Rc<Self>, terms: &Rc<LeaseTerms>, request: BlockedRequest) {
        let path_prefix = self.path_prefix(&terms.job.hostname, request.item_path());
        let items = UnsendableItems { job: terms.job_id.clone(), path_prefix };
        if self.watches.borrow().contains_key(&items) {
            return;
        }
        let reason = request.reason();
        log::info!("items cannot be sent job={} paths={} reason={reason}", items.job, items.path_prefix);
        let watch = self.clone().watch(items.clone(), terms.clone(), request);
        let task = tokio::task::spawn_local(watch).abort_handle();
        self.watches.borrow_mut().insert(items, task);
    }

    /// Returns whether an item is blocked.
    pub(crate) fn contains(&self, job: &str, path: &str) -> bool {
        self.watches
            .borrow()
            .keys()
            .any(|items| items.job == job && path.starts_with(items.path_prefix.as_str()))
    }

    /// Returns the entries for a request for work.
    pub(crate) fn unsendable(&self) -> Vec<UnsendableItems> {
        let watches = self.watches.borrow();
        let mut bytes = 0;
        let fitting = watches.keys().take_while(|items| {
            bytes += ENTRY_OVERHEAD_BYTES + items.job.len() + items.path_prefix.len();
            bytes <= MAX_REQUEST_BYTES
        });
        fitting.cloned().collect()
    }

    /// Returns the number of entries that were removed because their items can be sent again.
    pub(crate) fn releases(&self) -> u64 {
        self.releases.get()
    }

    /// Removes the entries of cancelled jobs.
    pub(crate) fn cancel(&self, jobs: &[String]) {
        self.remove(|items| jobs.contains(&items.job));
    }

    /// Removes all entries, because a cancellation may have been lost with a link or a primary. Items that still cannot
    /// be sent are leased and blocked again.
    pub(crate) fn clear(&self) {
        self.remove(|_| true);
        self.releases.set(self.releases.get() + 1);
        self.links.expect_work();
    }

    fn remove(&self, is_removed: impl Fn(&UnsendableItems) -> bool) {
        self.watches.borrow_mut().retain(|items, task| {
            let is_removed = is_removed(items);
            if is_removed {
                task.abort();
            }
            !is_removed
        });
    }

    /// Waits until the request can be sent, or its items have expired, and removes the entry.
    async fn watch(self: Rc<Self>, items: UnsendableItems, terms: Rc<LeaseTerms>, request: BlockedRequest) {
        sleep(request.min_block_time()).await;
        let requirements = request.requirements(&terms);
        while let Err(PlacementError::NoRoute(_) | PlacementError::NoPlace) =
            self.placer.place(&requirements, 1, None).await
        {
            sleep(self.random.duration_between(MIN_SEARCH_PAUSE, MAX_SEARCH_PAUSE)).await;
        }
        log::info!("items can be sent again job={} paths={}", items.job, items.path_prefix);
        self.watches.borrow_mut().remove(&items);
        self.releases.set(self.releases.get() + 1);
        self.links.expect_work();
        self.capacity.wake();
    }

    /// Returns the prefix of the route of a path. Without a route it is the path up to its last slash.
    fn path_prefix(&self, hostname: &str, path: &str) -> String {
        let configuration = self.feed.configuration();
        let route = configuration.as_ref().and_then(|configuration| configuration.route(hostname, path));
        let folder = || path.rfind('/').map_or(path, |slash| &path[..=slash]);
        route.map_or_else(folder, |route| route.path_prefix.as_str()).to_owned()
    }
}
