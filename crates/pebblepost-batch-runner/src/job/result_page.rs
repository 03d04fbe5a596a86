//! JSON serialization of the results of a batch job.
//!
//! As JSON a text may take six times its length. A page is therefore written as a whole only if its first text is short;
//! a longer text is written in chunks while it is sent.

use super::body::{CHUNK_BYTES, JobBody};
use bytes::Bytes;
use pebblepost_memory::{MemoryBudget, OutOfMemory};
use pebblepost_messages::batch::{ItemResult, ResultPage, ResultState};
use std::io::Write;

/// Maximum size of the results in one answer. At least one result is included, whatever its size.
pub const MAX_PAGE_BYTES: usize = 1024 * 1024;

/// Length of a text as JSON for each byte, at most.
const MAX_JSON_BYTES_PER_BYTE: usize = 6;

/// Returns the body of the answer to `GET /lots/ID`, with its memory reserved.
///
/// # Errors
/// The budget does not allow the results.
pub fn to_body(mut page: ResultPage, memory: &MemoryBudget) -> Result<JobBody, OutOfMemory> {
    let first_bytes = page.results.first().map_or(0, |first| first.message.len());
    if first_bytes <= MAX_PAGE_BYTES / MAX_JSON_BYTES_PER_BYTE {
        let json = to_json(&page);
        let reservation = memory.reserve(json.len())?;
        return Ok(JobBody::reserved(json, reservation));
    }
    let reservation = memory.reserve(first_bytes + CHUNK_BYTES)?;
    let first = page.results.swap_remove(0);
    Ok(JobBody::large_result(LargeResult::new(page.total, page.start, first), reservation))
}

/// A page with a single result, whose text is written in chunks.
#[derive(Debug)]
pub struct LargeResult {
    /// What is sent before the text.
    head: Vec<u8>,
    text: Vec<u8>,
    /// Bytes of the text that were sent.
    sent_text_bytes: usize,
    /// What is sent after the text.
    end: Vec<u8>,
    remaining_bytes: u64,
}

impl LargeResult {
    fn new(total: u64, start: u64, mut result: ItemResult) -> LargeResult {
        let text = std::mem::take(&mut result.message);
        let mut head = page_head(total, start.saturating_add(1));
        let mut end = Vec::new();
        write_before_text(&result, &mut head);
        write_after_text(&result, &mut end);
        end.extend_from_slice(PAGE_END);
        let mut large = LargeResult { head, text, sent_text_bytes: 0, end, remaining_bytes: 0 };
        large.remaining_bytes = large.measure();
        large
    }

    pub(super) fn remaining_bytes(&self) -> u64 {
        self.remaining_bytes
    }

    pub(super) fn next_chunk(&mut self) -> Option<Bytes> {
        if self.remaining_bytes == 0 {
            return None;
        }
        let mut chunk = std::mem::take(&mut self.head);
        if self.sent_text_bytes < self.text.len() {
            self.sent_text_bytes += write_text_part(&self.text[self.sent_text_bytes..], &mut chunk);
        }
        if self.sent_text_bytes == self.text.len() {
            chunk.append(&mut self.end);
        }
        self.remaining_bytes = self.remaining_bytes.saturating_sub(chunk.len() as u64);
        Some(Bytes::from(chunk))
    }

    /// Returns the length of the whole as JSON.
    fn measure(&self) -> u64 {
        let mut bytes = self.head.len() + self.end.len();
        let mut start = 0;
        let mut part = Vec::new();
        while start < self.text.len() {
            start += write_text_part(&self.text[start..], &mut part);
            bytes += part.len();
            part.clear();
        }
        bytes as u64
    }
}

/// Writes the beginning of a text, without quotes, and returns the number of bytes that were written. Bytes that are not
/// UTF-8 are replaced. A character is written as a whole.
fn write_text_part(text: &[u8], json: &mut Vec<u8>) -> usize {
    let length = text.len().min(CHUNK_BYTES / MAX_JSON_BYTES_PER_BYTE);
    let part = &text[..length];
    let mut written = 0;
    for chunk in part.utf8_chunks() {
        write_escaped(chunk.valid(), json);
        written += chunk.valid().len();
        let may_continue = length < text.len() && written + chunk.invalid().len() == length;
        if chunk.invalid().is_empty() || (may_continue && written > 0) {
            continue;
        }
        write_escaped("\u{fffd}", json);
        written += chunk.invalid().len();
    }
    written
}

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
    let mut json = page_head(page.total, page.start.saturating_add(count));
    json.reserve_exact(results.len() + PAGE_END.len());
    json.extend_from_slice(&results);
    json.extend_from_slice(PAGE_END);
    Bytes::from(json)
}

/// End of a page, behind its results.
const PAGE_END: &[u8] = b"]}";

/// Returns the beginning of a page, up to its results.
fn page_head(total: u64, next_token: u64) -> Vec<u8> {
    format!("{{\"total\":{total},\"next_token\":{next_token},\"results\":[").into_bytes()
}

fn write_result(result: &ItemResult, json: &mut Vec<u8>) {
    write_before_text(result, json);
    write_escaped(&String::from_utf8_lossy(&result.message), json);
    write_after_text(result, json);
}

/// Writes a result up to the quote in front of its text.
fn write_before_text(result: &ItemResult, json: &mut Vec<u8>) {
    let state = match result.state {
        ResultState::Completed => "completed",
        ResultState::DeadLetter => "dead_letter",
    };
    json.extend_from_slice(b"{\"id\":");
    write_string(&result.id, json);
    // Writing into a vector cannot fail.
    let _ = write!(json, ",\"state\":\"{state}\",\"message\":\"");
}

/// Writes the rest of a result, from the quote behind its text on.
fn write_after_text(result: &ItemResult, json: &mut Vec<u8>) {
    json.extend_from_slice(b"\",\"versions\":[");
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

/// Writes a JSON string with its quotes.
fn write_string(text: &str, json: &mut Vec<u8>) {
    json.push(b'"');
    write_escaped(text, json);
    json.push(b'"');
}

/// Writes the content of a JSON string, escaping `"`, `\` and control characters.
fn write_escaped(text: &str, json: &mut Vec<u8>) {
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
}
