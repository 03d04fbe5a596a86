//! Activity of one client's connection, so that a single timer can bound how long the connection is
//! idle and how long the head of a request takes.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// What a connection is doing.
#[derive(Clone, Copy, Debug)]
enum State {
    /// No request since then.
    Idle(Instant),
    /// The first bytes of a head came then.
    ReadingHead(Instant),
    /// A request is being read or answered.
    InRequest,
}

/// Activity of a connection; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionActivity(Rc<Cell<State>>);

impl ConnectionActivity {
    /// A connection that was just accepted.
    pub(crate) fn new() -> ConnectionActivity {
        ConnectionActivity(Rc::new(Cell::new(State::Idle(Instant::now()))))
    }

    /// Notes that a head is complete.
    pub(crate) fn request_started(&self) {
        self.0.set(State::InRequest);
    }

    /// Notes that the response is complete, or given up.
    pub(crate) fn request_ended(&self) {
        self.0.set(State::Idle(Instant::now()));
    }

    /// Notes that bytes arrived.
    pub(crate) fn bytes_read(&self) {
        if let State::Idle(_) = self.0.get() {
            self.0.set(State::ReadingHead(Instant::now()));
        }
    }

    /// When a head that has begun must be complete.
    pub(crate) fn head_deadline(&self, header_timeout: Duration) -> Option<Instant> {
        match self.0.get() {
            State::ReadingHead(since) => Some(since + header_timeout),
            State::Idle(_) | State::InRequest => None,
        }
    }

    /// When the connection is to be closed if its state stays; `None` during a request.
    pub(crate) fn deadline(&self, header_timeout: Duration, idle_timeout: Duration) -> Option<Instant> {
        match self.0.get() {
            State::Idle(since) => Some(since + idle_timeout),
            State::ReadingHead(since) => Some(since + header_timeout),
            State::InRequest => None,
        }
    }
}
