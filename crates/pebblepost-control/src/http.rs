//! HTTP front of the control plane: `xitca-web` on the process's own single-threaded runtime.
//!
//! `xitca-web`'s own server starts threads and listens for signals itself, so only its application
//! and its HTTP/1 service are used: the listener and its tasks live on the caller's `LocalSet`.

use crate::api::{HttpRequest, HttpResponse, MAX_BODY_BYTES};
use eyre::{Result, WrapErr, eyre};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use xitca_http::HttpServiceBuilder;
use xitca_http::config::HttpServiceConfig;
use xitca_io::net::TcpStream;
use xitca_web::body::{BodyExt, RequestBody, ResponseBody};
use xitca_web::http::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderValue, IF_MATCH, LOCATION};
use xitca_web::http::{Request, RequestExt, StatusCode, WebResponse};
use xitca_web::service::{Service, ServiceExt, fn_service};
use xitca_web::{App, WebContext};

/// Largest head of a request.
const MOST_HEAD_BYTES: usize = 64 * 1024;
/// Time for a request's head.
const HEAD_TIME: Duration = Duration::from_secs(3);
/// Longest rest of a connection.
const IDLE_TIME: Duration = Duration::from_secs(15);
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A call that came, and where its answer goes.
#[derive(Debug)]
pub struct IncomingRequest {
    /// The call.
    pub request: HttpRequest,
    /// Where its answer goes.
    pub reply: oneshot::Sender<HttpResponse>,
}

/// Where calls are handed in.
pub type RequestSender = mpsc::Sender<IncomingRequest>;

/// Serves calls until the listener fails for good. Connections beyond `most_connections` are closed
/// at once. Runs on the caller's `LocalSet`.
pub async fn serve(listener: TcpListener, calls: RequestSender, most_connections: usize) -> Result<()> {
    let config = HttpServiceConfig::new()
        .request_head_timeout(HEAD_TIME)
        .keep_alive_timeout(IDLE_TIME)
        .max_read_buf_size::<MOST_HEAD_BYTES>();
    let service = App::new()
        .with_state(calls)
        .at("/config", fn_service(handle))
        .at("/version-put", fn_service(handle))
        .at("/instances/{id}", fn_service(handle))
        .at("/retire/{node}", fn_service(handle))
        .finish()
        .enclosed(HttpServiceBuilder::h1().config(config));
    let service = service.call(()).await.map_err(|error| eyre!("starting the HTTP service: {error:?}"))?;
    let service = Rc::new(service);
    let open = Rc::new(Cell::new(0));
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("accepting a call: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if open.get() >= most_connections {
            continue;
        }
        stream.set_nodelay(true).wrap_err_with(|| format!("setting up the connection of {peer}")).ok();
        let service = Rc::clone(&service);
        let open = Rc::clone(&open);
        open.set(open.get() + 1);
        spawn_local(async move {
            if let Err(error) = service.call((TcpStream::from(stream), peer)).await {
                log::debug!("connection of {peer}: {error:?}");
            }
            open.set(open.get() - 1);
        });
    }
}

async fn handle(mut context: WebContext<'_, RequestSender>) -> Result<WebResponse, xitca_web::error::Error> {
    let request = context.take_request();
    let calls = context.state().clone();
    let answer = match read(request).await {
        Ok(call) => ask(&calls, call).await,
        Err(answer) => answer,
    };
    Ok(respond(context, answer))
}

async fn read(request: Request<RequestExt<RequestBody>>) -> Result<HttpRequest, HttpResponse> {
    let too_large = || HttpResponse::error(413, "the body is too large");
    let (head, body) = request.into_parts();
    let length = head.headers.get(CONTENT_LENGTH).and_then(|length| length.to_str().ok()?.parse().ok());
    if length.is_some_and(|length: usize| length > MAX_BODY_BYTES) {
        return Err(too_large());
    }
    let if_match = head.headers.get(IF_MATCH).and_then(|version| version.to_str().ok());
    let mut call = HttpRequest {
        method: head.method.as_str().into(),
        path: head.uri.path().into(),
        if_match: if_match.map(String::from),
        body: Vec::with_capacity(length.unwrap_or(0)),
    };
    let mut body = std::pin::pin!(body);
    while let Some(piece) = body.as_mut().data().await {
        let piece = piece.map_err(|_| HttpResponse::bad_request("the body broke off"))?;
        if call.body.len() + piece.len() > MAX_BODY_BYTES {
            return Err(too_large());
        }
        call.body.extend_from_slice(&piece);
    }
    Ok(call)
}

async fn ask(calls: &RequestSender, call: HttpRequest) -> HttpResponse {
    let (reply, answer) = oneshot::channel();
    if calls.send(IncomingRequest { request: call, reply }).await.is_err() {
        return HttpResponse::unavailable("this process is ending");
    }
    answer.await.unwrap_or_else(|_| HttpResponse::unavailable("this process is ending"))
}

fn respond(context: WebContext<'_, RequestSender>, answer: HttpResponse) -> WebResponse {
    let mut response = context.into_response(ResponseBody::bytes(answer.body));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    if let Some(location) = answer.location.and_then(|location| HeaderValue::from_str(&location).ok()) {
        response.headers_mut().insert(LOCATION, location);
    }
    response
}
