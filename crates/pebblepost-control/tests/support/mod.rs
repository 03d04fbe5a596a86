//! A simulated deployment: control processes without I/O, links, disks and a clock.
#![allow(dead_code)]

pub mod cluster;
pub mod documents;
pub mod random;
pub mod store;
pub mod trace;

use pebblepost_control::api::{HttpRequest, HttpResponse};

/// A call as the operator and the transcribers send it.
pub fn call(method: &str, path: &str, if_match: Option<u64>, body: Vec<u8>) -> HttpRequest {
    HttpRequest {
        method: method.into(),
        path: path.into(),
        if_match: if_match.map(|base| base.to_string()),
        body,
    }
}

/// Status of an answer, 0 for none.
pub fn status(answer: Option<HttpResponse>) -> u16 {
    answer.map_or(0, |answer| answer.status)
}

/// One line for an answer, as transcripts show it.
pub fn shown(answer: &HttpResponse) -> String {
    let location = answer.location.as_ref().map(|to| format!(" Location: {to}")).unwrap_or_default();
    let body = String::from_utf8_lossy(&answer.body);
    let shown: String = body.chars().take(160).collect();
    format!("{}{location} {shown}", answer.status).trim_end().to_string()
}
