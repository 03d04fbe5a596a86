//! HTTP responses of the job calls.

use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use std::time::Duration;

/// A response without a body.
pub(super) fn empty(status: StatusCode) -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = status;
    response
}

/// A response that gives a reason.
pub(super) fn text(status: StatusCode, reason: &str) -> Response<Bytes> {
    with_body(status, "text/plain", Bytes::copy_from_slice(reason.as_bytes()))
}

/// A response with a JSON body.
pub(super) fn json(status: StatusCode, body: Bytes) -> Response<Bytes> {
    with_body(status, "application/json", body)
}

/// A response with the bytes of an item's body.
pub(super) fn octets(body: Bytes) -> Response<Bytes> {
    with_body(StatusCode::OK, "application/octet-stream", body)
}

/// A rejection: the call was surely not executed and may be repeated after this time.
pub(super) fn retry_after(status: StatusCode, time: Duration) -> Response<Bytes> {
    let mut response = empty(status);
    if let Ok(seconds) = HeaderValue::from_str(&format!("{:.3}", time.as_secs_f64())) {
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    response
}

fn with_body(status: StatusCode, content_type: &'static str, body: Bytes) -> Response<Bytes> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
