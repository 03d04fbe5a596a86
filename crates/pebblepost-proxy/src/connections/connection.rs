//! Serves one client connection until it ends, exceeds a deadline, or the process shuts down.

use super::http_connection::HttpConnection;
use super::tracked_stream::TrackedStream;
use crate::activity::ConnectionActivity;
use crate::feed::FeedCache;
use crate::handler::RequestHandler;
use crate::metrics::Metrics;
use crate::shutdown::Shutdown;
use http::Request;
use hyper::body::Incoming;
use hyper::service::service_fn;
use log::debug;
use pebblepost_configuration::Limits;
use socket2::SockRef;
use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::io;
use std::pin::{Pin, pin};
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{Instant, Sleep};

/// Bytes that the operating system takes for sending before the client's window allows them.
const MAX_UNSENT_BYTES: u32 = 128 * 1024;

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
    if let Err(error) = set_options(&stream) {
        debug!("client connection closed, its socket options could not be set: {error}");
        return;
    }
    let activity = ConnectionActivity::new();
    let feed = &context.feed;
    let service = service_fn(|request: Request<Incoming>| {
        let response = context.handler.clone().handle(activity.clone(), request);
        async { Ok::<_, Infallible>(response.await) }
    });
    let tracked = TrackedStream::new(stream, activity.clone());
    let mut connection = HttpConnection::new(tracked, service, activity.clone(), feed.max_header_bytes());
    let mut closing = pin!(context.shutdown.wait_until_closing());
    let mut is_closing = false;
    let mut check = pin!(tokio::time::sleep(feed.limits().idle_timeout));
    loop {
        let limits_changed = feed.wait_for_limits_change();
        tokio::select! {
            biased;
            result = poll_fn(|task| connection.poll(task, feed.max_header_bytes())) => {
                if let Err(error) = result {
                    debug!("client connection ended: {error}");
                }
                return;
            }
            () = closing.as_mut(), if !is_closing => {
                is_closing = true;
                connection.shut_down_gracefully();
            }
            () = limits_changed => match next_check(&activity, &feed.limits()) {
                Some(at) => check.as_mut().reset(at),
                None => return log_timeout(&activity),
            },
            () = check_due(check.as_mut(), &activity, feed) => match next_check(&activity, &feed.limits()) {
                Some(at) => check.as_mut().reset(at),
                None => return log_timeout(&activity),
            },
        }
    }
}

/// Sets `TCP_NODELAY`, so that responses are sent without delay, and `TCP_NOTSENT_LOWAT`, so that the socket takes bytes
/// only as the client does: the time of a write then tells that the client still reads.
fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES)
}

fn log_timeout(activity: &ConnectionActivity) {
    debug!("client connection timed out {activity}");
}

/// Waits until the connection's deadlines must be checked. The check is moved forward while a request
/// head is incomplete.
///
/// It must be polled after the connection, so that a head that arrives as a whole resets no timer.
async fn check_due(mut check: Pin<&mut Sleep>, activity: &ConnectionActivity, feed: &FeedCache) {
    poll_fn(|context| {
        let head_deadline = activity.head_deadline(feed.limits().header_timeout);
        if let Some(at) = head_deadline.filter(|at| *at < check.deadline()) {
            check.as_mut().reset(at);
        }
        check.as_mut().poll(context)
    })
    .await;
}

/// Returns when to check a connection again; `None` if its deadline has passed.
fn next_check(activity: &ConnectionActivity, limits: &Limits) -> Option<Instant> {
    let now = Instant::now();
    match activity.close_deadline(limits.header_timeout, limits.idle_timeout) {
        Some(deadline) => Some(deadline).filter(|at| *at > now),
        None => Some(now + limits.idle_timeout),
    }
}
