//! Validation of the head of a response, and reading of its body.

use crate::connection::Connection;
use crate::error::ClientError;
use crate::headers::{idle_limit, is_delimited, remove_connection_headers};
use crate::load::parse_instance_load;
use crate::model::ResponseHead;
use bytes::{Bytes, BytesMut};
use http::header::CONTENT_ENCODING;
use http::{HeaderMap, HeaderName, Response, StatusCode};
use hyper::body::{Body, Incoming};
use std::future::poll_fn;
use std::time::Duration;

const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
const INSTANCE_LOAD: HeaderName = HeaderName::from_static("instance-load");

/// A validated head, and how the body and the connection continue after it.
pub(crate) struct ValidatedResponse {
    pub(crate) head: ResponseHead,
    pub(crate) framing: Framing,
}

/// How the end of the body is recognized, and whether the connection can be reused after it.
#[derive(Clone, Copy)]
pub(crate) struct Framing {
    /// Whether the end of the body can be distinguished from a broken connection.
    pub(crate) is_delimited: bool,
    /// Maximum idle time of the connection after the body; `None` if it must be closed.
    pub(crate) idle_limit: Option<Duration>,
}

/// Properties of the request that its response is validated against.
#[derive(Clone, Copy)]
pub(crate) struct Expectation<'a> {
    /// `Request-Id` that the response must carry; empty if the request has none.
    pub(crate) request_id: &'a str,
    /// Whether the request is a `HEAD`, whose response has no body.
    pub(crate) is_head_request: bool,
    /// Maximum idle time of a connection by the limits of the client.
    pub(crate) max_idle: Duration,
}

/// Validates the head of a response and removes its hop-by-hop headers.
///
/// # Errors
///
/// Returns [`ClientError::MayHaveRun`] if the response belongs to another request or has a `Content-Encoding`.
pub(crate) fn validate(
    response: Response<Incoming>, expectation: Expectation<'_>,
) -> Result<(ValidatedResponse, Incoming), ClientError> {
    let (parts, body) = response.into_parts();
    let mut headers = parts.headers;
    if !has_request_id(&headers, expectation.request_id) {
        log::debug!("response has the wrong Request-Id, discarded status={}", parts.status);
        return Err(ClientError::MayHaveRun);
    }
    if headers.contains_key(CONTENT_ENCODING) {
        return Err(ClientError::MayHaveRun);
    }
    let framing = Framing {
        is_delimited: is_delimited(parts.status, &headers, expectation.is_head_request),
        idle_limit: idle_limit(&headers, expectation.max_idle),
    };
    remove_connection_headers(&mut headers);
    let not_executed = headers.contains_key(NOT_EXECUTED) || parts.status == StatusCode::MISDIRECTED_REQUEST;
    let load = headers.get(INSTANCE_LOAD).and_then(|value| value.to_str().ok()).and_then(parse_instance_load);
    let head = ResponseHead { status: parts.status, headers, not_executed, load };
    Ok((ValidatedResponse { head, framing }, body))
}

/// Returns whether the response carries this `Request-Id`, or none if `request_id` is empty.
fn has_request_id(headers: &HeaderMap, request_id: &str) -> bool {
    let response_id = headers.get(REQUEST_ID).map_or(&b""[..], |value| value.as_bytes());
    response_id == request_id.as_bytes()
}

/// Reads a body to its end. A body that arrives in one frame is not copied.
///
/// # Errors
///
/// Returns [`ClientError::MayHaveRun`] if the body is truncated or larger than `max_bytes`.
pub(crate) async fn read_body(
    connection: &mut Connection, mut body: Incoming, max_bytes: usize,
) -> Result<Bytes, ClientError> {
    let content_length = body.size_hint().lower();
    if content_length > max_bytes as u64 {
        return Err(ClientError::MayHaveRun);
    }
    let mut first = Bytes::new();
    let mut buffer = BytesMut::new();
    while let Some(frame) = poll_fn(|context| connection.poll_frame(&mut body, context)).await {
        let Ok(data) = frame.map_err(|_| ClientError::MayHaveRun)?.into_data() else { continue };
        if first.len() + buffer.len() + data.len() > max_bytes {
            return Err(ClientError::MayHaveRun);
        }
        if first.is_empty() && buffer.is_empty() {
            first = data;
            continue;
        }
        if buffer.is_empty() {
            buffer.reserve(usize::try_from(content_length).unwrap_or(0).max(first.len() + data.len()));
            buffer.extend_from_slice(&std::mem::take(&mut first));
        }
        buffer.extend_from_slice(&data);
    }
    Ok(if buffer.is_empty() { first } else { buffer.freeze() })
}
