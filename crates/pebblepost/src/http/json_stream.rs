//! Streams of JSON objects in decoded bodies: discovery's endpoint lists and workers' progress lines.

use super::malformed::Malformed;
use crate::buffer::Buffer;
use serde_json::Value;

/// An element of a stream of JSON objects.
#[derive(Debug, PartialEq)]
pub enum StreamItem {
    /// An object.
    Object(Value),
    /// An empty line between two objects, which the sender uses as a sign of life.
    EmptyLine,
}

/// Takes the next element off a decoded stream of objects, on one line each or indented over several; `None` if more
/// bytes are needed.
///
/// # Errors
///
/// If the stream is not JSON.
pub fn take_json(input: &mut Buffer) -> Result<Option<StreamItem>, Malformed> {
    let data = input.data();
    let blank = data.iter().take_while(|byte| byte.is_ascii_whitespace()).count();
    if let Some(end) = data[..blank].iter().position(|byte| *byte == b'\n') {
        input.consume(end + 1);
        return Ok(Some(StreamItem::EmptyLine));
    }
    // Parsing starts only once an object may be complete, as a large one arrives in many parts.
    if !data.contains(&b'}') {
        return Ok(None);
    }
    let mut objects = serde_json::Deserializer::from_slice(data).into_iter::<Value>();
    match objects.next() {
        Some(Ok(object)) => {
            let end = objects.byte_offset();
            // The end of its line belongs to the object, if it has arrived.
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

/// Takes a line that ends in LF off a decoded stream of lines, trimmed; `None` if more bytes are needed.
pub fn take_json_line(input: &mut Buffer) -> Option<Vec<u8>> {
    let end = input.data().iter().position(|byte| *byte == b'\n')?;
    let line = input.data()[..end].trim_ascii().to_vec();
    input.consume(end + 1);
    Some(line)
}
