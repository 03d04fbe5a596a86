//! HTTP server of the control plane: `xitca-web` on a single-threaded runtime.
//!
//! `xitca-web`'s own server starts threads and listens for signals itself, so only its application and its HTTP/1
//! service are used: the listener and its tasks live on the caller's `LocalSet`.

use super::body_budget::{BodyBudget, BodyReservation};
use crate::api::{HttpRequest, HttpResponse, MAX_BODY_BYTES};
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

/// Largest head of a request.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Time for a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(3);
/// A connection without a request for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Percentage of the connections that are kept open between requests. With more of them each is closed after its
/// response, so that others find a place: thousands of transcribers must not shut an operator out.
const KEPT_CONNECTIONS_PERCENT: usize = 85;
/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The HTTP service could not be built.
#[derive(Debug, Error)]
#[error("starting the HTTP service: {reason}")]
pub struct StartError {
    reason: String,
}

/// A request, and where its response goes.
#[derive(Debug)]
pub struct IncomingRequest {
    /// The request.
    pub request: HttpRequest,
    /// Where its response goes.
    pub responder: oneshot::Sender<OutgoingResponse>,
}

/// A response on its way to the client.
#[derive(Debug)]
pub struct OutgoingResponse {
    /// The response.
    pub response: HttpResponse,
    /// It is replaced by 503 if it can't be written by then: another process may be the primary.
    pub send_by: Option<Instant>,
}

/// Limits of the server.
#[derive(Clone, Copy, Debug)]
pub struct HttpLimits {
    /// Most connections.
    pub max_connections: usize,
    /// Memory of all bodies together, in bytes.
    pub max_body_memory_bytes: usize,
}

/// Queue of requests.
pub type RequestSender = mpsc::Sender<IncomingRequest>;

/// The open connections and their limits.
#[derive(Debug)]
struct Connections {
    open: AtomicUsize,
    max: usize,
}

impl Connections {
    fn is_full(&self) -> bool {
        self.open.load(Ordering::Relaxed) >= self.max
    }

    /// Whether so many are open that a connection is closed after its response.
    fn is_crowded(&self) -> bool {
        self.open.load(Ordering::Relaxed) * 100 > self.max * KEPT_CONNECTIONS_PERCENT
    }

    fn opened(&self) {
        self.open.fetch_add(1, Ordering::Relaxed);
    }

    fn closed(&self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What the handlers share.
#[derive(Clone, Debug)]
struct Shared {
    requests: RequestSender,
    connections: Arc<Connections>,
    body_budget: Arc<BodyBudget>,
}

/// Serves requests without end. Connections beyond the limit are closed at once, and those beyond most
/// of it after their response. Runs on the caller's
/// `LocalSet`.
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
        .with_state(Shared { requests, connections: Arc::clone(&connections), body_budget })
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
                log::warn!("accepting an HTTP connection failed error={error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if connections.is_full() {
            continue;
        }
        // Without it responses are later, but right.
        stream.set_nodelay(true).ok();
        let service = Rc::clone(&service);
        let connections = Arc::clone(&connections);
        connections.opened();
        spawn_local(async move {
            if let Err(error) = service.call((TcpStream::from(stream), peer)).await {
                log::debug!("HTTP connection failed peer={peer} error={error:?}");
            }
            connections.closed();
        });
    }
}

async fn handle(mut context: WebContext<'_, Shared>) -> Result<WebResponse, xitca_web::error::Error> {
    let request = context.take_request();
    let shared = context.state().clone();
    let mut reservation = BodyReservation::new(&shared.body_budget);
    let response = match read(request, &mut reservation).await {
        Ok(request) => submit(&shared.requests, request).await,
        Err(response) => response,
    };
    let mut web_response = respond(context, response);
    if shared.connections.is_crowded() {
        web_response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(web_response)
}

/// Reads a request with its body; the error is the response to it.
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
        // The memory of a longer body is taken as it arrives.
        body: Vec::with_capacity(length.unwrap_or(0).min(MAX_HEAD_BYTES)),
    };
    let mut body = std::pin::pin!(body);
    while let Some(chunk) = body.as_mut().data().await {
        let chunk = chunk.map_err(|_| HttpResponse::bad_request("the body broke off"))?;
        if request.body.len() + chunk.len() > MAX_BODY_BYTES {
            return Err(too_large());
        }
        if !reservation.grow(chunk.len()) {
            return Err(HttpResponse::overloaded());
        }
        request.body.extend_from_slice(&chunk);
    }
    Ok(request)
}

/// Submits a request to the loop and waits for the response.
async fn submit(requests: &RequestSender, request: HttpRequest) -> HttpResponse {
    let shutting_down = || HttpResponse::unavailable("this process is ending");
    let (responder, response) = oneshot::channel();
    if requests.send(IncomingRequest { request, responder }).await.is_err() {
        return shutting_down();
    }
    response.await.map_or_else(|_| shutting_down(), OutgoingResponse::in_time)
}

impl OutgoingResponse {
    /// The response, unless it is too late for it. The last check before it is written.
    fn in_time(self) -> HttpResponse {
        let is_late = self.send_by.is_some_and(|send_by| Instant::now() >= send_by);
        if is_late {
            HttpResponse::unavailable("the lease ended before the answer was sent")
        } else {
            self.response
        }
    }
}

fn respond(context: WebContext<'_, Shared>, response: HttpResponse) -> WebResponse {
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
