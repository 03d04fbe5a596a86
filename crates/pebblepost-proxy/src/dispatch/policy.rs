//! What a route demands of the way its requests are sent on, and the settings of the decisions.

use super::workers::HOME;
use pebblepost_configuration::{Route, RouteKind};
use pebblepost_dispatch::Settings;
use pebblepost_dispatch::api::{Class, Discovery, Idempotency, Prices, ReportField, ReportSource};
use pebblepost_dispatch::room::ReservationSettings;
use std::time::Duration;

/// Part of its worth that an answer keeps after the target latency.
const LATE_VALUE: f64 = 0.25;
/// Shortest time between two calls of the decisions.
const TICK: Duration = Duration::from_millis(2);
/// Longest advice on when to come back.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Sends that the decisions may make for a request, those that never ran included; what a route
/// allows is held by the attempts.
const MOST_SENDS: u32 = 16;
/// How long a transcriber is taken to be slow after its start.
pub(super) const WARM_UP: Duration = Duration::from_secs(5);

/// What a route demands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RoutePolicy {
    /// A request may run more than once.
    pub(crate) repeatable: bool,
    /// Its answer is a stream.
    pub(crate) streaming: bool,
    /// Its stream may be taken up at another transcriber.
    pub(crate) resumable: bool,
    /// Its requests name parts of their prompt.
    pub(crate) sticky: bool,
    /// Most transcribers that a request may be sent to.
    pub(crate) max_attempts: usize,
    /// Longest time that a request is held.
    pub(crate) timeout: Duration,
    /// Time inside which an answer has its full worth.
    pub(crate) target_latency: Duration,
    /// Rank, 0 highest.
    pub(crate) priority: u32,
}

impl RoutePolicy {
    /// The policy of a route.
    pub(crate) fn of(route: &Route) -> RoutePolicy {
        let repeatable = match route.streaming {
            true => route.resumable,
            false => route.kind == RouteKind::Idempotent,
        };
        RoutePolicy {
            repeatable,
            streaming: route.streaming,
            resumable: route.streaming && route.resumable,
            sticky: route.sticky,
            max_attempts: usize::try_from(route.max_attempts).unwrap_or(usize::MAX).max(1),
            timeout: route.timeout,
            target_latency: route.target_latency,
            priority: route.priority,
        }
    }

    /// The class of requests that the decisions take it for.
    pub(super) fn class(&self) -> ClassKey {
        ClassKey {
            repeatable: self.repeatable,
            streaming: self.streaming,
            timeout: self.timeout,
            target_latency: self.target_latency,
            priority: self.priority,
        }
    }
}

/// What the decisions tell classes of requests apart by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ClassKey {
    repeatable: bool,
    streaming: bool,
    timeout: Duration,
    target_latency: Duration,
    priority: u32,
}

impl ClassKey {
    /// The class, as the decisions read it.
    pub(super) fn to_class(self) -> Class {
        Class {
            latency_target: self.target_latency,
            deadline: self.timeout,
            idempotency: if self.repeatable { Idempotency::Idempotent } else { Idempotency::NonIdempotent },
            value: 1.0,
            late_value: LATE_VALUE,
            latency_stretch: 0.0,
            kind: None,
            only_kinds: None,
            only_zones: None,
            priority: i32::try_from(self.priority).unwrap_or(i32::MAX),
            streamed: self.streaming,
        }
    }
}

/// Settings of the decisions for one service.
pub(super) fn settings(first: ClassKey, nodes: u32) -> Settings {
    Settings {
        nodes,
        zone: HOME,
        classes: vec![first.to_class()],
        tenants: Vec::new(),
        over_quota_value: 1.0,
        discovery: Discovery::Push,
        probing_enabled: true,
        cancelling_enabled: false,
        hedging_enabled: false,
        retry_after_enabled: true,
        max_retry_after: MAX_RETRY_AFTER,
        max_attempts: MOST_SENDS,
        keepalive: Duration::from_secs(10),
        report_fields: vec![ReportField::FreeSlots, ReportField::Queue],
        report_source: ReportSource::Piggyback,
        progress: None,
        start_reported: false,
        drain_grace: Duration::ZERO,
        close_idle_within: None,
        full_may_have_run: false,
        answer_slack: Duration::ZERO,
        max_discovery_interval: Duration::from_secs(10),
        cold_capacity: 0.3,
        warm_up_time: WARM_UP,
        overload_multiple: 2.0,
        overload_time: Duration::from_millis(500),
        prices: Prices::default(),
        tick: TICK,
        queues_in_order: true,
        reservations: ReservationSettings { enabled: false, ..ReservationSettings::default() },
    }
}
