//! What a request for tokens is about: requests that share it find it kept at the same
//! transcribers.

use http::HeaderMap;
use std::hash::{DefaultHasher, Hash, Hasher};

const PROMPT_PREFIX: &str = "prompt-prefix";

/// The key of a request by its `Prompt-Prefix`: the last part of its prompt that others share, or
/// its only part. 0: none.
pub(super) fn key(headers: &HeaderMap) -> u64 {
    let Some(prefix) = headers.get(PROMPT_PREFIX).and_then(|value| value.to_str().ok()) else { return 0 };
    let ids = prefix.split(',').filter_map(|part| part.split(':').next());
    let mut last = None;
    let mut last_shared = None;
    for id in ids.map(str::trim).filter(|id| !id.is_empty()) {
        last_shared = last;
        last = Some(id);
    }
    let Some(id) = last_shared.or(last) else { return 0 };
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish().max(1)
}
