//! Parsing and serialization of JSON documents, with limits on their size and nesting.

use crate::ConfigurationError;
use simd_json::BorrowedValue;
use simd_json::prelude::*;

const MAX_DOCUMENT_BYTES: usize = 32 * 1024 * 1024;
/// Limit on the nesting. The parser recurses once for each level, so a deeper document could overflow the stack.
pub const MAX_NESTING_LEVELS: usize = 100;

/// Checks the limits on size and nesting.
pub(crate) fn check_limits(document: &[u8]) -> Result<(), ConfigurationError> {
    if document.len() > MAX_DOCUMENT_BYTES {
        return Err(ConfigurationError::DocumentTooLarge { max_bytes: MAX_DOCUMENT_BYTES });
    }
    if is_nested_too_deeply(document) {
        return Err(ConfigurationError::NestedTooDeeply { max_depth: MAX_NESTING_LEVELS });
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
    nesting_depth(document) > MAX_NESTING_LEVELS
}

/// Returns the deepest nesting of brackets outside strings. The document need not be valid JSON.
fn nesting_depth(document: &[u8]) -> usize {
    let mut depth = 0usize;
    let mut deepest = 0;
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
            b'{' | b'[' => depth += 1,
            b'}' | b']' => depth = depth.saturating_sub(1),
            _ => {}
        }
        deepest = deepest.max(depth);
    }
    deepest
}
