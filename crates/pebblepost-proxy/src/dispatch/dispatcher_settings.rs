//! Settings of the dispatcher of one backend.

use super::request_class::RequestClass;
use super::worker_table::HOME_ZONE;
use pebblepost_dispatch::Settings;
use pebblepost_dispatch::api::{Discovery, Prices, ReportField, ReportSource};
use pebblepost_dispatch::reservation::ReservationSettings;
use std::time::Duration;

/// Shortest time between two calls of the dispatcher's timer.
const TICK_INTERVAL: Duration = Duration::from_millis(2);
/// Longest advice on when to retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Sends that the dispatcher may order for a request, those that never ran included; the limit of
/// the route is kept by [`super::retry::Attempts`].
const MAX_SENDS_PER_REQUEST: u32 = 16;
/// How long a transcriber is warming up after its start (slow start).
pub(super) const WARM_UP_TIME: Duration = Duration::from_secs(5);

/// Settings of the dispatcher of a backend that `proxy_count` proxies share. `first_class`: the
/// class that it knows from the beginning.
pub(super) fn dispatcher_settings(first_class: RequestClass, proxy_count: u32) -> Settings {
    Settings {
        nodes: proxy_count,
        zone: HOME_ZONE,
        classes: vec![first_class.to_class()],
        tenants: Vec::new(),
        over_quota_value: 1.0,
        discovery: Discovery::Push,
        probing_enabled: true,
        cancelling_enabled: false,
        hedging_enabled: false,
        retry_after_enabled: true,
        max_retry_after: MAX_RETRY_AFTER,
        max_attempts: MAX_SENDS_PER_REQUEST,
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
        warm_up_time: WARM_UP_TIME,
        overload_multiple: 2.0,
        overload_time: Duration::from_millis(500),
        prices: Prices::default(),
        tick: TICK_INTERVAL,
        queues_in_order: true,
        reservations: ReservationSettings { enabled: false, ..ReservationSettings::default() },
    }
}
