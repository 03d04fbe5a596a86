//! Reading of an answer: its head is checked, its body is read whole.

use crate::connection::Connection;
use crate::headers::{idle_allowance, is_delimited, remove_connection_headers};
use crate::report::parse_instance_load;
use crate::{ClientError, ResponseHead};
use bytes::{Bytes, BytesMut};
use http::header::CONTENT_ENCODING;
use http::{HeaderMap, Response, StatusCode};
use hyper::body::{Body, Incoming};
use std::future::poll_fn;
use std::time::Duration;

/// A head that was checked, and what its connection allows after the body.
pub(crate) struct CheckedHead {
    pub(crate) head: ResponseHead,
    /// The end of the body can be told from a broken connection.
    pub(crate) delimited: bool,
    /// How long the connection may rest after the body; `None` if it must be closed.
    pub(crate) allowance: Option<Duration>,
}

/// What is asked of an answer.
#[derive(Clone, Copy)]
pub(crate) struct Expected<'a> {
    /// Id that must come back; empty where none was sent.
    pub(crate) request_id: &'a str,
    /// The request was a `HEAD`.
    pub(crate) head_request: bool,
    /// Longest rest of the connection.
    pub(crate) idle: Duration,
}

/// Checks a head: the answer must be that of our request, and the body that of the transcriber.
pub(crate) fn check_head(
    response: Response<Incoming>, expected: Expected<'_>,
) -> Result<(CheckedHead, Incoming), ClientError> {
    let (parts, body) = response.into_parts();
    let mut headers = parts.headers;
    if !is_answer_to(&headers, expected.request_id) {
        log::debug!("answer to another request, status {}", parts.status);
        return Err(ClientError::MayHaveRun);
    }
    if headers.contains_key(CONTENT_ENCODING) {
        return Err(ClientError::MayHaveRun);
    }
    let delimited = is_delimited(parts.status, &headers, expected.head_request);
    let allowance = idle_allowance(&headers, expected.idle);
    remove_connection_headers(&mut headers);
    let not_executed =
        headers.contains_key("not-executed") || parts.status == StatusCode::MISDIRECTED_REQUEST;
    let load =
        headers.get("instance-load").and_then(|value| value.to_str().ok()).and_then(parse_instance_load);
    let head = ResponseHead { status: parts.status, headers, not_executed, load };
    Ok((CheckedHead { head, delimited, allowance }, body))
}

/// Whether an answer belongs to the request with this id. An answer to a request without an id
/// names none.
fn is_answer_to(headers: &HeaderMap, request_id: &str) -> bool {
    let returned = headers.get("request-id").map_or(&b""[..], |value| value.as_bytes());
    returned == request_id.as_bytes()
}

/// Reads a body to its complete end.
pub(crate) async fn read_body(
    connection: &mut Connection, mut body: Incoming, most_bytes: usize,
) -> Result<Bytes, ClientError> {
    let announced = body.size_hint().lower();
    if announced > most_bytes as u64 {
        return Err(ClientError::MayHaveRun);
    }
    let mut first = Bytes::new();
    let mut rest = BytesMut::new();
    while let Some(frame) = poll_fn(|context| connection.poll_frame(&mut body, context)).await {
        let Ok(data) = frame.map_err(|_| ClientError::MayHaveRun)?.into_data() else { continue };
        if first.len() + rest.len() + data.len() > most_bytes {
            return Err(ClientError::MayHaveRun);
        }
        if first.is_empty() && rest.is_empty() {
            first = data;
            continue;
        }
        if rest.is_empty() {
            rest.reserve(usize::try_from(announced).unwrap_or(0).max(first.len() + data.len()));
            rest.extend_from_slice(&std::mem::take(&mut first));
        }
        rest.extend_from_slice(&data);
    }
    Ok(if rest.is_empty() { first } else { rest.freeze() })
}
