//! HTTP/1.1 on one client connection, under limits that may change while the connection is open.
//!
//! The HTTP library takes the size of its buffers when a connection is created. When the limits in force need another
//! size, the library's connection is taken apart between two requests and created anew on the same socket. What has
//! arrived of the next request is read again.
//!
//! Before the first configuration the limit is not known. A head that does not fit the smallest buffers then waits, and
//! is read on under the limit of that configuration.

use super::tracked_stream::TrackedStream;
use crate::activity::ConnectionActivity;
use crate::response::ResponseBody;
use hyper::body::Incoming;
use hyper::server::conn::http1::{Builder, Connection, Parts};
use hyper::service::HttpService;
use hyper_util::rt::TokioIo;
use std::error::Error;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Lower bound of the maximum size of a connection's buffers.
const MIN_BUFFER_BYTES: usize = 64 * 1024;

/// An HTTP/1.1 connection.
pub(super) struct HttpConnection<S: HttpService<Incoming, ResBody = ResponseBody>> {
    /// Absent only while it is created anew.
    connection: Option<Connection<TokioIo<TrackedStream>, S>>,
    activity: ConnectionActivity,
    buffer_bytes: usize,
    is_closing: bool,
}

impl<S> HttpConnection<S>
where
    S: HttpService<Incoming, ResBody = ResponseBody> + Unpin,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
{
    /// Creates a connection on a stream whose activity is `activity`.
    pub(super) fn new(
        stream: TrackedStream, service: S, activity: ConnectionActivity, max_header_bytes: Option<usize>,
    ) -> HttpConnection<S> {
        let buffer_bytes = buffer_bytes(max_header_bytes);
        let connection = Some(builder(buffer_bytes).serve_connection(TokioIo::new(stream), service));
        HttpConnection { connection, activity, buffer_bytes, is_closing: false }
    }

    /// Ends the connection after the request in progress.
    pub(super) fn shut_down_gracefully(&mut self) {
        self.is_closing = true;
        if let Some(connection) = &mut self.connection {
            Pin::new(connection).graceful_shutdown();
        }
    }

    /// Serves requests until the connection ends. `max_header_bytes` is the limit in force; `None` before the first
    /// configuration.
    pub(super) fn poll(
        &mut self, context: &mut Context<'_>, max_header_bytes: Option<usize>,
    ) -> Poll<Result<(), hyper::Error>> {
        let buffer_bytes = buffer_bytes(max_header_bytes);
        let pause_bytes = if max_header_bytes.is_none() { Some(buffer_bytes - 1) } else { None };
        self.activity.set_head_pause(pause_bytes);
        if buffer_bytes != self.buffer_bytes && !self.is_closing && self.activity.is_between_requests() {
            self.recreate(buffer_bytes);
        }
        match &mut self.connection {
            Some(connection) => Pin::new(connection).poll(context),
            None => Poll::Ready(Ok(())),
        }
    }

    fn recreate(&mut self, buffer_bytes: usize) {
        let Some(connection) = self.connection.take() else { return };
        let Parts { mut io, read_buf, service, .. } = connection.into_parts();
        io.inner_mut().unread(read_buf);
        self.connection = Some(builder(buffer_bytes).serve_connection(io, service));
        self.buffer_bytes = buffer_bytes;
    }
}

/// Returns the size of the buffers for a limit. A head that fits the buffer is checked against the limit by the handler,
/// which knows the one in force.
fn buffer_bytes(max_header_bytes: Option<usize>) -> usize {
    max_header_bytes.map_or(MIN_BUFFER_BYTES, |bytes| bytes.max(MIN_BUFFER_BYTES))
}

fn builder(buffer_bytes: usize) -> Builder {
    let mut builder = Builder::new();
    builder.auto_date_header(false).max_buf_size(buffer_bytes);
    builder
}
