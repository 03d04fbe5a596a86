//! One connection to a transcriber, driven by whoever uses it.
//!
//! There is no task for a connection: the future that waits for an answer polls the connection as
//! well. Dropping that future closes the connection, and one turn of the loop carries a request
//! out or an answer in.

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

/// A machine that acknowledges nothing for so long is taken for dead.
const USER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Most bytes of an answer that wait to be read.
const MOST_BUFFERED_BYTES: usize = 64 * 1024;

/// A connection on which one exchange at a time takes place.
pub(crate) struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: http1::Connection<TokioIo<TcpStream>, Full<Bytes>>,
    finished: bool,
}

/// Why an exchange brought no head of an answer.
pub(crate) enum ExchangeError {
    /// Not a byte was written; the request is handed back.
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
        SockRef::from(&socket).set_tcp_user_timeout(Some(USER_TIMEOUT))?;
        let stream = socket.connect(address).await?;
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(MOST_BUFFERED_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        Ok(Connection { sender, driver, finished: false })
    }

    /// Reads and writes what can be read and written.
    fn drive(&mut self, context: &mut Context<'_>) {
        if self.finished {
            return;
        }
        if let Poll::Ready(end) = Pin::new(&mut self.driver).poll(context) {
            self.finished = true;
            if let Err(error) = end {
                log::debug!("connection to a transcriber ended: {error}");
            }
        }
    }

    /// Whether another request may be sent: the last answer came whole, the peer has not closed,
    /// and nothing lies unread.
    pub(crate) async fn is_reusable(&mut self) -> bool {
        poll_fn(|context| {
            self.drive(context);
            Poll::Ready(!self.finished && self.sender.is_ready())
        })
        .await
    }

    /// Sends a request and waits for the head of its answer.
    pub(crate) async fn exchange(
        &mut self, request: WireRequest,
    ) -> Result<http::Response<Incoming>, ExchangeError> {
        let mut response = pin!(self.sender.try_send_request(request));
        let driver = &mut self.driver;
        let finished = &mut self.finished;
        let outcome = poll_fn(|context| {
            if !*finished && Pin::new(&mut *driver).poll(context).is_ready() {
                *finished = true;
            }
            response.as_mut().poll(context)
        })
        .await;
        outcome.map_err(|mut error| match error.take_message() {
            Some(request) => ExchangeError::NotWritten(Box::new(request)),
            None => ExchangeError::Broken,
        })
    }

    /// Next frame of a body that comes on this connection; `None` at its complete end.
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
