//! Reading of clients' requests, whole and within the limits.

use crate::memory::{MemoryBudget, Reservation};
use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_LENGTH, EXPECT, HOST, HeaderName};
use http::{HeaderMap, Method, request::Parts};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use pebblepost_configuration::Limits;
use pebblepost_transcriber::remove_connection_headers;
use std::time::Duration;

const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
const DEADLINE_MS: HeaderName = HeaderName::from_static("deadline-ms");
const TARGET_INSTANCE: HeaderName = HeaderName::from_static("target-instance");
/// Most bytes reserved ahead of their arrival, whatever length a client announces.
const MOST_AHEAD: usize = 1 << 20;

/// Why a request is answered without being sent on. None of these has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Rejection {
    /// 400.
    Malformed,
    /// 404: no route.
    NoRoute,
    /// 413.
    BodyTooLarge,
    /// 431.
    HeadTooLarge,
    /// 503: no memory for its body.
    NoMemory,
    /// 503: no configuration has come yet.
    NotConfigured,
}

/// Head of a request, checked.
#[derive(Debug)]
pub(crate) struct RequestHead {
    /// Method.
    pub(crate) method: Method,
    /// Path and query, as the client sent them.
    pub(crate) path: String,
    /// Host, as the client sent it.
    pub(crate) host: String,
    /// Its id; empty where there is none, as in the calls about a batch job.
    pub(crate) request_id: String,
    /// How long the client waits, where it says so.
    pub(crate) deadline: Option<Duration>,
    /// Headers to pass on: those of one connection, and what the proxy sets itself, are taken out.
    pub(crate) headers: HeaderMap,
}

impl RequestHead {
    /// Checks a head.
    pub(crate) fn check(parts: Parts, limits: &Limits) -> Result<RequestHead, Rejection> {
        let Parts { method, uri, mut headers, .. } = parts;
        if head_bytes(&headers) > limits.max_header_bytes {
            return Err(Rejection::HeadTooLarge);
        }
        let host = only_text(&headers, HOST).ok_or(Rejection::Malformed)?.to_owned();
        let request_id = match headers.contains_key(REQUEST_ID) {
            true => only_text(&headers, REQUEST_ID).ok_or(Rejection::Malformed)?.to_owned(),
            false => String::new(),
        };
        let path = uri.path_and_query().filter(|path| path.as_str().starts_with('/'));
        let path = path.ok_or(Rejection::Malformed)?.as_str().to_owned();
        let deadline = deadline(&headers)?;
        remove_connection_headers(&mut headers);
        for name in [CONTENT_LENGTH, EXPECT, DEADLINE_MS, TARGET_INSTANCE] {
            headers.remove(name);
        }
        Ok(RequestHead { method, path, host, request_id, deadline, headers })
    }

    /// Its path without the query.
    pub(crate) fn path_only(&self) -> &str {
        self.path.split('?').next().unwrap_or_default()
    }
}

/// About the bytes of a head on the wire.
fn head_bytes(headers: &HeaderMap) -> usize {
    const SEPARATORS: usize = 4;
    headers.iter().map(|(name, value)| name.as_str().len() + value.len() + SEPARATORS).sum()
}

/// The value of a header that must be there exactly once, and not empty.
fn only_text(headers: &HeaderMap, name: HeaderName) -> Option<&str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?;
    let once = values.next().is_none();
    value.to_str().ok().filter(|text| once && !text.is_empty())
}

/// `Deadline-Ms`; a value that is no number makes the request malformed.
fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, Rejection> {
    let Some(value) = headers.get(DEADLINE_MS) else { return Ok(None) };
    let text = value.to_str().map_err(|_| Rejection::Malformed)?;
    let milliseconds: f64 = text.trim().parse().map_err(|_| Rejection::Malformed)?;
    Duration::try_from_secs_f64(milliseconds / 1000.0).map(Some).map_err(|_| Rejection::Malformed)
}

/// A body, whole, with the memory that is reserved for it.
#[derive(Debug)]
pub(crate) struct BufferedBody {
    /// Its bytes.
    pub(crate) bytes: Bytes,
    _reservation: Reservation,
}

/// Reads a body to its end.
pub(crate) async fn read_body(
    mut body: Incoming, limits: &Limits, memory: &MemoryBudget,
) -> Result<BufferedBody, Rejection> {
    let mut reservation = memory.reservation();
    let announced = body.size_hint().lower();
    if announced > limits.max_body_bytes as u64 {
        return Err(Rejection::BodyTooLarge);
    }
    let announced = announced as usize;
    if !reservation.grow_to(announced) {
        return Err(Rejection::NoMemory);
    }
    let mut first = Bytes::new();
    let mut rest = BytesMut::new();
    loop {
        let next = tokio::time::timeout(limits.idle_timeout, body.frame()).await;
        let Some(frame) = next.map_err(|_| Rejection::Malformed)? else { break };
        let Ok(data) = frame.map_err(|_| Rejection::Malformed)?.into_data() else { continue };
        let total = first.len() + rest.len() + data.len();
        if total > limits.max_body_bytes {
            return Err(Rejection::BodyTooLarge);
        }
        if !reservation.grow_to(total) {
            return Err(Rejection::NoMemory);
        }
        if first.is_empty() && rest.is_empty() {
            first = data;
            continue;
        }
        if rest.is_empty() {
            rest.reserve(announced.clamp(total, total.max(MOST_AHEAD)));
            rest.extend_from_slice(&std::mem::take(&mut first));
        }
        rest.extend_from_slice(&data);
    }
    let bytes = if rest.is_empty() { first } else { rest.freeze() };
    Ok(BufferedBody { bytes, _reservation: reservation })
}
