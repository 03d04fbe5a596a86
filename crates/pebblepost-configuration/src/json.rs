//! Parsing and serialization of JSON documents, with limits on their size and nesting.

use crate::ConfigurationError;
use simd_json::BorrowedValue;
use simd_json::prelude::*;

const MAX_DOCUMENT_BYTES: usize = 32 * 1024 * 1024;
/// Limit on the memory that parsing a document may take besides its text: a quarter of the smallest control machine's.
const MAX_PARSE_BYTES: usize = 64 * 1024 * 1024;
/// Estimated memory of a parsed value, for each separator in front of it.
const SEPARATOR_BYTES: usize = 80;
/// Limit on the nesting. The parser recurses once for each level, so a deeper document could overflow the stack.
pub const MAX_NESTING_LEVELS: usize = 100;

/// Checks the limits on size, nesting and number of values.
pub(crate) fn check_limits(document: &[u8]) -> Result<(), ConfigurationError> {
    if document.len() > MAX_DOCUMENT_BYTES {
        return Err(ConfigurationError::DocumentTooLarge { max_bytes: MAX_DOCUMENT_BYTES });
    }
    let shape = Shape::of(document);
    if shape.depth > MAX_NESTING_LEVELS {
        return Err(ConfigurationError::NestedTooDeeply { max_depth: MAX_NESTING_LEVELS });
    }
    if shape.separators > MAX_PARSE_BYTES / SEPARATOR_BYTES {
        return Err(ConfigurationError::TooManyValues { max_values: MAX_PARSE_BYTES / SEPARATOR_BYTES });
    }
    Ok(())
}

/// Checks the limits and returns a copy of the document. The parser needs one because it modifies its input.
pub(crate) fn parse_buffer(document: &[u8]) -> Result<Vec<u8>, ConfigurationError> {
    check_limits(document)?;
    Ok(document.to_vec())
}

/// Parses a document, which must be a JSON object.
pub(crate) fn parse_object(buffer: &mut [u8]) -> Result<BorrowedValue<'_>, ConfigurationError> {
    let value = simd_json::to_borrowed_value(buffer)
        .map_err(|error| ConfigurationError::InvalidJson { message: error.to_string() })?;
    if value.is_object() {
        Ok(value)
    } else {
        Err(ConfigurationError::NotAnObject { object: "the document".to_owned() })
    }
}

pub(crate) fn serialize(value: &BorrowedValue<'_>) -> Vec<u8> {
    value.encode().into_bytes()
}

/// Returns whether a document has more than [`MAX_NESTING_LEVELS`] levels of nesting. A recursive parser could overflow the
/// stack then.
pub fn is_nested_too_deeply(document: &[u8]) -> bool {
    Shape::of(document).depth > MAX_NESTING_LEVELS
}

/// Estimates the memory that parsing a document takes besides its text, in bytes. A document of short values takes many
/// times its length.
pub fn estimated_parse_bytes(document: &[u8]) -> usize {
    Shape::of(document).separators * SEPARATOR_BYTES
}

/// What the memory and the stack depend on that a parser needs for a document, which need not be valid JSON.
#[derive(Debug, Default)]
struct Shape {
    /// Deepest nesting of brackets outside strings.
    depth: usize,
    /// Opening brackets, commas and colons outside strings. A value has at least one of them in front.
    separators: usize,
}

impl Shape {
    fn of(document: &[u8]) -> Shape {
        let mut shape = Shape::default();
        let mut depth = 0_usize;
        let mut is_in_string = false;
        let mut is_escaped = false;
        for byte in document {
            if is_in_string {
                is_in_string = is_escaped || *byte != b'"';
                is_escaped = !is_escaped && *byte == b'\\';
                continue;
            }
            match byte {
                b'"' => is_in_string = true,
                b'{' | b'[' => {
                    depth += 1;
                    shape.depth = shape.depth.max(depth);
                    shape.separators += 1;
                }
                b'}' | b']' => depth = depth.saturating_sub(1),
                b',' | b':' => shape.separators += 1,
                _ => {}
            }
        }
        shape
    }
}
