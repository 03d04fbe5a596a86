//! Configuration of a node.

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
    /// Requests waiting.
    Queue,
    /// Requests at the worker, running or waiting.
    InFlight,
    /// Busy fraction of the cores.
    Utilization,
    /// A value the decisions do not use.
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

/// How the node learns of workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes are pushed.
    Push,
    /// Only after [`Action::Watch`](crate::api::Action::Watch) or
    /// [`Action::Fetch`](crate::api::Action::Fetch).
    Poll,
}

/// Settings of the reservations.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReservationSettings {
    /// If off, large jobs are placed as all others are.
    pub enabled: bool,
    /// A job is large from so many standard deviations above the recent mean of its logarithm on.
    pub size_deviations: f64,
    /// Fraction of all slots that may be reserved at once; the rest is left to small jobs.
    pub max_reserved_fraction: f64,
}

impl Default for ReservationSettings {
    fn default() -> Self {
        Self { enabled: true, size_deviations: 2.0, max_reserved_fraction: 0.25 }
    }
}

/// A setting outside its range.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("{key} is {value}: {allowed} is allowed")]
pub struct InvalidSetting {
    /// The key of the setting, as the settings file names it.
    pub key: &'static str,
    /// Its value.
    pub value: f64,
    /// The allowed range.
    pub allowed: &'static str,
}

impl ReservationSettings {
    /// Checks the ranges.
    ///
    /// # Errors
    /// Names the first setting that is out of its range.
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

/// Prices of what a node does, in points of the operators' objective, by unit.
#[derive(Clone, Copy, Debug, Default)]
pub struct Prices {
    /// A new connection for each request.
    pub handshake: f64,
    /// 100 open connections a worker.
    pub connection: f64,
    /// Each request crossing zones once.
    pub cross_zone: f64,
    /// All value ending unserved after its latency target.
    pub late_fail: f64,
    /// Work wasted, as much as was asked for.
    pub waste: f64,
    /// One probe a request.
    pub probe: f64,
}

/// Configuration of a node at its start.
#[derive(Clone, Debug)]
#[expect(clippy::struct_excessive_bools, reason = "each is a key of the operators' settings")]
pub struct Settings {
    /// Number of nodes.
    pub nodes: u32,
    /// Zone of this node.
    pub zone: ZoneId,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Value of a request beyond its tenant's share, as a fraction.
    pub over_quota_value: f64,
    /// How the membership is learned.
    pub discovery: Discovery,
    /// [`Action::Probe`](crate::api::Action::Probe) is allowed.
    pub probing_enabled: bool,
    /// [`Action::Cancel`](crate::api::Action::Cancel) is allowed.
    pub cancelling_enabled: bool,
    /// Two attempts of one request may be in flight at once.
    pub hedging_enabled: bool,
    /// Clients receive the `retry_after` of [`Action::Refuse`](crate::api::Action::Refuse).
    pub retry_after_enabled: bool,
    /// Longest `retry_after` that a client honours.
    pub max_retry_after: Duration,
    /// Most attempts for a request.
    pub max_attempts: u32,
    /// Idle connections close after this time.
    pub keepalive: Duration,
    /// Values of a load report, in order.
    pub report_fields: Vec<ReportField>,
    /// When load reports come.
    pub report_source: ReportSource,
    /// Interval of progress reports; `None`: workers send none.
    pub progress: Option<Duration>,
    /// Workers report when a job starts ([`Event::Started`](crate::api::Event::Started)).
    pub start_reported: bool,
    /// Sends to a worker must cease this long after its drain or removal was announced.
    pub drain_grace: Duration,
    /// Idle connections to a draining worker must be closed within this time; `None`: no such rule.
    pub close_idle_within: Option<Duration>,
    /// A worker may answer [`Status::Full`] to work that it had begun.
    pub full_may_have_run: bool,
    /// A final answer is valid this long after the deadline.
    pub answer_slack: Duration,
    /// Longest time without asking discovery ([`Discovery::Poll`]).
    pub max_discovery_interval: Duration,
    /// A worker that has just started has at least this fraction of its capacity.
    pub cold_capacity: f64,
    /// A worker has its full capacity after this time (slow start).
    pub warm_up_time: Duration,
    /// A worker that warms up falls over under this multiple of its present capacity,
    pub overload_multiple: f64,
    /// sustained for this time.
    pub overload_time: Duration,
    /// Prices of the operators.
    pub prices: Prices,
    /// Resolution of the caller's timers: shortest time between two calls.
    pub tick: Duration,
    /// Workers serve their queues in order: what waits there keeps its turn. Otherwise whatever fits may
    /// start.
    pub queues_in_order: bool,
    /// Reservations for large jobs.
    pub reservations: ReservationSettings,
}

impl Settings {
    /// Whether an outcome proves that the attempt never ran.
    pub fn never_ran(&self, status: Status) -> bool {
        match status {
            Status::Full => !self.full_may_have_run,
            Status::ConnectFailed | Status::Moot => true,
            Status::Ok | Status::Error | Status::Timeout | Status::Reset | Status::Cancelled => false,
        }
    }
}
