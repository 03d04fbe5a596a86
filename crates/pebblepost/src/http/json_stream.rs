//! Streams of JSON in decoded bodies: discovery's endpoint lists and the workers' progress lines.

use super::malformed::Malformed;
use crate::buffer::Buffer;
use serde_json::Value;

/// An element of a stream of JSON objects.
#[derive(Debug, PartialEq)]
pub enum StreamItem {
    /// A JSON value, normally an object.
    Object(Value),
    /// An empty line between two objects, sent as a keep-alive.
    EmptyLine,
}

/// Removes the next element from a decoded stream of JSON objects and returns it; `None` if more bytes are needed.
///
/// An object may span several lines.
///
/// # Errors
///
/// Fails if the stream is not valid JSON.
pub fn take_json(input: &mut Buffer) -> Result<Option<StreamItem>, Malformed> {
    let data = input.data();
    let blank = data.iter().take_while(|byte| byte.is_ascii_whitespace()).count();
    if let Some(end) = data[..blank].iter().position(|byte| *byte == b'\n') {
        input.consume(end + 1);
        return Ok(Some(StreamItem::EmptyLine));
    }
    // A large object arrives in many parts. Without a closing brace it cannot be complete, so parsing would be wasted.
    if !data.contains(&b'}') {
        return Ok(None);
    }
    let mut objects = serde_json::Deserializer::from_slice(data).into_iter::<Value>();
    match objects.next() {
        Some(Ok(object)) => {
            let end = objects.byte_offset();
            // The line ending after the object is consumed with it, so that it does not count as an empty line.
            let rest = &data[end..];
            let line_end = [&b"\r\n"[..], b"\n"]
                .into_iter()
                .find(|ending| rest.starts_with(ending))
                .map_or(0, <[u8]>::len);
            input.consume(end + line_end);
            Ok(Some(StreamItem::Object(object)))
        }
        Some(Err(error)) if !error.is_eof() => Err(Malformed(502)),
        _ => Ok(None),
    }
}

/// Removes a line that ends in LF from a decoded stream and returns it trimmed; `None` if more bytes are needed.
pub fn take_trimmed_line(input: &mut Buffer) -> Option<Vec<u8>> {
    let end = input.data().iter().position(|byte| *byte == b'\n')?;
    let line = input.data()[..end].trim_ascii().to_vec();
    input.consume(end + 1);
    Some(line)
}
