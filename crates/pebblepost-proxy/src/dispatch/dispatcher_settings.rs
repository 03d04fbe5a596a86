//! Settings of a backend's dispatcher.

use super::request_class::RequestClass;
use super::worker_table::HOME_ZONE;
use pebblepost_dispatch::Settings;
use pebblepost_dispatch::api::{Discovery, Prices, ReportField, ReportSource};
use pebblepost_dispatch::reservation::ReservationSettings;
use std::time::Duration;

/// Minimum time between two calls of the dispatcher's timer.
const TICK_INTERVAL: Duration = Duration::from_millis(2);
/// Maximum retry delay that the dispatcher advises.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum number of send commands for a request, including those that were never executed. The
/// attempt limit of the route is enforced by [`super::retry::Attempts`].
const MAX_SENDS_PER_REQUEST: u32 = 16;
/// Duration of slow start after a transcriber has started.
pub(super) const WARM_UP_TIME: Duration = Duration::from_secs(5);

/// Returns the settings of the dispatcher of a backend that `proxy_count` proxies share.
/// `first_class` is registered when the dispatcher is created.
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
