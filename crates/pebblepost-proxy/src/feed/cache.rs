//! State that the feed has delivered so far: configuration, instances, store groups.

use pebblepost_configuration::{Configuration, Limits};
use pebblepost_feed::{FeedChanges, FeedState};
use pebblepost_messages::feed::FeedUpdate;
use std::cell::{Cell, Ref, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

/// Limits for client connections before the first configuration. They are wide, so that no request is
/// rejected as too large that the configuration would allow. The memory budget still bounds the bodies.
const DEFAULT_LIMITS: Limits = Limits {
    max_header_bytes: 64 * 1024,
    max_body_bytes: usize::MAX,
    header_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};

/// State of the feed, shared with the batch runner.
#[derive(Debug, Default)]
pub(crate) struct FeedCache {
    state: Rc<RefCell<FeedState>>,
    /// A batch of updates has been received.
    received: Cell<bool>,
    changed: Notify,
    limits_changed: Notify,
}

impl FeedCache {
    /// Returns the shared state, which the batch runner reads.
    pub(crate) fn shared_state(&self) -> Rc<RefCell<FeedState>> {
        self.state.clone()
    }

    /// Borrows the state. The borrow must not be held across an update.
    pub(super) fn state(&self) -> Ref<'_, FeedState> {
        self.state.borrow()
    }

    /// Applies an update to the state and returns what it changed.
    pub(super) fn apply(&self, update: &FeedUpdate) -> FeedChanges {
        let limits_before = self.configured_limits();
        let changes = self.state.borrow_mut().apply(update);
        if self.configured_limits() != limits_before {
            self.limits_changed.notify_waiters();
        }
        changes
    }

    /// Records that a batch of updates was received.
    pub(super) fn set_received(&self) {
        self.received.set(true);
    }

    /// Wakes the tasks that wait for a configuration.
    pub(super) fn notify_changed(&self) {
        self.changed.notify_waiters();
    }

    /// Returns the configuration in force; `None` before the first one.
    pub(crate) fn configuration(&self) -> Option<Arc<Configuration>> {
        self.state.borrow().configuration().cloned()
    }

    /// Waits for the first configuration. Returns the configuration in force, or `None` if there is still
    /// none after `timeout`.
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

    /// Returns the limits for client connections.
    pub(crate) fn limits(&self) -> Limits {
        self.configured_limits().unwrap_or(DEFAULT_LIMITS)
    }

    /// Returns the maximum size of a request head; `None` before the first configuration.
    pub(crate) fn max_header_bytes(&self) -> Option<usize> {
        self.configured_limits().map(|limits| limits.max_header_bytes)
    }

    /// Returns the limits of the configuration in force; `None` before the first one.
    fn configured_limits(&self) -> Option<Limits> {
        self.state.borrow().configuration().map(|configuration| configuration.limits())
    }

    /// Returns when the limits for client connections have changed after the call.
    pub(crate) fn wait_for_limits_change(&self) -> Notified<'_> {
        self.limits_changed.notified()
    }

    /// Returns whether a batch and a configuration have been received, so that the proxy can serve.
    pub(crate) fn is_complete(&self) -> bool {
        self.received.get() && self.state.borrow().configuration().is_some()
    }
}
