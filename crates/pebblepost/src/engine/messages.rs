//! What goes into the engine and what comes out of it.

use pebblepost_dispatch::api::{
    AttemptNo, ClassId, Entry, ListKind, Report, RequestId, Status, TenantId, Time, TimerToken, WorkerId,
};
use std::time::Duration;

/// What the engine knows of a request; the front that received it keeps the rest.
#[derive(Clone, Debug)]
pub struct Request {
    /// Index of its class.
    pub class: ClassId,
    /// How long its client waits from now on.
    pub time_left: Duration,
    /// Whether the client says that it has sent it before.
    pub repeat: bool,
    /// Slots that it takes on a worker.
    pub slots: f32,
    /// Memory that it takes on a worker, in the units of the settings.
    pub memory: f32,
    /// The client's estimate of its execution time.
    pub work: Option<Duration>,
    /// Hash of its affinity key; 0 if it has none.
    pub key: u64,
    /// Index of its tenant.
    pub tenant: TenantId,
}

/// Identifies one attempt to deliver a request to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// The attempt's number among those of the request.
    pub number: AttemptNo,
}

/// An event reported by the fronts, the worker connections, discovery or the timers.
#[derive(Debug)]
pub enum Input {
    /// A request arrived. Its id was never used before.
    Request(RequestId, Request),
    /// The client of a request disconnected.
    ClientDisconnected(RequestId),
    /// The list of workers changed.
    Membership(ListKind, Vec<Entry>),
    /// The connection that an attempt waited for is established; nothing was sent on it.
    Connected(AttemptId),
    /// The worker started an attempt's job.
    Started(AttemptId),
    /// An attempt's job made progress; a fraction of the whole.
    Progress(AttemptId, f32),
    /// An attempt ended.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        status: Status,
        /// The worker's load report; empty if there was none.
        report: Report,
        /// Body of the response, if it was served.
        body: Vec<u8>,
    },
    /// A worker rejected the request as invalid: no other worker would accept it, and the worker is not at fault.
    RequestInvalid(AttemptId),
    /// A load probe ended.
    Probed {
        /// The probed worker.
        worker: WorkerId,
        /// How the probe ended.
        status: Status,
        /// Time from sending the probe to its end.
        latency: Duration,
        /// The worker's load report; empty if there was none.
        report: Report,
    },
    /// A timer that the engine had set is due.
    TimerDue(EngineTimer),
}

impl Input {
    /// The end of an attempt without a load report or a body.
    pub fn attempt_failed(attempt: AttemptId, status: Status) -> Self {
        Self::AttemptEnded { attempt, status, report: Vec::new(), body: Vec::new() }
    }
}

/// A timer of the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineTimer {
    /// A timer of the decision module.
    Decision(TimerToken),
    /// The time-out of an attempt.
    AttemptTimeout(AttemptId),
    /// The deadline of a request's client.
    ClientDeadline(RequestId),
}

/// The one final response to a request.
#[derive(Debug, PartialEq)]
pub enum FinalResponse {
    /// The body that a worker produced.
    Served(Vec<u8>),
    /// Rejected without having run. A retry is harmless, best after this long.
    Rejected(Duration),
    /// Failed; the request may have run.
    Failed,
}

/// What the daemon has to do.
#[derive(Debug, PartialEq)]
pub enum Output {
    /// Deliver the request to the worker.
    Deliver {
        /// The attempt.
        attempt: AttemptId,
        /// The worker.
        worker: WorkerId,
        /// Time until the client's deadline.
        time_left: Duration,
    },
    /// Send the request on the connection that has been established for the attempt.
    Transmit {
        /// The attempt.
        attempt: AttemptId,
        /// Time until the client's deadline.
        time_left: Duration,
    },
    /// Abandon the attempt: end it on the wire. Nothing more of it is reported to the engine.
    Abandon(AttemptId),
    /// Probe the worker's load.
    Probe(WorkerId),
    /// Close the idle connections to the worker.
    CloseIdle(WorkerId),
    /// Subscribe to changes of the list of workers.
    Watch,
    /// Fetch the complete list of workers once.
    Fetch,
    /// Set a timer.
    SetTimer(Time, EngineTimer),
    /// Give the one final response.
    Respond(RequestId, FinalResponse),
}
