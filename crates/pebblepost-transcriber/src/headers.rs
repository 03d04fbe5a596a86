//! Headers that concern one connection only, and what a connection's reuse depends on.

use http::header::{CONNECTION, CONTENT_LENGTH, TE, TRAILER, TRANSFER_ENCODING, UPGRADE};
use http::{HeaderMap, HeaderName, StatusCode};
use std::time::Duration;

/// `Keep-Alive` is told in whole seconds; the connection is given up this much earlier.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(300);

/// Removes the headers that concern one connection only: `Connection` and those that it names,
/// `Keep-Alive`, `TE`, `Trailer`, `Transfer-Encoding`, `Upgrade` and `Proxy-*`.
pub fn remove_connection_headers(headers: &mut HeaderMap) {
    if headers.contains_key(CONNECTION) {
        let named: Vec<HeaderName> = connection_options(headers)
            .filter_map(|option| HeaderName::from_bytes(option.as_bytes()).ok())
            .collect();
        for name in named {
            headers.remove(name);
        }
        headers.remove(CONNECTION);
    }
    for name in [TE, TRAILER, TRANSFER_ENCODING, UPGRADE] {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    let proxy: Vec<HeaderName> =
        headers.keys().filter(|name| name.as_str().starts_with("proxy-")).cloned().collect();
    for name in proxy {
        headers.remove(name);
    }
}

/// The options that `Connection` lists.
fn connection_options(headers: &HeaderMap) -> impl Iterator<Item = &str> {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(str::trim)
        .filter(|option| !option.is_empty())
}

/// Whether the peer closes the connection after this answer.
pub(crate) fn closes_connection(headers: &HeaderMap) -> bool {
    connection_options(headers).any(|option| option.eq_ignore_ascii_case("close"))
}

/// How long the connection may rest, by the peer's `Keep-Alive: timeout=N` and our own limit.
/// `None` if it must not be used again.
pub(crate) fn idle_allowance(headers: &HeaderMap, most: Duration) -> Option<Duration> {
    if closes_connection(headers) {
        return None;
    }
    let Some(seconds) = keep_alive_seconds(headers) else { return Some(most) };
    Duration::from_secs(seconds).checked_sub(KEEP_ALIVE_MARGIN).map(|allowance| allowance.min(most))
}

/// The `timeout` parameter of `Keep-Alive`.
fn keep_alive_seconds(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    value.split(',').find_map(|parameter| {
        let (name, seconds) = parameter.split_once('=')?;
        if !name.trim().eq_ignore_ascii_case("timeout") {
            return None;
        }
        seconds.trim().trim_matches('"').parse().ok()
    })
}

/// Whether the end of the body can be told from a broken connection: it has a length or chunks,
/// or there is no body by definition.
pub(crate) fn is_delimited(status: StatusCode, headers: &HeaderMap, head_request: bool) -> bool {
    head_request
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED
        || headers.contains_key(CONTENT_LENGTH)
        || headers.contains_key(TRANSFER_ENCODING)
}
