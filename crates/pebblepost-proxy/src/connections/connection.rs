//! Serves one client connection until it ends, exceeds a deadline, or the process shuts down.

use super::tracked_stream::TrackedStream;
use crate::activity::ConnectionActivity;
use crate::feed::FeedCache;
use crate::handler::RequestHandler;
use crate::metrics::Metrics;
use crate::shutdown::Shutdown;
use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use log::debug;
use pebblepost_configuration::Limits;
use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::pin::{Pin, pin};
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{Instant, Sleep};

/// Lower bound of the maximum size of a connection's read buffer.
const MIN_BUFFER_BYTES: usize = 64 * 1024;

/// Shared state that connections need.
#[derive(Debug)]
pub(crate) struct ConnectionContext {
    /// Handles the requests.
    pub(crate) handler: Rc<RequestHandler>,
    /// Source of the limits.
    pub(crate) feed: Rc<FeedCache>,
    /// Tells connections to close.
    pub(crate) shutdown: Rc<Shutdown>,
    /// Counts connections.
    pub(crate) metrics: Rc<Metrics>,
}

/// Serves one connection. `_permit` is held until the connection is closed.
pub(super) async fn serve(stream: TcpStream, context: Rc<ConnectionContext>, _permit: OwnedSemaphorePermit) {
    if let Err(error) = stream.set_nodelay(true) {
        debug!("client connection closed, TCP_NODELAY not set: {error}");
        return;
    }
    let limits = context.feed.limits();
    let activity = ConnectionActivity::new();
    let io = TokioIo::new(TrackedStream::new(stream, activity.clone()));
    let service = service_fn(|request: Request<Incoming>| {
        let response = context.handler.clone().handle(activity.clone(), request);
        async { Ok::<_, Infallible>(response.await) }
    });
    let mut connection = pin!(builder(&limits).serve_connection(io, service));
    let mut closing = pin!(context.shutdown.wait_until_closing());
    let mut is_closing = false;
    let mut check = pin!(tokio::time::sleep(limits.idle_timeout));
    loop {
        tokio::select! {
            biased;
            result = connection.as_mut() => {
                if let Err(error) = result {
                    debug!("client connection ended: {error}");
                }
                return;
            }
            () = closing.as_mut(), if !is_closing => {
                is_closing = true;
                connection.as_mut().graceful_shutdown();
            }
            () = check_due(check.as_mut(), &activity, &limits) => {
                match next_check(&activity, &context.feed.limits()) {
                    Some(at) => check.as_mut().reset(at),
                    None => return,
                }
            }
        }
    }
}

/// Waits until the connection's deadlines must be checked. The check is moved forward while a request
/// head is incomplete.
///
/// It must be polled after the connection, so that a head that arrives as a whole resets no timer.
async fn check_due(mut check: Pin<&mut Sleep>, activity: &ConnectionActivity, limits: &Limits) {
    poll_fn(|context| {
        let head_deadline = activity.head_deadline(limits.header_timeout);
        if let Some(at) = head_deadline.filter(|at| *at < check.deadline()) {
            check.as_mut().reset(at);
        }
        check.as_mut().poll(context)
    })
    .await;
}

fn builder(limits: &Limits) -> Builder {
    let mut builder = Builder::new();
    builder
        .auto_date_header(false)
        .max_header_size(limits.max_header_bytes)
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES));
    builder
}

/// Returns when to check a connection again; `None` if its deadline has passed.
fn next_check(activity: &ConnectionActivity, limits: &Limits) -> Option<Instant> {
    let now = Instant::now();
    match activity.close_deadline(limits.header_timeout, limits.idle_timeout) {
        Some(deadline) => Some(deadline).filter(|at| *at > now),
        None => Some(now + limits.idle_timeout),
    }
}
