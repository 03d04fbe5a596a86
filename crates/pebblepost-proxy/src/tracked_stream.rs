//! A client's connection that notes what it is doing, so that one timer can bound how long it
//! rests and how long a head takes.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// What a connection is doing.
#[derive(Clone, Copy, Debug)]
enum State {
    /// No request, since then.
    Idle(Instant),
    /// The first bytes of a head came then.
    Head(Instant),
    /// A request is being read or answered.
    Request,
}

/// Activity of a connection; cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct Activity(Rc<Cell<State>>);

impl Activity {
    /// A connection that was just accepted.
    pub(crate) fn new() -> Activity {
        Activity(Rc::new(Cell::new(State::Idle(Instant::now()))))
    }

    /// A head is complete.
    pub(crate) fn request_started(&self) {
        self.0.set(State::Request);
    }

    /// The answer is complete, or given up.
    pub(crate) fn request_ended(&self) {
        self.0.set(State::Idle(Instant::now()));
    }

    fn bytes_read(&self) {
        if let State::Idle(_) = self.0.get() {
            self.0.set(State::Head(Instant::now()));
        }
    }

    /// When a head that has begun must be complete.
    pub(crate) fn head_expires(&self, head: Duration) -> Option<Instant> {
        match self.0.get() {
            State::Head(since) => Some(since + head),
            State::Idle(_) | State::Request => None,
        }
    }

    /// When the connection is to be closed if it goes on as it does; `None` while a request runs.
    pub(crate) fn expires(&self, head: Duration, idle: Duration) -> Option<Instant> {
        match self.0.get() {
            State::Idle(since) => Some(since + idle),
            State::Head(since) => Some(since + head),
            State::Request => None,
        }
    }
}

/// A client's connection.
#[derive(Debug)]
pub(crate) struct TrackedStream {
    stream: TcpStream,
    activity: Activity,
}

impl TrackedStream {
    /// Tracks a connection.
    pub(crate) fn new(stream: TcpStream, activity: Activity) -> TrackedStream {
        TrackedStream { stream, activity }
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.activity.bytes_read();
        }
        result
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
