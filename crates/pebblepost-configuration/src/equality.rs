//! Comparison of documents as JSON values.

use crate::json;
use simd_json::BorrowedValue;
use simd_json::prelude::*;

/// Returns whether two documents are equal as JSON values.
///
/// White space, the order of the fields of an object and the notation of numbers do not matter. Documents that cannot
/// be parsed are equal only if their bytes are.
pub fn is_same_document(left: &[u8], right: &[u8]) -> bool {
    if left == right {
        return true;
    }
    let (Ok(mut left), Ok(mut right)) = (json::parse_buffer(left), json::parse_buffer(right)) else {
        return false;
    };
    match (simd_json::to_borrowed_value(&mut left), simd_json::to_borrowed_value(&mut right)) {
        (Ok(left), Ok(right)) => is_same_value(&left, &right),
        _ => false,
    }
}

fn is_same_value(left: &BorrowedValue<'_>, right: &BorrowedValue<'_>) -> bool {
    if let (Some(left), Some(right)) = (left.as_object(), right.as_object()) {
        return left.len() == right.len()
            && left.iter().all(|(key, value)| {
                right.get(key.as_ref()).is_some_and(|other| is_same_value(value, other))
            });
    }
    if let (Some(left), Some(right)) = (left.as_array(), right.as_array()) {
        return left.len() == right.len()
            && left.iter().zip(right.iter()).all(|(left, right)| is_same_value(left, right));
    }
    if left.is_number() && right.is_number() {
        return is_same_number(left, right);
    }
    left == right
}

fn is_same_number(left: &BorrowedValue<'_>, right: &BorrowedValue<'_>) -> bool {
    match (left.as_i128(), right.as_i128()) {
        (Some(left), Some(right)) => left == right,
        // At least one of them has a fraction or exceeds the range of `i128`.
        _ => left.cast_f64() == right.cast_f64(),
    }
}
