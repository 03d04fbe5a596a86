//! Affinity keys, by which requests that share a prompt prefix are sent to transcribers that hold the
//! prefix in their cache.

use http::HeaderMap;
use std::hash::{DefaultHasher, Hash, Hasher};

const PROMPT_PREFIX: &str = "prompt-prefix";
/// Affinity key of a request without affinity.
pub(super) const NO_AFFINITY: u64 = 0;

/// Computes the affinity key from the `Prompt-Prefix` header (`id:tokens,id:tokens,…`).
///
/// The key is the hash of the last segment that other prompts share, which is the last but one, or of
/// the only segment. Without such a header it is [`NO_AFFINITY`].
pub(super) fn affinity_key(headers: &HeaderMap) -> u64 {
    let Some(prefix) = headers.get(PROMPT_PREFIX).and_then(|value| value.to_str().ok()) else {
        return NO_AFFINITY;
    };
    let ids = prefix.split(',').filter_map(|segment| segment.split(':').next());
    let mut last = None;
    let mut last_shared = None;
    for id in ids.map(str::trim).filter(|id| !id.is_empty()) {
        last_shared = last;
        last = Some(id);
    }
    let Some(id) = last_shared.or(last) else { return NO_AFFINITY };
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish().max(1)
}
