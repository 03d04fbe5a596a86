//! A simulated deployment: control processes without I/O, links, disks and a clock.

pub mod callers;
pub mod cluster;
pub mod documents;
pub mod network;
pub mod random;
pub mod store;
pub mod trace;

use pebblepost_control::api::{HttpRequest, HttpResponse};

/// A request of an operator or a transcriber.
pub fn http_request(method: &str, path: &str, if_match: Option<u64>, body: Vec<u8>) -> HttpRequest {
    HttpRequest {
        method: method.into(),
        path: path.into(),
        if_match: if_match.map(|base| base.to_string()),
        body,
    }
}

/// Status of a response, 0 for none.
pub fn status(response: Option<HttpResponse>) -> u16 {
    response.map_or(0, |response| response.status)
}

/// One line for a response, as transcripts show it.
pub fn shown(response: &HttpResponse) -> String {
    let location = response.location.as_ref().map(|to| format!(" Location: {to}")).unwrap_or_default();
    let body = String::from_utf8_lossy(&response.body);
    let shown: String = body.chars().take(160).collect();
    format!("{}{location} {shown}", response.status).trim_end().to_string()
}
