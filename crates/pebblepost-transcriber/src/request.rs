//! Builds the requests that are written to a connection.

use crate::error::ClientError;
use crate::model::{OutgoingRequest, Target};
use bytes::Bytes;
use http::header::{CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri};
use http_body_util::Full;
use std::time::Duration;

const TARGET_INSTANCE: HeaderName = HeaderName::from_static("target-instance");
const DEADLINE_MS: HeaderName = HeaderName::from_static("deadline-ms");

/// Capacity for the headers of a request without an id, including those that [`build`] and [`set_deadline`] add.
const HEADER_CAPACITY_WITHOUT_ID: usize = 6;

/// A request as `hyper` takes it.
pub(crate) type WireRequest = Request<Full<Bytes>>;

/// Builds a request without `Deadline-Ms`, which [`set_deadline`] adds when the request is written.
///
/// # Errors
///
/// Returns [`ClientError::NotSent`] if the path is not a valid URI or the instance id is not a valid header value.
pub(crate) fn build(target: &Target, outgoing: OutgoingRequest) -> Result<WireRequest, ClientError> {
    let OutgoingRequest { method, path, mut headers, body, .. } = outgoing;
    let uri = Uri::try_from(path).map_err(|_| ClientError::NotSent)?;
    let instance = HeaderValue::from_str(&target.instance).map_err(|_| ClientError::NotSent)?;
    headers.insert(TARGET_INSTANCE, instance);
    headers.remove(TRANSFER_ENCODING);
    headers.remove(CONTENT_LENGTH);
    if has_content_length(&method, &body) {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(body.len()));
    }
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    *request.uri_mut() = uri;
    *request.headers_mut() = headers;
    Ok(request)
}

/// Returns whether a request carries `Content-Length`: it has a body, or its method anticipates one (RFC 9110, section
/// 8.6).
fn has_content_length(method: &Method, body: &Bytes) -> bool {
    !body.is_empty() || matches!(*method, Method::POST | Method::PUT | Method::PATCH)
}

/// Sets `Deadline-Ms` to the time left, at least 1 ms.
pub(crate) fn set_deadline(request: &mut WireRequest, time_left: Duration) {
    let milliseconds = u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX).max(1);
    request.headers_mut().insert(DEADLINE_MS, HeaderValue::from(milliseconds));
}

/// Creates a request without a `Request-Id`, for a load report or a load order.
pub(crate) fn new_without_id(
    target: &Target, method: Method, path: &str, body: Bytes, timeout: Duration,
) -> OutgoingRequest {
    let mut headers = HeaderMap::with_capacity(HEADER_CAPACITY_WITHOUT_ID);
    if let Ok(host) = HeaderValue::from_str(&target.address.to_string()) {
        headers.insert(HOST, host);
    }
    OutgoingRequest { method, path: path.to_owned(), headers, body, request_id: String::new(), timeout }
}
