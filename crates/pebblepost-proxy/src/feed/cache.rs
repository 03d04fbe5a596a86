//! What the feed has delivered so far: configuration, instances, store groups.

use pebblepost_configuration::{Configuration, Limits};
use pebblepost_feed::{FeedChanges, FeedState};
use pebblepost_messages::feed::FeedUpdate;
use std::cell::{Cell, Ref, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;

/// Limits of clients before the first configuration, which may allow much: they reject nothing as
/// too large that a configuration would allow. The memory budget bounds the bodies.
const DEFAULT_LIMITS: Limits = Limits {
    max_header_bytes: 64 * 1024,
    max_body_bytes: usize::MAX,
    header_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};

/// The state of the feed, shared with the batch runner.
#[derive(Debug, Default)]
pub(crate) struct FeedCache {
    state: Rc<RefCell<FeedState>>,
    received: Cell<bool>,
    changed: Notify,
}

impl FeedCache {
    /// The state, for the batch runner to read.
    pub(crate) fn shared_state(&self) -> Rc<RefCell<FeedState>> {
        self.state.clone()
    }

    /// The state.
    pub(super) fn state(&self) -> Ref<'_, FeedState> {
        self.state.borrow()
    }

    /// Folds an update into the state.
    pub(super) fn apply(&self, update: &FeedUpdate) -> FeedChanges {
        self.state.borrow_mut().apply(update)
    }

    /// Notes that a batch of updates was received.
    pub(super) fn set_received(&self) {
        self.received.set(true);
    }

    /// Wakes those that wait for a configuration.
    pub(super) fn notify_changed(&self) {
        self.changed.notify_waiters();
    }

    /// The configuration in force.
    pub(crate) fn configuration(&self) -> Option<Arc<Configuration>> {
        self.state.borrow().configuration().cloned()
    }

    /// The configuration in force, as soon as there is one; `None` if there is none after `timeout`.
    pub(crate) async fn wait_for_configuration(&self, timeout: Duration) -> Option<Arc<Configuration>> {
        let configured = async {
            loop {
                let changed = self.changed.notified();
                if let Some(configuration) = self.configuration() {
                    return configuration;
                }
                changed.await;
            }
        };
        tokio::time::timeout(timeout, configured).await.ok()
    }

    /// Limits of clients.
    pub(crate) fn limits(&self) -> Limits {
        self.state.borrow().configuration().map_or(DEFAULT_LIMITS, |configuration| configuration.limits())
    }

    /// Whether the proxy knows all that it needs to serve.
    pub(crate) fn is_complete(&self) -> bool {
        self.received.get() && self.state.borrow().configuration().is_some()
    }
}
