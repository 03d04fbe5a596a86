//! Incremental HTTP/1.1 parser and response encoder: message heads, and bodies delimited by length, chunks or close.
//!
//! It operates on buffers only and does no I/O.

mod body;
mod head;
mod json_stream;
mod malformed;
mod response;

pub use body::Body;
pub use head::{Framing, Head, MAX_BODY_BYTES, MAX_HEAD_BYTES, take_request_head, take_response_head};
pub use json_stream::{StreamItem, take_json, take_trimmed_line};
pub use malformed::Malformed;
pub use response::{encode_response, reason_phrase, retry_after_header};
