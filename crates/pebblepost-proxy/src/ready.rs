//! `GET /readyz`: whether new connections should come here.

use crate::context::Context;
use crate::lifecycle::Phase;
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

const PATH: &str = "/readyz";
/// Most connections at once; the platform needs one.
const MOST_CONNECTIONS: usize = 16;
/// A connection that rests for so long is closed.
const IDLE: Duration = Duration::from_secs(10);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers questions for readiness as long as the process runs.
pub(crate) async fn serve(listener: TcpListener, context: Rc<Context>) {
    let free = Arc::new(Semaphore::new(MOST_CONNECTIONS));
    loop {
        let Ok(permit) = free.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve_connection(stream, context.clone(), permit));
            }
            Err(error) => {
                warn!("accepting a question for readiness: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, context: Rc<Context>, _permit: OwnedSemaphorePermit) {
    let service = service_fn(|request: Request<Incoming>| {
        let status = status(&context, &request);
        async move {
            let mut response = Response::new(Empty::<Bytes>::new());
            *response.status_mut() = status;
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = Builder::new();
    builder.auto_date_header(false).timer(TokioTimer::new()).header_read_timeout(IDLE);
    // What goes wrong here is the asker's to notice.
    let _ = builder.serve_connection(TokioIo::new(stream), service).await;
}

fn status(context: &Context, request: &Request<Incoming>) -> StatusCode {
    if request.uri().path() != PATH || !matches!(*request.method(), Method::GET | Method::HEAD) {
        return StatusCode::NOT_FOUND;
    }
    match context.is_informed() && context.lifecycle.phase() == Phase::Serving {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    }
}
