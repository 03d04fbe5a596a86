//! Classes of requests and tenants.

use super::ids::{KindId, ZoneId};
use std::time::Duration;

/// Workers that share deduplication: any of them drops a repeat of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Every worker.
    All,
    /// The workers of one zone.
    Zone,
    /// The workers of one cell.
    Cell,
}

/// Effect of running a request twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// None: the request is safe to repeat.
    Idempotent,
    /// Repeats are dropped by the workers of `scope`, for `window` after the first send that may have run.
    Deduplicated {
        /// Workers that drop repeats.
        scope: DeduplicationScope,
        /// Time for which repeats are dropped.
        window: Duration,
    },
    /// The effect would happen twice.
    NonIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Answers within this time (plus `latency_stretch` times the job's own work) have full value.
    pub latency_target: Duration,
    /// Total time for which a client waits.
    pub deadline: Duration,
    /// Effect of running a request of this class twice.
    pub idempotency: Idempotency,
    /// Value of a request answered within the latency target.
    pub value: f64,
    /// Fraction of the value left after the latency target.
    pub late_value: f64,
    /// Multiple of the job's own work that is added to the latency target.
    pub latency_stretch: f64,
    /// Machine kind that jobs of this class need; `None`: any.
    pub kind: Option<KindId>,
    /// Machine kinds that requests may be sent to, at any attempt; `None`: any, empty: none.
    pub only_kinds: Option<Vec<KindId>>,
    /// Zones that requests may be sent to, at any attempt; `None`: any, empty: none.
    pub only_zones: Option<Vec<ZoneId>>,
    /// Priority at sites whose workers serve by priority.
    pub priority: i32,
    /// Whether the answer is streamed ([`Event::StreamOpened`](crate::api::Event::StreamOpened)).
    pub streamed: bool,
}

/// A tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Agreed fraction of the service.
    pub quota_share: f64,
    /// Requests per second, over all dispatchers, within the quota share.
    pub quota_per_s: f64,
}
