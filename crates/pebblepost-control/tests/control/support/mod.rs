//! A simulated deployment: control processes without I/O on simulated links and disks, with one simulated clock.

pub mod callers;
pub mod cluster;
pub mod documents;
pub mod network;
pub mod random;
pub mod store;
pub mod trace;

use pebblepost_control::api::{HttpRequest, HttpResponse};

/// Builds a request of an operator or a transcriber. `if_match` is the base version of a configuration change.
pub fn http_request(method: &str, path: &str, if_match: Option<u64>, body: Vec<u8>) -> HttpRequest {
    HttpRequest {
        method: method.into(),
        path: path.into(),
        if_match: if_match.map(|base| base.to_string()),
        body,
    }
}

/// Returns the status of a response, or 0 if there is none.
pub fn status(response: Option<HttpResponse>) -> u16 {
    response.map_or(0, |response| response.status)
}

/// Formats a response as a line of a transcript, with the first 160 characters of the body.
pub fn format_response(response: &HttpResponse) -> String {
    let location = response.location.as_ref().map(|to| format!(" Location: {to}")).unwrap_or_default();
    let body = String::from_utf8_lossy(&response.body);
    let excerpt: String = body.chars().take(160).collect();
    format!("{}{location} {excerpt}", response.status).trim_end().to_string()
}
