//! Building of the request that goes out on a connection.

use crate::{ClientError, OutgoingRequest, Target};
use bytes::Bytes;
use http::header::{CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri};
use http_body_util::Full;
use std::time::Duration;

const TARGET_INSTANCE: HeaderName = HeaderName::from_static("target-instance");
const DEADLINE_MS: HeaderName = HeaderName::from_static("deadline-ms");

/// A request in the type that `hyper` sends.
pub(crate) type WireRequest = Request<Full<Bytes>>;

/// Builds the request; all but its deadline, which [`set_deadline`] adds when it is written.
pub(crate) fn build(target: &Target, outgoing: OutgoingRequest) -> Result<WireRequest, ClientError> {
    let OutgoingRequest { method, path, mut headers, body, .. } = outgoing;
    let uri = Uri::try_from(path).map_err(|_| ClientError::NotSent)?;
    let instance = HeaderValue::from_str(&target.instance).map_err(|_| ClientError::NotSent)?;
    headers.insert(TARGET_INSTANCE, instance);
    headers.remove(TRANSFER_ENCODING);
    headers.remove(CONTENT_LENGTH);
    if has_length(&method, &body) {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(body.len()));
    }
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    *request.uri_mut() = uri;
    *request.headers_mut() = headers;
    Ok(request)
}

/// Whether a request tells the length of its body, also where that is 0.
fn has_length(method: &Method, body: &Bytes) -> bool {
    !body.is_empty() || matches!(*method, Method::POST | Method::PUT | Method::PATCH)
}

/// Sets `Deadline-Ms` to the time that is left.
pub(crate) fn set_deadline(request: &mut WireRequest, left: Duration) {
    let milliseconds = u64::try_from(left.as_millis()).unwrap_or(u64::MAX).max(1);
    request.headers_mut().insert(DEADLINE_MS, HeaderValue::from(milliseconds));
}

/// A request of our own, such as one for a report; it carries no `Request-Id`.
pub(crate) fn own(
    target: &Target, method: Method, path: &str, body: Bytes, deadline: Duration,
) -> OutgoingRequest {
    let mut headers = HeaderMap::with_capacity(6);
    if let Ok(host) = HeaderValue::from_str(&target.address.to_string()) {
        headers.insert(HOST, host);
    }
    OutgoingRequest { method, path: path.to_owned(), headers, body, request_id: String::new(), deadline }
}
