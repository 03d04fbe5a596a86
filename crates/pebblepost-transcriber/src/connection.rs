//! One connection to a transcriber, driven by its user.
//!
//! A connection has no task: the future that waits for a response polls the connection as well. Dropping that future
//! closes the connection, and no message is passed between tasks for a request or response.

use crate::request::WireRequest;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};

/// A connection whose bytes stay unacknowledged for this long is closed (`TCP_USER_TIMEOUT`).
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1500);
/// Read buffer of a connection.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// A connection for one exchange at a time.
pub(crate) struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: http1::Connection<TokioIo<TcpStream>, Full<Bytes>>,
    /// The driver has ended: it must not be polled again.
    is_closed: bool,
}

/// Why an exchange returned no head of a response.
pub(crate) enum ExchangeError {
    /// No byte was written; the request is returned.
    NotWritten(Box<WireRequest>),
    /// Bytes may have been written.
    Broken,
}

impl Connection {
    /// Opens a connection.
    pub(crate) async fn open(address: SocketAddr) -> io::Result<Connection> {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_nodelay(true)?;
        SockRef::from(&socket).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
        let stream = socket.connect(address).await?;
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(MAX_BUFFERED_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        Ok(Connection { sender, driver, is_closed: false })
    }

    /// Does the pending input and output.
    fn drive(&mut self, context: &mut Context<'_>) {
        if self.is_closed {
            return;
        }
        if let Poll::Ready(end) = Pin::new(&mut self.driver).poll(context) {
            self.is_closed = true;
            if let Err(error) = end {
                log::debug!("connection to transcriber ended: {error}");
            }
        }
    }

    /// Whether another request may be sent: the last response is complete, the peer has not closed the connection,
    /// and there are no unread bytes.
    pub(crate) async fn is_reusable(&mut self) -> bool {
        poll_fn(|context| {
            self.drive(context);
            Poll::Ready(!self.is_closed && self.sender.is_ready())
        })
        .await
    }

    /// Sends a request and waits for the head of its response.
    pub(crate) async fn exchange(
        &mut self, request: WireRequest,
    ) -> Result<http::Response<Incoming>, ExchangeError> {
        let mut response = pin!(self.sender.try_send_request(request));
        let driver = &mut self.driver;
        let is_closed = &mut self.is_closed;
        let outcome = poll_fn(|context| {
            if !*is_closed && Pin::new(&mut *driver).poll(context).is_ready() {
                *is_closed = true;
            }
            response.as_mut().poll(context)
        })
        .await;
        outcome.map_err(|mut error| match error.take_message() {
            Some(request) => ExchangeError::NotWritten(Box::new(request)),
            None => ExchangeError::Broken,
        })
    }

    /// Next frame of a body on this connection; `None` at its end.
    pub(crate) fn poll_frame(
        &mut self, body: &mut Incoming, context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        if let Poll::Ready(frame) = Pin::new(&mut *body).poll_frame(context) {
            return Poll::Ready(frame);
        }
        self.drive(context);
        Pin::new(body).poll_frame(context)
    }
}
