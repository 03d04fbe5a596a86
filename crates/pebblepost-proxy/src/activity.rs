//! Activity of one client connection. It lets a single timer bound both the idle time of the connection
//! and the time that a request head takes, and tells when nothing is under way on the connection.

use std::cell::Cell;
use std::fmt;
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
pub(crate) struct ConnectionActivity(Rc<SharedState>);

#[derive(Debug)]
struct SharedState {
    state: Cell<ActivityState>,
    /// Whether the body of the last request was read to its end.
    is_body_read: Cell<bool>,
    /// Whether bytes were written after the last flush.
    has_unflushed_bytes: Cell<bool>,
    /// Time at which the socket last took bytes; initially the time of acceptance.
    last_written_at: Cell<Instant>,
    /// Idle time that the last response has announced to the client.
    announced_idle_timeout: Cell<Duration>,
    /// Bytes that were read since the last request, of which the next head consists.
    head_bytes: Cell<usize>,
    /// Number of bytes of an incomplete head at which reading stops.
    head_pause_bytes: Cell<Option<usize>>,
}

impl ConnectionActivity {
    /// Creates the activity of a connection that was just accepted; it is idle.
    pub(crate) fn new() -> ConnectionActivity {
        ConnectionActivity(Rc::new(SharedState {
            state: Cell::new(ActivityState::Idle(Instant::now())),
            is_body_read: Cell::new(true),
            has_unflushed_bytes: Cell::new(false),
            last_written_at: Cell::new(Instant::now()),
            announced_idle_timeout: Cell::new(Duration::ZERO),
            head_bytes: Cell::new(0),
            head_pause_bytes: Cell::new(None),
        }))
    }

    /// Marks a request head as complete.
    pub(crate) fn mark_request_started(&self) {
        self.0.state.set(ActivityState::InRequest);
        self.0.is_body_read.set(false);
        self.0.head_bytes.set(0);
    }

    /// Marks the body of the request as read to its end.
    pub(crate) fn mark_body_read(&self) {
        self.0.is_body_read.set(true);
    }

    /// Marks the response as complete or abandoned. The connection is idle from now on.
    pub(crate) fn mark_request_ended(&self) {
        self.0.state.set(ActivityState::Idle(Instant::now()));
    }

    /// Records the idle time that a response announces to the client.
    pub(crate) fn announce_idle_timeout(&self, idle_timeout: Duration) {
        self.0.announced_idle_timeout.set(idle_timeout);
    }

    /// Marks the arrival of bytes. On an idle connection they begin a request head.
    pub(crate) fn mark_bytes_read(&self, bytes: usize) {
        if self.is_head_next() {
            self.0.head_bytes.set(self.0.head_bytes.get() + bytes);
        }
        if let ActivityState::Idle(_) = self.0.state.get() {
            self.0.state.set(ActivityState::ReadingHead(Instant::now()));
        }
    }

    /// Sets the number of bytes of an incomplete head at which reading stops, for as long as it is not known whether a
    /// longer head is allowed. `None` if that is known.
    pub(crate) fn set_head_pause(&self, bytes: Option<usize>) {
        self.0.head_pause_bytes.set(bytes);
    }

    /// Returns how many bytes may be read now; `None` if there is no such limit.
    pub(crate) fn readable_bytes(&self) -> Option<usize> {
        let pause_bytes = self.0.head_pause_bytes.get().filter(|_| self.is_head_next())?;
        Some(pause_bytes.saturating_sub(self.0.head_bytes.get()))
    }

    /// Marks that bytes were given to the socket.
    pub(crate) fn mark_bytes_written(&self) {
        self.0.has_unflushed_bytes.set(true);
    }

    /// Marks that the socket took bytes.
    pub(crate) fn mark_write_progress(&self) {
        self.0.last_written_at.set(Instant::now());
    }

    /// Marks that all bytes that were to be written have been written.
    pub(crate) fn mark_flushed(&self) {
        self.0.has_unflushed_bytes.set(false);
    }

    /// Returns whether the last request was read and answered as a whole, so that only a part of the next head may have
    /// arrived.
    pub(crate) fn is_between_requests(&self) -> bool {
        let is_in_request = matches!(self.0.state.get(), ActivityState::InRequest);
        !is_in_request && self.0.is_body_read.get() && !self.0.has_unflushed_bytes.get()
    }

    /// Returns whether the next bytes that arrive belong to a request head.
    fn is_head_next(&self) -> bool {
        let is_in_request = matches!(self.0.state.get(), ActivityState::InRequest);
        !is_in_request || self.0.is_body_read.get()
    }

    /// Returns the time by which a request head that has begun must be complete.
    pub(crate) fn head_deadline(&self, header_timeout: Duration) -> Option<Instant> {
        match self.0.state.get() {
            ActivityState::ReadingHead(since) => Some(self.quiet_since(since) + header_timeout),
            ActivityState::Idle(_) | ActivityState::InRequest => None,
        }
    }

    /// Returns when the connection is to be closed if nothing happens on it; `None` during a request. An idle connection
    /// is kept for as long as its client was told. Both times start anew with each write that the socket takes: a response
    /// may still be written after it was handed on.
    pub(crate) fn close_deadline(&self, header_timeout: Duration, idle_timeout: Duration) -> Option<Instant> {
        match self.0.state.get() {
            ActivityState::Idle(since) => {
                Some(self.quiet_since(since) + idle_timeout.max(self.0.announced_idle_timeout.get()))
            }
            ActivityState::ReadingHead(since) => Some(self.quiet_since(since) + header_timeout),
            ActivityState::InRequest => None,
        }
    }

    /// Returns the later of a time and that of the last write.
    fn quiet_since(&self, since: Instant) -> Instant {
        since.max(self.0.last_written_at.get())
    }
}

impl fmt::Display for ConnectionActivity {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let state = match self.0.state.get() {
            ActivityState::Idle(since) => format!("idle_ms={}", since.elapsed().as_millis()),
            ActivityState::ReadingHead(since) => format!("reading_head_ms={}", since.elapsed().as_millis()),
            ActivityState::InRequest => "in_request".to_owned(),
        };
        write!(
            formatter,
            "{state} has_unwritten_bytes={} last_written_ms={}",
            self.0.has_unflushed_bytes.get(),
            self.0.last_written_at.get().elapsed().as_millis()
        )
    }
}
