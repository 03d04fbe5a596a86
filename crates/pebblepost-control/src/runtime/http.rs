//! HTTP server of the control plane, based on `xitca-web` and a single-threaded runtime.
//!
//! The server of `xitca-web` starts threads and installs signal handlers, so only its application and its HTTP/1
//! service are used. The listener and the connection tasks run on the caller's `LocalSet`.

use super::body_budget::{BodyBudget, BodyReservation};
use crate::api::{HttpRequest, HttpResponse, MAX_BODY_BYTES};
use pebblepost_configuration::estimated_parse_bytes;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::Instant;
use xitca_http::HttpServiceBuilder;
use xitca_http::config::HttpServiceConfig;
use xitca_io::net::TcpStream;
use xitca_web::body::{BodyExt, RequestBody, ResponseBody};
use xitca_web::http::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HeaderValue, IF_MATCH, LOCATION, RETRY_AFTER,
};
use xitca_web::http::{Request, RequestExt, StatusCode, WebResponse};
use xitca_web::service::{Service, ServiceExt, fn_service};
use xitca_web::{App, WebContext};

/// Limit on the size of a request's head.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Time limit for receiving the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(3);
/// Time without a request after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Percentage of the maximum number of connections up to which connections are kept open between requests. Above it
/// each connection is closed after its response to free capacity, so that thousands of transcribers can't lock out an
/// operator.
const KEEP_ALIVE_CONNECTIONS_PERCENT: usize = 85;
/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Error of building the HTTP service.
#[derive(Debug, Error)]
#[error("cannot build the HTTP service: {reason}")]
pub struct StartError {
    reason: String,
}

/// A request, and the sender of its response.
#[derive(Debug)]
pub struct IncomingRequest {
    /// The request.
    pub request: HttpRequest,
    /// Sender of the response.
    pub responder: oneshot::Sender<OutgoingResponse>,
}

/// A response on its way to the client.
#[derive(Debug)]
pub struct OutgoingResponse {
    /// The response.
    pub response: HttpResponse,
    /// Time after which a 503 response is sent instead, because another node may be the primary by then.
    pub send_by: Option<Instant>,
}

/// Limits of the server.
#[derive(Clone, Copy, Debug)]
pub struct HttpLimits {
    /// Limit on open connections.
    pub max_connections: usize,
    /// Limit on the memory of all request bodies together.
    pub max_body_memory_bytes: usize,
}

/// Sender of requests to the event loop.
pub type RequestSender = mpsc::Sender<IncomingRequest>;

/// Number of open connections, and its limit.
#[derive(Debug)]
struct Connections {
    open: AtomicUsize,
    max: usize,
}

impl Connections {
    fn is_full(&self) -> bool {
        self.open.load(Ordering::Relaxed) >= self.max
    }

    /// Returns whether so many connections are open that each is closed after its response.
    fn is_above_keep_alive_limit(&self) -> bool {
        self.open.load(Ordering::Relaxed) * 100 > self.max * KEEP_ALIVE_CONNECTIONS_PERCENT
    }

    fn increment(&self) {
        self.open.fetch_add(1, Ordering::Relaxed);
    }

    fn decrement(&self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// State shared by the request handlers.
#[derive(Clone, Debug)]
struct SharedState {
    requests: RequestSender,
    connections: Arc<Connections>,
    body_budget: Arc<BodyBudget>,
}

/// Serves requests, and never returns unless it fails to start. Runs on the caller's `LocalSet`.
///
/// Connections beyond the limit are closed immediately, and those above `KEEP_ALIVE_CONNECTIONS_PERCENT` of the limit
/// after their response.
///
/// # Errors
/// If the service can't be built.
pub async fn serve(
    listener: TcpListener, requests: RequestSender, limits: HttpLimits,
) -> Result<(), StartError> {
    let config = HttpServiceConfig::new()
        .request_head_timeout(HEAD_TIMEOUT)
        .keep_alive_timeout(IDLE_TIMEOUT)
        .max_read_buf_size::<MAX_HEAD_BYTES>();
    let connections = Arc::new(Connections { open: AtomicUsize::new(0), max: limits.max_connections });
    let body_budget = BodyBudget::new(limits.max_body_memory_bytes);
    let service = App::new()
        .with_state(SharedState { requests, connections: Arc::clone(&connections), body_budget })
        .at("/config", fn_service(handle))
        .at("/version-put", fn_service(handle))
        .at("/instances/{id}", fn_service(handle))
        .at("/retire/{node}", fn_service(handle))
        .finish()
        .enclosed(HttpServiceBuilder::h1().config(config));
    let service = service.call(()).await;
    let service = Rc::new(service.map_err(|error| StartError { reason: format!("{error:?}") })?);
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("HTTP connection not accepted error={error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if connections.is_full() {
            continue;
        }
        // Without this option responses may be delayed, but are still correct.
        stream.set_nodelay(true).ok();
        let service = Rc::clone(&service);
        let connections = Arc::clone(&connections);
        connections.increment();
        spawn_local(async move {
            if let Err(error) = service.call((TcpStream::from(stream), peer)).await {
                log::debug!("HTTP connection failed peer={peer} error={error:?}");
            }
            connections.decrement();
        });
    }
}

async fn handle(mut context: WebContext<'_, SharedState>) -> Result<WebResponse, xitca_web::error::Error> {
    let request = context.take_request();
    let shared = context.state().clone();
    let mut reservation = BodyReservation::new(&shared.body_budget);
    let response = match read(request, &mut reservation).await {
        Ok(request) => submit(&shared.requests, request).await,
        Err(response) => response,
    };
    let mut web_response = respond(context, response);
    if shared.connections.is_above_keep_alive_limit() {
        web_response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(web_response)
}

/// Reads a request with its body.
///
/// # Errors
/// If the body is too large (413) or incomplete (400), or the body memory is exhausted (503). The error is the response
/// to send.
async fn read(
    request: Request<RequestExt<RequestBody>>, reservation: &mut BodyReservation,
) -> Result<HttpRequest, HttpResponse> {
    let too_large = || HttpResponse::error(413, "the body is too large");
    let (head, body) = request.into_parts();
    let length = head.headers.get(CONTENT_LENGTH).and_then(|length| length.to_str().ok()?.parse().ok());
    if length.is_some_and(|length: usize| length > MAX_BODY_BYTES) {
        return Err(too_large());
    }
    let if_match = head.headers.get(IF_MATCH).and_then(|version| version.to_str().ok());
    let mut request = HttpRequest {
        method: head.method.as_str().into(),
        path: head.uri.path().into(),
        if_match: if_match.map(String::from),
        // Memory for a longer body is allocated as the body arrives, within the reservation.
        body: Vec::with_capacity(length.unwrap_or(0).min(MAX_HEAD_BYTES)),
    };
    let mut body = std::pin::pin!(body);
    while let Some(chunk) = body.as_mut().data().await {
        let chunk = chunk.map_err(|_| HttpResponse::bad_request("the request body is incomplete"))?;
        if request.body.len() + chunk.len() > MAX_BODY_BYTES {
            return Err(too_large());
        }
        if !reservation.grow(chunk.len()) {
            return Err(HttpResponse::overloaded());
        }
        request.body.extend_from_slice(&chunk);
    }
    if !reservation.grow(estimated_parse_bytes(&request.body)) {
        return Err(HttpResponse::overloaded());
    }
    Ok(request)
}

/// Submits a request to the event loop and waits for the response.
async fn submit(requests: &RequestSender, request: HttpRequest) -> HttpResponse {
    let shutting_down = || HttpResponse::unavailable("this control node is shutting down");
    let (responder, response) = oneshot::channel();
    if requests.send(IncomingRequest { request, responder }).await.is_err() {
        return shutting_down();
    }
    response.await.map_or_else(|_| shutting_down(), OutgoingResponse::in_time)
}

impl OutgoingResponse {
    /// Returns the response, or 503 if its deadline has passed. This is the last check before the response is written.
    fn in_time(self) -> HttpResponse {
        let is_late = self.send_by.is_some_and(|send_by| Instant::now() >= send_by);
        if is_late {
            HttpResponse::unavailable("the lease expired before the response was sent")
        } else {
            self.response
        }
    }
}

fn respond(context: WebContext<'_, SharedState>, response: HttpResponse) -> WebResponse {
    let HttpResponse { status, location, retry_after_s, body } = response;
    let mut web_response = context.into_response(ResponseBody::bytes(body));
    *web_response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let headers = web_response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(location) = location.and_then(|location| HeaderValue::from_str(&location).ok()) {
        headers.insert(LOCATION, location);
    }
    if let Some(seconds) = retry_after_s {
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    web_response
}
