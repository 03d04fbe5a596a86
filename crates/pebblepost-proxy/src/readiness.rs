//! Readiness endpoint: `GET /readyz` reports whether this proxy should get new connections.

use crate::feed::FeedCache;
use crate::shutdown::Shutdown;
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use log::warn;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

const READINESS_PATH: &str = "/readyz";
/// Maximum number of concurrent connections. The platform needs one.
const MAX_CONNECTIONS: usize = 16;
/// Time within which a connection must send the next request head, or it is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Readiness of the proxy, derived from the state of the feed and of the shutdown.
#[derive(Clone, Debug)]
pub(crate) struct Readiness {
    feed: Rc<FeedCache>,
    shutdown: Rc<Shutdown>,
}

impl Readiness {
    /// Creates the readiness check. The proxy is ready once the feed is complete and until the shutdown
    /// begins.
    pub(crate) fn new(feed: Rc<FeedCache>, shutdown: Rc<Shutdown>) -> Readiness {
        Readiness { feed, shutdown }
    }

    fn is_ready(&self) -> bool {
        self.feed.is_complete() && self.shutdown.is_serving()
    }

    /// Serves readiness checks for as long as the process runs.
    pub(crate) async fn serve(self, listener: TcpListener) {
        let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        loop {
            let Ok(permit) = permits.clone().acquire_owned().await else { return };
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::task::spawn_local(serve_connection(stream, self.clone(), permit));
                }
                Err(error) => {
                    warn!("readiness connection not accepted: {error}");
                    tokio::time::sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, readiness: Readiness, _permit: OwnedSemaphorePermit) {
    let service = service_fn(|request: Request<Incoming>| {
        let status = status(&readiness, &request);
        async move {
            let mut response = Response::new(Empty::<Bytes>::new());
            *response.status_mut() = status;
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = Builder::new();
    builder.auto_date_header(false).timer(TokioTimer::new()).header_read_timeout(IDLE_TIMEOUT);
    // An error needs no handling: the platform sees the broken connection as a failed check.
    let _ = builder.serve_connection(TokioIo::new(stream), service).await;
}

fn status(readiness: &Readiness, request: &Request<Incoming>) -> StatusCode {
    if request.uri().path() != READINESS_PATH || !matches!(*request.method(), Method::GET | Method::HEAD) {
        return StatusCode::NOT_FOUND;
    }
    match readiness.is_ready() {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    }
}
