//! One HTTP/1.1 connection to a transcriber, without a task of its own.
//!
//! The future that waits for a response also polls the connection. So dropping that future closes the connection, and
//! a request or response needs no message between tasks.

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

/// Time after which the kernel closes a connection with unacknowledged bytes (`TCP_USER_TIMEOUT`).
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum size of the buffer that `hyper` uses for one connection.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// A connection that carries one request and response at a time.
pub(crate) struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: http1::Connection<TokioIo<TcpStream>, Full<Bytes>>,
    /// Whether the driver has ended. It must not be polled again then.
    is_closed: bool,
}

/// Reason for which no response head was received for a request.
pub(crate) enum ExchangeError {
    /// No byte of the request was written. Returns the request, so that it can be sent on another connection.
    NotWritten(Box<WireRequest>),
    /// The connection broke after bytes of the request may have been written.
    Broken,
}

impl Connection {
    /// Connects to a transcriber.
    ///
    /// # Errors
    ///
    /// The socket cannot be created or configured, or the connection cannot be established. There is no timeout; the
    /// caller sets one.
    pub(crate) async fn open(address: SocketAddr) -> io::Result<Connection> {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_nodelay(true)?;
        SockRef::from(&socket).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
        let stream = socket.connect(address).await?;
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        Ok(Connection { sender, driver, is_closed: false })
    }

    /// Makes progress on pending input and output.
    fn drive(&mut self, context: &mut Context<'_>) {
        if self.is_closed {
            return;
        }
        if let Poll::Ready(result) = Pin::new(&mut self.driver).poll(context) {
            self.is_closed = true;
            if let Err(error) = result {
                log::debug!("connection to transcriber closed with an error: {error}");
            }
        }
    }

    /// Returns whether another request may be sent: the last response is complete, the transcriber has not closed the
    /// connection, and there are no unread bytes.
    pub(crate) async fn is_reusable(&mut self) -> bool {
        poll_fn(|context| {
            self.drive(context);
            Poll::Ready(!self.is_closed && self.sender.is_ready())
        })
        .await
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// Dropping the future leaves the request in flight: the connection must be closed then.
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

    /// Polls for the next frame of a body that arrives on this connection; `None` at its end.
    ///
    /// Frames received already are returned before the connection is read.
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
