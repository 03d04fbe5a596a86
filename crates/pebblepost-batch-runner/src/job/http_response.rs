//! HTTP responses to the calls of batch jobs.

use super::body::JobBody;
use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use std::time::Duration;

/// Returns a response without a body.
pub(super) fn empty(status: StatusCode) -> Response<JobBody> {
    let mut response = Response::new(JobBody::default());
    *response.status_mut() = status;
    response
}

/// Returns a response with a reason as plain text.
pub(super) fn plain_text(status: StatusCode, reason: &str) -> Response<JobBody> {
    with_body(status, "text/plain", Bytes::copy_from_slice(reason.as_bytes()).into())
}

/// Returns a response with a JSON body.
pub(super) fn json(status: StatusCode, body: JobBody) -> Response<JobBody> {
    with_body(status, "application/json", body)
}

/// Returns a response with the bytes of an item's body.
pub(super) fn octet_stream(body: JobBody) -> Response<JobBody> {
    with_body(StatusCode::OK, "application/octet-stream", body)
}

/// Returns a rejection: the call was certainly not executed and may be repeated after `time`.
pub(super) fn retry_after(status: StatusCode, time: Duration) -> Response<JobBody> {
    let mut response = empty(status);
    if let Ok(seconds) = HeaderValue::from_str(&format!("{:.3}", time.as_secs_f64())) {
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    response
}

fn with_body(status: StatusCode, content_type: &'static str, body: JobBody) -> Response<JobBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
