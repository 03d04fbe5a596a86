//! Classes of requests and tenants.

use super::ids::{KindId, ZoneId};
use std::time::Duration;

/// Which workers drop a repeat of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Every worker.
    All,
    /// The workers of one zone.
    Zone,
    /// The workers of one cell.
    Cell,
}

/// What running a request twice would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Nothing: safe to repeat.
    Idempotent,
    /// The workers of `group` drop a repeat for `window` after the first send that may have run.
    Deduplicated {
        /// Who drops repeats.
        scope: DeduplicationScope,
        /// For how long.
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
    /// Total time a client waits.
    pub deadline: Duration,
    /// How far it may be repeated without harm.
    pub idempotency: Idempotency,
    /// Value of a request answered within the latency target.
    pub value: f64,
    /// Fraction of the value left after the latency target.
    pub late_value: f64,
    /// Multiple of the job's own work that is added to the latency target.
    pub latency_stretch: f64,
    /// The machine kind it needs; `None`: any.
    pub kind: Option<KindId>,
    /// The only machine kinds it may be sent to, at any attempt; `None`: any, empty: nowhere.
    pub only_kinds: Option<Vec<KindId>>,
    /// The only zones it may be sent to, at any attempt; `None`: any, empty: nowhere.
    pub only_zones: Option<Vec<ZoneId>>,
    /// Priority at sites whose workers serve by priority.
    pub priority: i32,
    /// The answer is streamed ([`Event::StreamOpened`](crate::api::Event::StreamOpened)).
    pub streamed: bool,
}

/// A tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Its fraction of the service.
    pub quota_share: f64,
    /// Requests a second, over all nodes, within its share.
    pub quota_per_s: f64,
}
