//! Headers of requests to transcribers.

use http::{HeaderMap, HeaderName, HeaderValue};

/// Sets a header. A name or value that HTTP does not allow is ignored.
pub(super) fn insert(headers: &mut HeaderMap, name: &str, value: &str) {
    let parsed = (HeaderName::from_bytes(name.as_bytes()), HeaderValue::from_str(value));
    if let (Ok(name), Ok(value)) = parsed {
        headers.insert(name, value);
    }
}
