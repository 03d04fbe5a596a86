//! Graceful shutdown: the phase of the process and the deadline of its last responses.
//!
//! State only; [`crate::proxy`] decides when the phases begin.

use std::cell::Cell;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Phase of the process. It only ever advances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    /// Serves.
    Serving,
    /// Not ready any more, but serves what still arrives; connections close after each response.
    Draining,
    /// Accepts nothing new and finishes what is in flight.
    Closing,
}

/// The phase of the process, shared by all of its tasks.
#[derive(Debug)]
pub(crate) struct Shutdown {
    phase: Cell<Phase>,
    /// Requests must have their responses by then.
    response_deadline: Cell<Option<Instant>>,
    phase_changed: Notify,
}

impl Shutdown {
    /// A process that serves.
    pub(crate) fn new() -> Shutdown {
        Shutdown {
            phase: Cell::new(Phase::Serving),
            response_deadline: Cell::new(None),
            phase_changed: Notify::new(),
        }
    }

    /// Whether the shutdown has not begun.
    pub(crate) fn is_serving(&self) -> bool {
        self.phase.get() == Phase::Serving
    }

    /// Begins draining: every request is to have its response by `response_deadline`.
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

    /// When requests must have their responses, once the process drains.
    pub(crate) fn response_deadline(&self) -> Option<Instant> {
        self.response_deadline.get()
    }

    /// Waits until nothing new is accepted.
    pub(crate) async fn closing(&self) {
        loop {
            let changed = self.phase_changed.notified();
            if self.phase.get() >= Phase::Closing {
                return;
            }
            changed.await;
        }
    }
}
