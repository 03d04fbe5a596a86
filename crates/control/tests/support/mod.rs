//! A simulated deployment: control processes without I/O, links, disks and a clock.
#![allow(dead_code)]

pub mod cluster;
pub mod documents;
pub mod store;

use pebblepost_control::api::Answer;

/// One line for an answer, as transcripts show it.
pub fn shown(answer: &Answer) -> String {
    let location = answer.location.as_ref().map(|to| format!(" Location: {to}")).unwrap_or_default();
    let body = String::from_utf8_lossy(&answer.body);
    let shown: String = body.chars().take(160).collect();
    format!("{}{location} {shown}", answer.status).trim_end().to_string()
}
