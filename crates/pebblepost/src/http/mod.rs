//! Incremental HTTP/1.1: message heads, bodies by length or in chunks, and responses.
//!
//! Works on buffers only; it opens no socket and keeps no connection.

mod body;
mod head;
mod json_stream;
mod malformed;
mod response;

pub use body::Body;
pub use head::{Framing, Head, MAX_BODY_BYTES, MAX_HEAD_BYTES, request_head, response_head};
pub use json_stream::{StreamItem, take_json, take_json_line};
pub use malformed::Malformed;
pub use response::{reason_phrase, response, retry_after};
