//! Checks request heads and removes the headers that concern only one connection.

use super::rejection::Rejection;
use http::header::{CONTENT_LENGTH, EXPECT, HOST, HeaderName};
use http::{HeaderMap, Method, Uri, request::Parts};
use pebblepost_configuration::Limits;
use pebblepost_transcriber::remove_connection_headers;
use std::time::Duration;

const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
const DEADLINE_MS: HeaderName = HeaderName::from_static("deadline-ms");
const TARGET_INSTANCE: HeaderName = HeaderName::from_static("target-instance");

/// Checked head of a request.
#[derive(Debug)]
pub(crate) struct RequestHead {
    /// HTTP method.
    pub(crate) method: Method,
    /// Path and query, as sent by the client.
    pub(crate) path: String,
    /// Value of `Host`, as sent by the client.
    pub(crate) host: String,
    /// Value of `Request-Id`; empty if the client sent none, as in calls about batch jobs.
    pub(crate) request_id: String,
    /// Value of `Deadline-Ms`: how long the client waits for the response.
    pub(crate) deadline: Option<Duration>,
    /// Headers to forward, without connection headers and those that the proxy sets itself.
    pub(crate) headers: HeaderMap,
}

impl RequestHead {
    /// Checks a request head.
    ///
    /// # Errors
    /// Returns [`Rejection::HeadTooLarge`] if the headers exceed the limit, and [`Rejection::Malformed`]
    /// if there is not exactly one `Host`, or the path, `Request-Id` or `Deadline-Ms` is invalid.
    pub(crate) fn check(parts: Parts, limits: &Limits) -> Result<RequestHead, Rejection> {
        let Parts { method, uri, mut headers, .. } = parts;
        if head_bytes(&method, &uri, &headers) > limits.max_header_bytes {
            return Err(Rejection::HeadTooLarge);
        }
        let host = single_value(&headers, HOST).ok_or(Rejection::Malformed)?.to_owned();
        let request_id = match headers.contains_key(REQUEST_ID) {
            true => single_value(&headers, REQUEST_ID).ok_or(Rejection::Malformed)?.to_owned(),
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

    /// Returns the path without the query.
    pub(crate) fn path_without_query(&self) -> &str {
        self.path.split('?').next().unwrap_or_default()
    }
}

/// Returns the size of the head on the wire, with one space behind each colon.
fn head_bytes(method: &Method, uri: &Uri, headers: &HeaderMap) -> usize {
    const REQUEST_LINE_SEPARATORS: usize = "  HTTP/1.1\r\n".len();
    const HEADER_SEPARATORS: usize = ": \r\n".len();
    const END: usize = "\r\n".len();
    let path = uri.path_and_query().map_or(0, |path| path.as_str().len());
    let fields = headers.iter().map(|(name, value)| name.as_str().len() + value.len() + HEADER_SEPARATORS);
    method.as_str().len() + path + REQUEST_LINE_SEPARATORS + fields.sum::<usize>() + END
}

/// Returns the value of a header that must occur exactly once and must not be empty.
fn single_value(headers: &HeaderMap, name: HeaderName) -> Option<&str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?;
    let is_single = values.next().is_none();
    value.to_str().ok().filter(|text| is_single && !text.is_empty())
}

/// Parses `Deadline-Ms`.
///
/// # Errors
/// Returns [`Rejection::Malformed`] if the value is not a valid duration.
fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, Rejection> {
    let Some(value) = headers.get(DEADLINE_MS) else { return Ok(None) };
    let text = value.to_str().map_err(|_| Rejection::Malformed)?;
    let milliseconds: f64 = text.trim().parse().map_err(|_| Rejection::Malformed)?;
    Duration::try_from_secs_f64(milliseconds / 1000.0).map(Some).map_err(|_| Rejection::Malformed)
}
