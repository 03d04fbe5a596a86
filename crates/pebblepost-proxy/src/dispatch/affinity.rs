//! Affinity keys: requests that share a prompt prefix go to transcribers whose prefix cache holds it.

use http::HeaderMap;
use std::hash::{DefaultHasher, Hash, Hasher};

const PROMPT_PREFIX: &str = "prompt-prefix";
/// Key of a request without affinity.
pub(super) const NO_AFFINITY: u64 = 0;

/// The affinity key of a request by its `Prompt-Prefix` (`id:tokens,id:tokens,…`): the last
/// segment that other prompts share, or the only one. [`NO_AFFINITY`] without such a header.
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
