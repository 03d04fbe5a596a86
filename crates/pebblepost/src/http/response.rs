//! Encoder of responses that the daemon sends.

use std::time::Duration;

/// Returns the reason phrase of a status code, or `Error` for one that the daemon does not use.
pub fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        _ => "Error",
    }
}

/// Encodes a complete response. `extra_headers` holds further header lines, each with its CRLF.
pub fn encode_response(status: u16, extra_headers: &str, body: &[u8], keep_alive: bool) -> Vec<u8> {
    let close = if keep_alive { "" } else { "Connection: close\r\n" };
    let (phrase, length) = (reason_phrase(status), body.len());
    let head =
        format!("HTTP/1.1 {status} {phrase}\r\nContent-Length: {length}\r\n{extra_headers}{close}\r\n");
    [head.as_bytes(), body].concat()
}

/// Returns the `Retry-After` header line with its CRLF: how long a rejected client should wait, in seconds with three
/// decimals.
pub fn retry_after_header(after: Duration) -> String {
    format!("Retry-After: {:.3}\r\n", after.as_secs_f64())
}
