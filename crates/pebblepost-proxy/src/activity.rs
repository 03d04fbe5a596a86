//! Activity of one client's connection, so that a single timer can bound how long the connection is
//! idle and how long the head of a request takes.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// What a connection is doing.
#[derive(Clone, Copy, Debug)]
enum ActivityState {
    /// No request since then.
    Idle(Instant),
    /// The first bytes of a head came then.
    ReadingHead(Instant),
    /// A request is being read or answered.
    InRequest,
}

/// Activity of a connection; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionActivity(Rc<Cell<ActivityState>>);

impl ConnectionActivity {
    /// A connection that was just accepted.
    pub(crate) fn new() -> ConnectionActivity {
        ConnectionActivity(Rc::new(Cell::new(ActivityState::Idle(Instant::now()))))
    }

    /// Notes that a head is complete.
    pub(crate) fn mark_request_started(&self) {
        self.0.set(ActivityState::InRequest);
    }

    /// Notes that the response is complete, or given up.
    pub(crate) fn mark_request_ended(&self) {
        self.0.set(ActivityState::Idle(Instant::now()));
    }

    /// Notes that bytes arrived.
    pub(crate) fn mark_bytes_read(&self) {
        if let ActivityState::Idle(_) = self.0.get() {
            self.0.set(ActivityState::ReadingHead(Instant::now()));
        }
    }

    /// When a head that has begun must be complete.
    pub(crate) fn head_deadline(&self, header_timeout: Duration) -> Option<Instant> {
        match self.0.get() {
            ActivityState::ReadingHead(since) => Some(since + header_timeout),
            ActivityState::Idle(_) | ActivityState::InRequest => None,
        }
    }

    /// When the connection is to be closed if its state stays; `None` during a request.
    pub(crate) fn close_deadline(&self, header_timeout: Duration, idle_timeout: Duration) -> Option<Instant> {
        match self.0.get() {
            ActivityState::Idle(since) => Some(since + idle_timeout),
            ActivityState::ReadingHead(since) => Some(since + header_timeout),
            ActivityState::InRequest => None,
        }
    }
}
