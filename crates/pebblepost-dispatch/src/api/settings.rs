//! Configuration of a dispatcher.

use super::class::{Class, Tenant};
use super::event::Status;
use super::ids::ZoneId;
use std::time::Duration;
use thiserror::Error;

/// Meaning of one value of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Free slots.
    FreeSlots,
    /// Free memory units.
    FreeMemory,
    /// Number of queued requests.
    Queue,
    /// Number of requests at the worker, running or queued.
    InFlight,
    /// Busy fraction of the cores.
    Utilization,
    /// A value that the decisions do not use.
    Other,
}

/// When workers report their load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportSource {
    /// With outcomes and probe results.
    Piggyback,
    /// With probe results only.
    Probe,
    /// Never.
    None,
}

/// How the dispatcher learns of workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes are pushed.
    Push,
    /// Changes arrive only after [`Action::Watch`](crate::api::Action::Watch) or
    /// [`Action::Fetch`](crate::api::Action::Fetch).
    Poll,
}

/// Settings of the reservations for large jobs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReservationSettings {
    /// If false, large jobs are placed as all others are.
    pub enabled: bool,
    /// A job is large if the logarithm of its size is at least this many standard deviations above the recent
    /// mean.
    pub size_deviations: f64,
    /// Maximum fraction of all slots reserved at once. The rest is left to small jobs.
    pub max_reserved_fraction: f64,
}

impl Default for ReservationSettings {
    fn default() -> Self {
        Self { enabled: true, size_deviations: 2.0, max_reserved_fraction: 0.25 }
    }
}

/// Error for a setting out of its range.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("{key} is {value}: {allowed} is allowed")]
pub struct InvalidSetting {
    /// Key of the setting in the settings file.
    pub key: &'static str,
    /// Value of the setting.
    pub value: f64,
    /// Allowed range.
    pub allowed: &'static str,
}

impl ReservationSettings {
    /// Checks that the settings are in their ranges.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is out of its range.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        let invalid = |key, value, allowed| Err(InvalidSetting { key, value, allowed });
        if !(0.5..=6.0).contains(&self.size_deviations) {
            return invalid("room.deviations", self.size_deviations, "0.5 to 6");
        }
        if !(0.0..=0.5).contains(&self.max_reserved_fraction) {
            return invalid("room.mostHeld", self.max_reserved_fraction, "0 to 0.5");
        }
        Ok(())
    }
}

/// Prices in points of the operators' objective, each for one unit of what a dispatcher causes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Prices {
    /// Price of one new connection for each request.
    pub handshake: f64,
    /// Price of 100 open connections per worker.
    pub connection: f64,
    /// Price of each request crossing zones once.
    pub cross_zone: f64,
    /// Price of all value that ends unserved after its latency target.
    pub late_fail: f64,
    /// Price of wasted work that equals the requested work.
    pub waste: f64,
    /// Price of one probe per request.
    pub probe: f64,
}

/// Configuration of a dispatcher at its start.
#[derive(Clone, Debug)]
#[expect(clippy::struct_excessive_bools, reason = "each is a key of the operators' settings")]
pub struct Settings {
    /// Number of dispatchers.
    pub nodes: u32,
    /// Zone of this dispatcher.
    pub zone: ZoneId,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Fraction of its value that a request beyond its tenant's quota share has.
    pub over_quota_value: f64,
    /// How the dispatcher learns of the membership.
    pub discovery: Discovery,
    /// Whether [`Action::Probe`](crate::api::Action::Probe) is allowed.
    pub probing_enabled: bool,
    /// Whether [`Action::Cancel`](crate::api::Action::Cancel) is allowed.
    pub cancelling_enabled: bool,
    /// Whether two attempts of one request may be in flight at once (hedged attempts).
    pub hedging_enabled: bool,
    /// Whether clients receive the `retry_after` of [`Action::Refuse`](crate::api::Action::Refuse).
    pub retry_after_enabled: bool,
    /// Longest `retry_after` that a client honours.
    pub max_retry_after: Duration,
    /// Maximum number of attempts for a request.
    pub max_attempts: u32,
    /// Idle connections close after this time.
    pub keepalive: Duration,
    /// Fields of a load report, in order.
    pub report_fields: Vec<ReportField>,
    /// When workers report their load.
    pub report_source: ReportSource,
    /// Interval of progress reports; `None`: workers send none.
    pub progress: Option<Duration>,
    /// Whether workers report when a job starts ([`Event::Started`](crate::api::Event::Started)).
    pub start_reported: bool,
    /// Time after the announcement of a worker's drain or removal by which sends to it must stop.
    pub drain_grace: Duration,
    /// Time within which idle connections to a draining worker must be closed; `None`: no such rule.
    pub close_idle_within: Option<Duration>,
    /// Whether a worker may answer [`Status::Full`] to work that it had begun.
    pub full_may_have_run: bool,
    /// Time after the deadline for which a final answer is still valid.
    pub answer_slack: Duration,
    /// Maximum time between two polls of discovery ([`Discovery::Poll`]).
    pub max_discovery_interval: Duration,
    /// Minimum fraction of its capacity that a worker has right after its start.
    pub cold_capacity: f64,
    /// Time after which a started worker has its full capacity (slow start).
    pub warm_up_time: Duration,
    /// Multiple of its present capacity that overloads a warming worker if sustained for `overload_time`.
    pub overload_multiple: f64,
    /// Time for which a load of `overload_multiple` must last to overload a worker.
    pub overload_time: Duration,
    /// Prices set by the operators.
    pub prices: Prices,
    /// Resolution of the caller's timers: the shortest time between two calls.
    pub tick: Duration,
    /// Whether workers serve their queues in order. Otherwise any queued job that fits may start.
    pub queues_in_order: bool,
    /// Reservations for large jobs.
    pub reservations: ReservationSettings,
}

impl Settings {
    /// Returns whether a status proves that the attempt never ran.
    pub fn never_ran(&self, status: Status) -> bool {
        match status {
            Status::Full => !self.full_may_have_run,
            Status::ConnectFailed | Status::Moot => true,
            Status::Ok | Status::Error | Status::Timeout | Status::Reset | Status::Cancelled => false,
        }
    }
}
