//! The way of the process from its start to its end.

use std::cell::Cell;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Where the process stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Serves.
    Serving,
    /// Is not ready any more, but serves what still arrives; connections close after each answer.
    Leaving,
    /// Accepts nothing new and finishes what it has.
    Closing,
}

/// The phase, and who waits for it.
#[derive(Debug)]
pub(crate) struct Lifecycle {
    phase: Cell<Phase>,
    /// Requests must have their answer by then.
    end: Cell<Option<Instant>>,
    changed: Notify,
}

impl Lifecycle {
    /// A process that serves.
    pub(crate) fn new() -> Lifecycle {
        Lifecycle { phase: Cell::new(Phase::Serving), end: Cell::new(None), changed: Notify::new() }
    }

    /// The phase.
    pub(crate) fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// SIGTERM: every request is to be answered by `end`.
    pub(crate) fn leave(&self, end: Instant) {
        self.end.set(Some(end));
        self.advance(Phase::Leaving);
    }

    /// Nothing new is accepted any more.
    pub(crate) fn close(&self) {
        self.advance(Phase::Closing);
    }

    fn advance(&self, phase: Phase) {
        if phase > self.phase.get() {
            self.phase.set(phase);
            self.changed.notify_waiters();
        }
    }

    /// By when requests must have their answer, once the process leaves.
    pub(crate) fn end(&self) -> Option<Instant> {
        self.end.get()
    }

    /// Waits until nothing new is accepted.
    pub(crate) async fn closing(&self) {
        loop {
            let changed = self.changed.notified();
            if self.phase.get() >= Phase::Closing {
                return;
            }
            changed.await;
        }
    }
}
