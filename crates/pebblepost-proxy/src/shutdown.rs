//! State of the graceful shutdown: the phase of the process and the deadline of its last responses.
//!
//! [`crate::proxy`] decides when each phase begins.

use std::cell::Cell;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Phase of the process. Phases only advance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    /// Normal operation.
    Serving,
    /// Readiness checks fail, but requests that still arrive are served. Each response closes its
    /// connection.
    Draining,
    /// No connection or request is accepted; requests in flight are completed.
    Closing,
}

/// Shutdown state, shared by all tasks of the process.
#[derive(Debug)]
pub(crate) struct Shutdown {
    phase: Cell<Phase>,
    /// Time by which every request must have its response.
    response_deadline: Cell<Option<Instant>>,
    phase_changed: Notify,
}

impl Shutdown {
    /// Creates the state of a process in normal operation.
    pub(crate) fn new() -> Shutdown {
        Shutdown {
            phase: Cell::new(Phase::Serving),
            response_deadline: Cell::new(None),
            phase_changed: Notify::new(),
        }
    }

    /// Returns whether the shutdown has not begun.
    pub(crate) fn is_serving(&self) -> bool {
        self.phase.get() == Phase::Serving
    }

    /// Begins draining. Every request must have its response by `response_deadline`.
    pub(crate) fn begin_draining(&self, response_deadline: Instant) {
        self.response_deadline.set(Some(response_deadline));
        self.advance(Phase::Draining);
    }

    /// Stops accepting connections and requests.
    pub(crate) fn begin_closing(&self) {
        self.advance(Phase::Closing);
    }

    fn advance(&self, phase: Phase) {
        if phase > self.phase.get() {
            self.phase.set(phase);
            self.phase_changed.notify_waiters();
        }
    }

    /// Returns the time by which requests must have their responses; `None` before draining.
    pub(crate) fn response_deadline(&self) -> Option<Instant> {
        self.response_deadline.get()
    }

    /// Waits until the closing phase has begun.
    pub(crate) async fn wait_until_closing(&self) {
        loop {
            let changed = self.phase_changed.notified();
            if self.phase.get() >= Phase::Closing {
                return;
            }
            changed.await;
        }
    }
}
