//! Hop-by-hop headers: their removal, and what they state about the reuse of a connection.

use http::header::{CONNECTION, CONTENT_LENGTH, TE, TRAILER, TRANSFER_ENCODING, UPGRADE};
use http::{HeaderMap, HeaderName, StatusCode};
use std::time::Duration;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Time by which an idle connection is closed before the timeout of its `Keep-Alive` header, so that no request is sent
/// just when the peer closes it. The header counts whole seconds.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(300);

/// Removes the hop-by-hop headers (RFC 9110, section 7.6.1): `Connection` and those that it names, `Keep-Alive`,
/// `TE`, `Trailer`, `Transfer-Encoding`, `Upgrade` and `Proxy-*`.
pub fn remove_connection_headers(headers: &mut HeaderMap) {
    if headers.contains_key(CONNECTION) {
        let named_headers: Vec<HeaderName> = connection_options(headers)
            .filter_map(|option| HeaderName::from_bytes(option.as_bytes()).ok())
            .collect();
        for name in named_headers {
            headers.remove(name);
        }
        headers.remove(CONNECTION);
    }
    for name in [TE, TRAILER, TRANSFER_ENCODING, UPGRADE] {
        headers.remove(name);
    }
    headers.remove(KEEP_ALIVE);
    let proxy_headers: Vec<HeaderName> =
        headers.keys().filter(|name| name.as_str().starts_with("proxy-")).cloned().collect();
    for name in proxy_headers {
        headers.remove(name);
    }
}

/// Returns the options that the `Connection` headers list.
fn connection_options(headers: &HeaderMap) -> impl Iterator<Item = &str> {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(str::trim)
        .filter(|option| !option.is_empty())
}

/// Returns whether the peer closes the connection after this message.
pub(crate) fn closes_connection(headers: &HeaderMap) -> bool {
    connection_options(headers).any(|option| option.eq_ignore_ascii_case("close"))
}

/// Returns the maximum idle time of the connection: the peer's `Keep-Alive: timeout=N` less [`KEEP_ALIVE_MARGIN`], at
/// most `max_idle`. Returns `None` if the connection must not be reused.
pub(crate) fn idle_limit(headers: &HeaderMap, max_idle: Duration) -> Option<Duration> {
    if closes_connection(headers) {
        return None;
    }
    let Some(seconds) = keep_alive_timeout_seconds(headers) else { return Some(max_idle) };
    Duration::from_secs(seconds).checked_sub(KEEP_ALIVE_MARGIN).map(|limit| limit.min(max_idle))
}

/// Returns the `timeout` parameter of `Keep-Alive`, in seconds.
fn keep_alive_timeout_seconds(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    value.split(',').find_map(|parameter| {
        let (name, seconds) = parameter.split_once('=')?;
        if !name.trim().eq_ignore_ascii_case("timeout") {
            return None;
        }
        seconds.trim().trim_matches('"').parse().ok()
    })
}

/// Returns whether the end of the body can be distinguished from a broken connection (RFC 9112, section 6.3): the body
/// has a length or chunks, or the response has no body by definition.
pub(crate) fn is_delimited(status: StatusCode, headers: &HeaderMap, is_head_request: bool) -> bool {
    is_head_request
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED
        || headers.contains_key(CONTENT_LENGTH)
        || headers.contains_key(TRANSFER_ENCODING)
}
