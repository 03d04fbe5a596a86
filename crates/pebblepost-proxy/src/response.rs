//! Responses to clients: those of transcribers unchanged, and the proxy's own.

use crate::activity::ConnectionActivity;
use crate::dispatch::{BrokenStream, EventBody};
use crate::request::Rejection;
use bytes::Bytes;
use http::header::{CONTENT_LENGTH, HeaderName, RETRY_AFTER};
use http::{HeaderMap, HeaderValue, Method, Response, StatusCode};
use hyper::body::{Body, Frame, SizeHint};
use pebblepost_transcriber::{BufferedResponse, ResponseHead};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// When a client may retry whose request was rejected for want of memory.
const RETRY_AFTER_NO_MEMORY: Duration = Duration::from_millis(250);
/// When a client may retry whose request was rejected for want of a configuration: after a restart
/// of all machines, the control plane takes about a second to elect a primary.
const RETRY_AFTER_NOT_CONFIGURED: Duration = Duration::from_millis(600);

/// Content of a response's body.
pub(crate) enum Payload {
    /// Complete.
    Buffered(Bytes),
    /// Events as they arrive.
    Events(EventBody),
}

/// Body of a response on a client's connection, which is idle again once this is dropped.
pub(crate) struct ResponseBody {
    payload: Payload,
    activity: ConnectionActivity,
}

impl ResponseBody {
    /// A body on a connection.
    pub(crate) fn new(payload: Payload, activity: ConnectionActivity) -> ResponseBody {
        ResponseBody { payload, activity }
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        self.activity.mark_request_ended();
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BrokenStream;

    fn poll_frame(
        mut self: Pin<&mut Self>, context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenStream>>> {
        match &mut self.payload {
            Payload::Buffered(bytes) if bytes.is_empty() => Poll::Ready(None),
            Payload::Buffered(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Payload::Events(events) => {
                events.poll_event(context).map(|next| next.map(|event| event.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(&self.payload, Payload::Buffered(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match &self.payload {
            Payload::Buffered(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Payload::Events(_) => SizeHint::default(),
        }
    }
}

/// A transcriber's buffered response: status, headers and body unchanged.
pub(crate) fn buffered(response: BufferedResponse, method: &Method) -> Response<Payload> {
    let BufferedResponse { head, body } = response;
    let has_no_body = *method == Method::HEAD || head.status == StatusCode::NOT_MODIFIED;
    let mut response = Response::new(Payload::Buffered(body));
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    if !has_no_body {
        response.headers_mut().remove(CONTENT_LENGTH);
    }
    response
}

/// The head of a transcriber's stream, with the events that follow.
pub(crate) fn streamed(head: ResponseHead, events: EventBody) -> Response<Payload> {
    let mut response = Response::new(Payload::Events(events));
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    response.headers_mut().remove(CONTENT_LENGTH);
    response
}

/// A response of the proxy's own, without a body.
pub(crate) fn empty(status: StatusCode) -> Response<Payload> {
    let mut response = Response::new(Payload::Buffered(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// 503: the request has not run and never will; the client may retry after `retry_after`.
pub(crate) fn not_executed(retry_after: Duration) -> Response<Payload> {
    let mut response = empty(StatusCode::SERVICE_UNAVAILABLE);
    if let Ok(value) = HeaderValue::from_str(&format!("{:.3}", retry_after.as_secs_f64())) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// The response to a request that is not forwarded.
pub(crate) fn rejected(rejection: Rejection) -> Response<Payload> {
    match rejection {
        Rejection::Malformed => empty(StatusCode::BAD_REQUEST),
        Rejection::NoRoute => empty(StatusCode::NOT_FOUND),
        Rejection::BodyTooLarge => empty(StatusCode::PAYLOAD_TOO_LARGE),
        Rejection::HeadTooLarge => empty(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE),
        Rejection::NoMemory => not_executed(RETRY_AFTER_NO_MEMORY),
        Rejection::NotConfigured => not_executed(RETRY_AFTER_NOT_CONFIGURED),
    }
}

/// Announces how long the connection may be idle.
pub(crate) fn set_keep_alive(headers: &mut HeaderMap, idle_timeout: Duration) {
    if let Ok(value) = HeaderValue::from_str(&format!("timeout={}", idle_timeout.as_secs())) {
        headers.insert(KEEP_ALIVE, value);
    }
}
