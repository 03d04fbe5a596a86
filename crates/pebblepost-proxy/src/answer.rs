//! Answers to clients: those of transcribers unchanged, and the proxy's own.

use crate::dispatch::{BrokenStream, EventBody};
use crate::request::Rejection;
use crate::tracked_stream::Activity;
use bytes::Bytes;
use http::header::{CONTENT_LENGTH, HeaderName, RETRY_AFTER};
use http::{HeaderMap, HeaderValue, Method, Response, StatusCode};
use hyper::body::{Body, Frame, SizeHint};
use pebblepost_transcriber::{BufferedResponse, ResponseHead};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// When a client may come back that was refused for want of memory.
const RETRY_SOON: Duration = Duration::from_millis(250);
/// When a client may come back that was refused for want of a configuration: after a restart of
/// all, a new primary of the control plane takes about a second to stand.
const RETRY_WHEN_CONFIGURED: Duration = Duration::from_millis(600);

/// Body of an answer.
pub(crate) enum Payload {
    /// Whole.
    Whole(Bytes),
    /// Events as they arrive.
    Events(EventBody),
}

/// Body of an answer on a client's connection, which rests again once this is dropped.
pub(crate) struct AnswerBody {
    payload: Payload,
    activity: Activity,
}

impl AnswerBody {
    /// A body on a connection.
    pub(crate) fn new(payload: Payload, activity: Activity) -> AnswerBody {
        AnswerBody { payload, activity }
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        self.activity.request_ended();
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BrokenStream;

    fn poll_frame(
        mut self: Pin<&mut Self>, context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenStream>>> {
        match &mut self.payload {
            Payload::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            Payload::Whole(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Payload::Events(events) => {
                events.poll_event(context).map(|next| next.map(|e| e.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(&self.payload, Payload::Whole(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match &self.payload {
            Payload::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Payload::Events(_) => SizeHint::default(),
        }
    }
}

/// A transcriber's whole answer: status, headers and body unchanged.
pub(crate) fn of_transcriber(answer: BufferedResponse, method: &Method) -> Response<Payload> {
    let BufferedResponse { head, body } = answer;
    let bodiless = *method == Method::HEAD || head.status == StatusCode::NOT_MODIFIED;
    let mut response = Response::new(Payload::Whole(body));
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    if !bodiless {
        response.headers_mut().remove(CONTENT_LENGTH);
    }
    response
}

/// The head of a transcriber's stream, with the events that follow.
pub(crate) fn of_stream(head: ResponseHead, events: EventBody) -> Response<Payload> {
    let mut response = Response::new(Payload::Events(events));
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    response.headers_mut().remove(CONTENT_LENGTH);
    response
}

/// An answer of the proxy's own.
pub(crate) fn own(status: StatusCode) -> Response<Payload> {
    let mut response = Response::new(Payload::Whole(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// The promise that a request has not run and never will, with advice on when to come back.
pub(crate) fn refused(after: Duration) -> Response<Payload> {
    let mut response = own(StatusCode::SERVICE_UNAVAILABLE);
    if let Ok(value) = HeaderValue::from_str(&format!("{:.3}", after.as_secs_f64())) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// The answer to a request that is not sent on.
pub(crate) fn rejected(rejection: Rejection) -> Response<Payload> {
    match rejection {
        Rejection::Malformed => own(StatusCode::BAD_REQUEST),
        Rejection::NoRoute => own(StatusCode::NOT_FOUND),
        Rejection::BodyTooLarge => own(StatusCode::PAYLOAD_TOO_LARGE),
        Rejection::HeadTooLarge => own(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE),
        Rejection::NoMemory => refused(RETRY_SOON),
        Rejection::NotConfigured => refused(RETRY_WHEN_CONFIGURED),
    }
}

/// Tells how long the connection may rest.
pub(crate) fn set_keep_alive(headers: &mut HeaderMap, idle: Duration) {
    if let Ok(value) = HeaderValue::from_str(&format!("timeout={}", idle.as_secs())) {
        headers.insert(KEEP_ALIVE, value);
    }
}
