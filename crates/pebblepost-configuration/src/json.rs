//! Parsing and serializing of JSON documents, bounded in size and nesting.

use crate::ConfigurationError;
use simd_json::BorrowedValue;
use simd_json::prelude::*;

const MAX_DOCUMENT_BYTES: usize = 32 * 1024 * 1024;
/// The parser recurses once for each level of nesting, so that a deeper document could overflow the stack.
const MAX_DEPTH: usize = 100;

/// A copy of the document for the parser, which works in place.
pub(crate) fn parse_buffer(document: &[u8]) -> Result<Vec<u8>, ConfigurationError> {
    if document.len() > MAX_DOCUMENT_BYTES {
        return Err(ConfigurationError::DocumentTooLarge { max_bytes: MAX_DOCUMENT_BYTES });
    }
    if nesting_depth(document) > MAX_DEPTH {
        return Err(ConfigurationError::NestedTooDeeply { max_depth: MAX_DEPTH });
    }
    Ok(document.to_vec())
}

/// Parses a JSON object.
pub(crate) fn parse_object(buffer: &mut [u8]) -> Result<BorrowedValue<'_>, ConfigurationError> {
    let value = simd_json::to_borrowed_value(buffer)
        .map_err(|error| ConfigurationError::InvalidJson { message: error.to_string() })?;
    if value.is_object() {
        Ok(value)
    } else {
        Err(ConfigurationError::NotAnObject { object: "the document".to_owned() })
    }
}

/// The document of a value.
pub(crate) fn serialize(value: &BorrowedValue<'_>) -> Vec<u8> {
    value.encode().into_bytes()
}

/// Deepest nesting of brackets outside strings. The document need not be valid.
fn nesting_depth(document: &[u8]) -> usize {
    let mut depth = 0usize;
    let mut deepest = 0;
    let mut in_string = false;
    let mut escaped = false;
    for byte in document {
        if in_string {
            in_string = escaped || *byte != b'"';
            escaped = !escaped && *byte == b'\\';
            continue;
        }
        match byte {
            b'"' => in_string = true,
            b'{' | b'[' => depth += 1,
            b'}' | b']' => depth = depth.saturating_sub(1),
            _ => {}
        }
        deepest = deepest.max(depth);
    }
    deepest
}
