//! Activity of one client connection. It lets a single timer bound both the idle time of the connection
//! and the time that a request head takes.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// State of a connection.
#[derive(Clone, Copy, Debug)]
enum ActivityState {
    /// No request is in progress since this time.
    Idle(Instant),
    /// The first bytes of a request head arrived at this time.
    ReadingHead(Instant),
    /// A request body is being read, or a response is in progress.
    InRequest,
}

/// Activity of a connection. Clones share the state.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionActivity(Rc<Cell<ActivityState>>);

impl ConnectionActivity {
    /// Creates the activity of a connection that was just accepted; it is idle.
    pub(crate) fn new() -> ConnectionActivity {
        ConnectionActivity(Rc::new(Cell::new(ActivityState::Idle(Instant::now()))))
    }

    /// Marks a request head as complete.
    pub(crate) fn mark_request_started(&self) {
        self.0.set(ActivityState::InRequest);
    }

    /// Marks the response as complete or abandoned. The connection is idle from now on.
    pub(crate) fn mark_request_ended(&self) {
        self.0.set(ActivityState::Idle(Instant::now()));
    }

    /// Marks the arrival of bytes. On an idle connection they begin a request head.
    pub(crate) fn mark_bytes_read(&self) {
        if let ActivityState::Idle(_) = self.0.get() {
            self.0.set(ActivityState::ReadingHead(Instant::now()));
        }
    }

    /// Returns the time by which a request head that has begun must be complete.
    pub(crate) fn head_deadline(&self, header_timeout: Duration) -> Option<Instant> {
        match self.0.get() {
            ActivityState::ReadingHead(since) => Some(since + header_timeout),
            ActivityState::Idle(_) | ActivityState::InRequest => None,
        }
    }

    /// Returns when the connection is to be closed if its state does not change; `None` during a request.
    pub(crate) fn close_deadline(&self, header_timeout: Duration, idle_timeout: Duration) -> Option<Instant> {
        match self.0.get() {
            ActivityState::Idle(since) => Some(since + idle_timeout),
            ActivityState::ReadingHead(since) => Some(since + header_timeout),
            ActivityState::InRequest => None,
        }
    }
}
