//! Signal that the feed, a store link or a lease has changed.
//!
//! The signal carries no data: a waiter that is woken checks the state again.

use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Wakes all tasks that wait for a change.
#[derive(Debug, Default)]
pub(crate) struct ChangeSignal {
    waiters: Notify,
}

impl ChangeSignal {
    /// Wakes all tasks that wait at this moment. A task that waits later is not woken.
    pub(crate) fn notify(&self) {
        self.waiters.notify_waiters();
    }

    /// Waits for the next change, at most for `limit`.
    pub(crate) async fn wait(&self, limit: Duration) {
        // The caller checks the state again in both cases.
        let _ = timeout(limit, self.waiters.notified()).await;
    }
}
