//! A signal that the feed, a store link or a lease has changed.
//!
//! Owns the waiters; carries no data. Who wakes up looks at the state again.

use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Wakes everyone who waits for a change.
#[derive(Debug, Default)]
pub(crate) struct ChangeSignal {
    waiters: Notify,
}

impl ChangeSignal {
    /// Wakes all who wait now.
    pub(crate) fn notify(&self) {
        self.waiters.notify_waiters();
    }

    /// Waits for the next change, or until the limit has passed.
    pub(crate) async fn wait(&self, limit: Duration) {
        // The caller looks again whichever it was.
        let _ = timeout(limit, self.waiters.notified()).await;
    }
}
