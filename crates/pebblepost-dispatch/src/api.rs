//! The interface of the decision module: the configuration of a node ([`Settings`]), what happens to it
//! ([`Event`]) and what it asks for ([`Action`]).
//!
//! Owns no state and decides nothing.
//!
//! Classes, tenants, zones and kinds are indices: names never reach the decisions.

use std::ops::{Add, Sub};
use std::time::Duration;
use thiserror::Error;

/// A point on the caller's monotonic clock, in nanoseconds from an arbitrary start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub u64);

impl Time {
    /// Time passed since `earlier`; zero if `earlier` is later.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Time;
    fn add(self, span: Duration) -> Time {
        Time(self.0.saturating_add(u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)))
    }
}

impl Sub<Duration> for Time {
    type Output = Time;
    fn sub(self, span: Duration) -> Time {
        Time(self.0.saturating_sub(u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)))
    }
}

/// A worker, as named by discovery. The number carries no information.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub u32);

/// A client request. Never reused by a node between two starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);

/// Attempts of one request, numbered from 0 in the order of their [`Action::Send`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptNo(pub u8);

/// Index into [`Settings::classes`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub u16);

/// Index into [`Settings::tenants`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub u16);

/// Index of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u16);

/// Index of a machine kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KindId(pub u16);

/// A small set of workers that share which keys they have seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub u16);

/// A timer of the node; the value comes back in [`Event::TimerDue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TimerToken(pub u64);

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
    /// The answer is streamed ([`Event::StreamOpened`]).
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
    /// Only after [`Action::Watch`] or [`Action::Fetch`].
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
    /// [`Action::Probe`] is allowed.
    pub probing_enabled: bool,
    /// [`Action::Cancel`] is allowed.
    pub cancelling_enabled: bool,
    /// Two attempts of one request may be in flight at once.
    pub hedging_enabled: bool,
    /// Clients receive the `retry_after` of [`Action::Refuse`].
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
    /// Workers report when a job starts ([`Event::Started`]).
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

/// State of a worker in the membership.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerState {
    /// Takes work.
    #[default]
    Ready,
    /// Completes its work; takes nothing new.
    Draining,
    /// Removed.
    Gone,
}

/// One entry of the membership.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    /// The worker.
    pub worker: WorkerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its machine kind.
    pub kind: KindId,
    /// Its cell.
    pub cell: CellId,
    /// Its state.
    pub state: WorkerState,
    /// A number of its own that is the same at every node.
    pub name: u64,
    /// Its latest start, if known to be recent.
    pub started: Option<Time>,
}

/// What an [`Event::Members`] carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Delta,
    /// The complete list.
    Full,
    /// The complete list as this node last stored it, perhaps stale.
    Cached,
    /// A call to discovery failed or the subscription broke; no entries.
    Failed,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Served.
    Ok,
    /// The worker returned an error; may have run.
    Error,
    /// Rejected; never ran, unless [`Settings::full_may_have_run`].
    Full,
    /// No answer in time; may have run, or may yet.
    Timeout,
    /// No connection; never ran.
    ConnectFailed,
    /// Connection broke; may have run.
    Reset,
    /// Cancelled; may have run.
    Cancelled,
    /// Not sent; never ran.
    Moot,
}

/// Load report values, in the order of [`Settings::report_fields`]; empty when absent.
pub type Report = Vec<f32>;

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The membership, or changes to it.
    Members {
        /// What it carries.
        kind: ListKind,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// A client request; it must get one final answer.
    Request {
        /// Its id.
        id: RequestId,
        /// Its class.
        class: ClassId,
        /// Its tenant.
        tenant: TenantId,
        /// Time left before the client gives up.
        time_left: Duration,
        /// A client's retry, where clients say so.
        repeat: bool,
        /// Slots the job takes.
        slots: f32,
        /// Memory units the job takes.
        memory: f32,
        /// Hint of its work, as time on a worker of speed 1.
        work: Option<Duration>,
        /// Key of what it is about: workers keep for a while what jobs of one key need. 0: nothing.
        key: u64,
    },
    /// An attempt's job has started to run.
    Started {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// An attempt's job has progressed.
    Progress {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
        /// Fraction done.
        done: f32,
    },
    /// An attempt's answer has begun; it belongs to the client now.
    StreamOpened {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// An attempt has ended.
    Outcome {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
        /// The worker.
        worker: WorkerId,
        /// How it ended.
        status: Status,
        /// Time since the send.
        latency: Duration,
        /// The request is over; no answer is due.
        closed: bool,
        /// Load report, where attached.
        report: Report,
    },
    /// A probe has ended.
    Probed {
        /// The worker.
        worker: WorkerId,
        /// How it ended.
        status: Status,
        /// Time since the probe.
        latency: Duration,
        /// Load report, where attached.
        report: Report,
    },
    /// The client is gone; no answer is due.
    ClientGone {
        /// The request.
        id: RequestId,
    },
    /// A timer is due.
    TimerDue {
        /// The timer.
        token: TimerToken,
    },
}

/// Something the caller must do, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the request's next attempt.
    Send {
        /// The request.
        id: RequestId,
        /// The worker.
        worker: WorkerId,
        /// Attempt time-out; `None`: until the client gives up.
        timeout: Option<Duration>,
    },
    /// Final answer: rejected; a retry is harmless.
    Refuse {
        /// The request.
        id: RequestId,
        /// How long the client should stay away.
        retry_after: Option<Duration>,
    },
    /// Final answer: failed; the request may have run.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// End the wait on one attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Ask a worker for its load.
    Probe {
        /// The worker.
        worker: WorkerId,
    },
    /// Close the idle connections to a worker.
    CloseIdle {
        /// The worker.
        worker: WorkerId,
    },
    /// Ask for [`Event::TimerDue`] at or after `at`.
    SetTimer {
        /// When.
        at: Time,
        /// Comes back with the event.
        token: TimerToken,
    },
    /// Subscribe to list changes.
    Watch,
    /// Ask for the complete list once.
    Fetch,
}
