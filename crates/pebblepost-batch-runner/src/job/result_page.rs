//! JSON serialization of the results of a batch job.

use bytes::Bytes;
use pebblepost_messages::batch::{ItemResult, ResultPage, ResultState};
use std::io::Write;

/// Maximum size of the results in one answer. At least one result is included, whatever its size.
pub const MAX_PAGE_BYTES: usize = 1024 * 1024;

/// Returns the body of the answer to `GET /lots/ID`.
pub fn to_json(page: &ResultPage) -> Bytes {
    let mut results = Vec::with_capacity(page.results.len() * 128);
    let mut count = 0;
    for result in &page.results {
        let start = results.len();
        if count > 0 {
            results.push(b',');
        }
        write_result(result, &mut results);
        if count > 0 && results.len() > MAX_PAGE_BYTES {
            results.truncate(start);
            break;
        }
        count += 1;
    }
    let mut json = Vec::with_capacity(results.len() + 64);
    let next_token = page.start.saturating_add(count);
    // Writing into a vector cannot fail.
    let _ = write!(json, "{{\"total\":{},\"next_token\":{next_token},\"results\":[", page.total);
    json.extend_from_slice(&results);
    json.extend_from_slice(b"]}");
    Bytes::from(json)
}

fn write_result(result: &ItemResult, json: &mut Vec<u8>) {
    let state = match result.state {
        ResultState::Completed => "completed",
        ResultState::DeadLetter => "dead_letter",
    };
    json.extend_from_slice(b"{\"id\":");
    write_string(&result.id, json);
    let _ = write!(json, ",\"state\":\"{state}\",\"message\":");
    write_string(&String::from_utf8_lossy(&result.message), json);
    json.extend_from_slice(b",\"versions\":[");
    for (position, version) in result.versions.iter().enumerate() {
        let separator = if position == 0 { "" } else { "," };
        let _ = write!(json, "{separator}{version}");
    }
    json.push(b']');
    if !result.score.is_empty() {
        json.extend_from_slice(b",\"score\":");
        write_string(&result.score, json);
    }
    json.push(b'}');
}

/// Writes a JSON string with its quotes, escaping `"`, `\` and control characters.
fn write_string(text: &str, json: &mut Vec<u8>) {
    json.push(b'"');
    let mut unescaped_start = 0;
    for (index, byte) in text.bytes().enumerate() {
        if byte >= 0x20 && byte != b'"' && byte != b'\\' {
            continue;
        }
        json.extend_from_slice(&text.as_bytes()[unescaped_start..index]);
        unescaped_start = index + 1;
        match byte {
            b'"' => json.extend_from_slice(b"\\\""),
            b'\\' => json.extend_from_slice(b"\\\\"),
            b'\n' => json.extend_from_slice(b"\\n"),
            b'\r' => json.extend_from_slice(b"\\r"),
            b'\t' => json.extend_from_slice(b"\\t"),
            _ => {
                let _ = write!(json, "\\u{byte:04x}");
            }
        }
    }
    json.extend_from_slice(&text.as_bytes()[unescaped_start..]);
    json.push(b'"');
}
