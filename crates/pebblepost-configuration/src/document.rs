//! Reading and writing of whole JSON documents, bounded in size and depth.

use crate::ConfigurationError;
use simd_json::BorrowedValue;
use simd_json::prelude::*;

/// Largest document.
const MOST_BYTES: usize = 32 * 1024 * 1024;
/// Deepest nesting; the parser calls itself for each level.
const MOST_DEPTH: usize = 100;

/// A copy for the parser to work in; refused where the parser can't be trusted with it.
pub(crate) fn buffer_of(document: &[u8]) -> Result<Vec<u8>, ConfigurationError> {
    if document.len() > MOST_BYTES {
        return Err(ConfigurationError(format!("the document has more than {MOST_BYTES} bytes")));
    }
    if depth_of(document) > MOST_DEPTH {
        return Err(ConfigurationError(format!("the document is nested deeper than {MOST_DEPTH} levels")));
    }
    Ok(document.to_vec())
}

/// Reads a JSON object.
pub(crate) fn read(buffer: &mut [u8]) -> Result<BorrowedValue<'_>, ConfigurationError> {
    let value = simd_json::to_borrowed_value(buffer)
        .map_err(|error| ConfigurationError(format!("the document is not valid JSON: {error}")))?;
    if value.is_object() {
        Ok(value)
    } else {
        Err(ConfigurationError("the document is not an object".to_owned()))
    }
}

/// The document of a value.
pub(crate) fn write(value: &BorrowedValue<'_>) -> Vec<u8> {
    value.encode().into_bytes()
}

/// Whether two documents say the same: compared as JSON values, so that spaces, the order of an object's fields
/// and the way a number is written don't matter. Documents that can't be read are the same if their bytes are.
pub fn is_same_document(left: &[u8], right: &[u8]) -> bool {
    if left == right {
        return true;
    }
    let (Ok(mut left), Ok(mut right)) = (buffer_of(left), buffer_of(right)) else { return false };
    match (simd_json::to_borrowed_value(&mut left), simd_json::to_borrowed_value(&mut right)) {
        (Ok(left), Ok(right)) => same_value(&left, &right),
        _ => false,
    }
}

fn same_value(left: &BorrowedValue<'_>, right: &BorrowedValue<'_>) -> bool {
    if let (Some(left), Some(right)) = (left.as_object(), right.as_object()) {
        return left.len() == right.len()
            && left
                .iter()
                .all(|(key, value)| right.get(key.as_ref()).is_some_and(|other| same_value(value, other)));
    }
    if let (Some(left), Some(right)) = (left.as_array(), right.as_array()) {
        return left.len() == right.len()
            && left.iter().zip(right.iter()).all(|(left, right)| same_value(left, right));
    }
    if left.is_number() && right.is_number() {
        return same_number(left, right);
    }
    left == right
}

fn same_number(left: &BorrowedValue<'_>, right: &BorrowedValue<'_>) -> bool {
    match (left.as_i128(), right.as_i128()) {
        (Some(left), Some(right)) => left == right,
        _ => left.cast_f64() == right.cast_f64(),
    }
}

fn depth_of(document: &[u8]) -> usize {
    let mut depth = 0usize;
    let mut deepest = 0;
    let mut in_text = false;
    let mut escaped = false;
    for byte in document {
        if in_text {
            in_text = escaped || *byte != b'"';
            escaped = !escaped && *byte == b'\\';
            continue;
        }
        match byte {
            b'"' => in_text = true,
            b'{' | b'[' => depth += 1,
            b'}' | b']' => depth = depth.saturating_sub(1),
            _ => {}
        }
        deepest = deepest.max(depth);
    }
    deepest
}
