//! Responses to clients: forwarded responses of transcribers, and the proxy's own.

use crate::activity::ConnectionActivity;
use crate::dispatch::{BrokenStream, EventBody};
use crate::request::Rejection;
use bytes::Bytes;
use http::header::{CONTENT_LENGTH, HeaderName, RETRY_AFTER};
use http::{HeaderMap, HeaderValue, Method, Response, StatusCode};
use hyper::body::{Body, Frame, SizeHint};
use pebblepost_batch_runner::JobBody;
use pebblepost_transcriber::{BufferedResponse, ResponseHead};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Retry delay for a client whose request was rejected because the memory budget was exhausted.
const RETRY_AFTER_NO_MEMORY: Duration = Duration::from_millis(250);
/// Retry delay for a client whose request was rejected because there was no configuration yet. After a
/// restart of all machines, the control plane takes about a second to elect a primary.
const RETRY_AFTER_NOT_CONFIGURED: Duration = Duration::from_millis(600);

/// Content of a response body.
pub(crate) enum Payload {
    /// A complete body.
    Buffered(Bytes),
    /// Events that are forwarded as they arrive.
    Events(EventBody),
    /// The answer to a call about a batch job.
    Job(JobBody),
}

/// Body of a response on a client connection. Dropping it marks the connection as idle.
pub(crate) struct ResponseBody {
    payload: Payload,
    activity: ConnectionActivity,
}

impl ResponseBody {
    /// Creates a body that is sent on the connection with this activity.
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
            Payload::Job(body) => Poll::Ready(body.next_chunk().map(|chunk| Ok(Frame::data(chunk)))),
            Payload::Events(events) => {
                events.poll_event(context).map(|next| next.map(|event| event.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.payload {
            Payload::Buffered(bytes) => bytes.is_empty(),
            Payload::Job(body) => body.remaining_bytes() == 0,
            Payload::Events(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.payload {
            Payload::Buffered(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Payload::Job(body) => SizeHint::with_exact(body.remaining_bytes()),
            Payload::Events(_) => SizeHint::default(),
        }
    }
}

/// Builds the response to the client from a transcriber's complete response, with its status, headers
/// and body. `Content-Length` is kept only where there is no body; otherwise hyper sets it.
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

/// Builds the response to the client from the head of a transcriber's stream and its events.
pub(crate) fn streamed(head: ResponseHead, events: EventBody) -> Response<Payload> {
    let mut response = Response::new(Payload::Events(events));
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    response.headers_mut().remove(CONTENT_LENGTH);
    response
}

/// Builds a response of the proxy itself, without a body.
pub(crate) fn empty(status: StatusCode) -> Response<Payload> {
    let mut response = Response::new(Payload::Buffered(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Builds a 503 response: no transcriber has executed the request, and none will. The client may retry
/// after `retry_after`.
pub(crate) fn not_executed(retry_after: Duration) -> Response<Payload> {
    let mut response = empty(StatusCode::SERVICE_UNAVAILABLE);
    if let Ok(value) = HeaderValue::from_str(&format!("{:.3}", retry_after.as_secs_f64())) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// Builds the response to a request that was rejected before dispatch.
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

/// Sets the `Keep-Alive` header, which tells the client how long the connection may be idle.
pub(crate) fn set_keep_alive(headers: &mut HeaderMap, idle_timeout: Duration) {
    if let Ok(value) = HeaderValue::from_str(&format!("timeout={}", idle_timeout.as_secs())) {
        headers.insert(KEEP_ALIVE, value);
    }
}
