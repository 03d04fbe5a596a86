//! Connections of clients: HTTP/1.1, one task each.

use crate::context::Context;
use crate::handler::handle;
use crate::tracked_stream::{Activity, TrackedStream};
use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use log::{debug, warn};
use pebblepost_configuration::Limits;
use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::io;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, Sleep};

/// Pause after a failed accept, such as one for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Descriptors that are not sockets.
const RESERVED_DESCRIPTORS: usize = 200;
/// Part of the descriptors that clients may take; the rest is for transcribers and links.
const CLIENT_SHARE: usize = 2;
/// Smallest buffer of a connection that is worth having.
const LEAST_BUFFER: usize = 64 * 1024;

/// The connections of clients.
#[derive(Debug)]
pub(crate) struct Front {
    most: usize,
    free: Arc<Semaphore>,
}

impl Front {
    /// None yet. `max_fds`: descriptors of the process.
    pub(crate) fn new(max_fds: usize) -> Front {
        let most = (max_fds.saturating_sub(RESERVED_DESCRIPTORS) / CLIENT_SHARE).max(1);
        Front { most, free: Arc::new(Semaphore::new(most)) }
    }

    /// Accepts connections until nothing new is accepted any more.
    pub(crate) async fn accept(&self, listener: TcpListener, context: Rc<Context>) {
        let mut closing = pin!(context.lifecycle.closing());
        loop {
            // With all places taken, new connections wait in the listener's queue.
            let accept = async {
                let permit = self.free.clone().acquire_owned().await.map_err(io::Error::other)?;
                Ok::<_, io::Error>((listener.accept().await?.0, permit))
            };
            let accepted = tokio::select! {
                () = closing.as_mut() => return,
                accepted = accept => accepted,
            };
            match accepted {
                Ok((stream, permit)) => {
                    context.metrics.update(|counts| counts.connections += 1);
                    tokio::task::spawn_local(serve(stream, context.clone(), permit));
                }
                Err(error) => {
                    warn!("accepting a client's connection: {error}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Waits until every connection has ended.
    pub(crate) async fn ended(&self) {
        let all = u32::try_from(self.most).unwrap_or(u32::MAX);
        let _ = self.free.acquire_many(all).await;
    }
}

/// Serves one connection until it ends, rests for too long, or the process closes.
async fn serve(stream: TcpStream, context: Rc<Context>, _permit: OwnedSemaphorePermit) {
    if let Err(error) = stream.set_nodelay(true) {
        debug!("a client's connection ended at once: {error}");
        return;
    }
    let limits = context.limits();
    let activity = Activity::new();
    let io = TokioIo::new(TrackedStream::new(stream, activity.clone()));
    let service = service_fn(|request: Request<Incoming>| {
        let answer = handle(context.clone(), activity.clone(), request);
        async { Ok::<_, Infallible>(answer.await) }
    });
    let mut connection = pin!(builder(&limits).serve_connection(io, service));
    let mut closing = pin!(context.lifecycle.closing());
    let mut closed = false;
    let mut check = pin!(tokio::time::sleep(limits.idle_timeout));
    loop {
        tokio::select! {
            biased;
            result = connection.as_mut() => {
                if let Err(error) = result {
                    debug!("a client's connection ended: {error}");
                }
                return;
            }
            () = closing.as_mut(), if !closed => {
                closed = true;
                connection.as_mut().graceful_shutdown();
            }
            () = expire(check.as_mut(), &activity, &limits) => {
                match next_check(&activity, &context.limits()) {
                    Some(at) => check.as_mut().reset(at),
                    None => return,
                }
            }
        }
    }
}

/// Waits until the connection is to be looked at; sooner once a head has begun that is not
/// complete. Polled after the connection, so that a head that came whole moves no timer.
async fn expire(mut check: Pin<&mut Sleep>, activity: &Activity, limits: &Limits) {
    poll_fn(|context| {
        let head = activity.head_expires(limits.header_timeout);
        if let Some(at) = head.filter(|at| *at < check.deadline()) {
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
        .max_buf_size(limits.max_header_bytes.max(LEAST_BUFFER));
    builder
}

/// When to look at a connection again; `None` if it has rested or taken its time for too long.
fn next_check(activity: &Activity, limits: &Limits) -> Option<Instant> {
    let now = Instant::now();
    match activity.expires(limits.header_timeout, limits.idle_timeout) {
        Some(at) => Some(at).filter(|at| *at > now),
        None => Some(now + limits.idle_timeout),
    }
}
