//! The settings that dispatchers are started with. Times in the settings are in nanoseconds.

use serde_json::{Value, json};

/// The names of the zones. Dispatcher `n` is in the zone with the index `n` modulo the number of zones.
pub const ZONES: [&str; 3] = ["honkan", "bekkan", "soko"];

/// Returns the settings of the only job class. `on_time_ns` is its latency target in nanoseconds.
fn class(on_time_ns: u64) -> Value {
    json!({
        "name": "segment", "effect": "idempotency_key", "group": "all", "window": 10_000_000_000_u64,
        "onTime": on_time_ns, "deadline": 6_000_000_000_u64, "worth": 1.0, "lateValue": 0.0, "streamed": false,
    })
}

/// Returns the settings of a site, as the platform supplies them.
pub(super) fn settings(dispatchers: usize, queue_order: &str) -> Value {
    json!({
        "instances": dispatchers, "locality": 0, "discovery": "ask", "tick": 2_000_000, "worthBy": "work",
        "failureDomains": ZONES, "kinds": ["small-fast", "mid-three", "wide-five"],
        "classes": [class(600_000_000)],
        "caps": {"probing": true, "cancelling": true, "mayDuplicate": true, "sendCap": 3, "retryAfter": false,
                 "keepalive": 30_000_000_000_u64, "connectTimeout": 250_000_000, "maxRetryAfter": 2_000_000_000},
        "charges": {"crossZone": 0.025, "handshake": 0.02, "lateFail": 0.03, "probe": 0.01, "waste": 0.014},
        "report": {"names": ["cpu", "err_rps", "x0"], "source": "pull"},
        "domain": {"reportX0": "free_slots", "tellsStart": true, "classStretch": 2.0, "progress": 2_000_000_000,
                   "queueOrder": queue_order},
        "invariants": {"stopSendingWithin": 500_000_000, "answerSlack": 8_000_000, "askWithin": 10_000_000_000_u64,
                       "coldFrom": 0.12, "warmUp": 23_000_000_000_u64, "tipMultiple": 3.0, "fall": 3_000_000_000_u64}
    })
}

/// Returns settings with which a dispatcher rejects most requests: the latency target is so short (1 ms plus 1.05 times the
/// work) that hardly any worker is fast enough for any job.
pub(super) fn rejecting_settings() -> Value {
    json!({"domain": {"classStretch": 1.05}, "classes": [class(1_000_000)]})
}
