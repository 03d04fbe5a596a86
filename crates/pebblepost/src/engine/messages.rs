//! Inputs and outputs of the engine.

use pebblepost_dispatch::api::{
    AttemptNo, ClassId, Entry, ListKind, Report, RequestId, Status, TenantId, Time, TimerToken, WorkerId,
};
use std::time::Duration;

/// The part of a request that the engine needs for its decisions. The front that received the request keeps the rest.
#[derive(Clone, Debug)]
pub struct Request {
    /// Index of the request's class in the settings.
    pub class: ClassId,
    /// Time until the client's deadline.
    pub time_left: Duration,
    /// Whether the client marks the request as one that it has sent before.
    pub repeat: bool,
    /// Slots that the request occupies on a worker.
    pub slots: f32,
    /// Memory that the request occupies on a worker, in the unit used in the settings.
    pub memory: f32,
    /// The client's estimate of the execution time.
    pub work: Option<Duration>,
    /// Hash of the affinity key; 0 if the request has none.
    pub key: u64,
    /// Index of the request's tenant.
    pub tenant: TenantId,
}

/// Identifies one attempt to deliver a request to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// The number of the attempt within the request, from 0.
    pub number: AttemptNo,
}

/// An event reported to the engine by a front, a worker connection, discovery or a timer.
#[derive(Debug)]
pub enum Input {
    /// A request arrived. Its id must not have been used before.
    Request(RequestId, Request),
    /// The client of a request disconnected.
    ClientDisconnected(RequestId),
    /// The list of workers changed. A full or cached list implies that workers it does not name are gone; a delta says nothing
    /// about those.
    Membership(ListKind, Vec<Entry>),
    /// The new connection of an attempt is established. The request has not been sent on it.
    Connected(AttemptId),
    /// The worker started to execute an attempt.
    Started(AttemptId),
    /// The worker reported the progress of an attempt, as a fraction of the whole.
    Progress(AttemptId, f32),
    /// An attempt ended.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        status: Status,
        /// The worker's load report; empty if there was none.
        report: Report,
        /// The body of the response; empty unless the status is [`Status::Ok`].
        body: Vec<u8>,
    },
    /// A worker rejected the request as invalid. The request fails without a retry, because every other worker would reject it
    /// too, and the rejection does not count against the worker.
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
    /// A timer set by [`Output::SetTimer`] is due.
    TimerDue(EngineTimer),
}

impl Input {
    /// Creates the input for an attempt that ended without a load report or a body.
    pub fn attempt_failed(attempt: AttemptId, status: Status) -> Self {
        Self::AttemptEnded { attempt, status, report: Vec::new(), body: Vec::new() }
    }
}

/// A timer of the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineTimer {
    /// A timer of the decision module.
    Decision(TimerToken),
    /// The time-out of an attempt, which ends it with [`Status::Timeout`].
    AttemptTimeout(AttemptId),
    /// The deadline of a request's client, which ends the request.
    ClientDeadline(RequestId),
}

/// The final response to a request. Each request gets at most one.
#[derive(Debug, PartialEq)]
pub enum FinalResponse {
    /// The body that a worker produced.
    Served(Vec<u8>),
    /// The request was rejected without having run. The client may retry it safely, preferably after this time.
    Rejected(Duration),
    /// The request failed and may have run.
    Failed,
}

/// An operation that the engine asks the daemon to perform.
#[derive(Debug, PartialEq)]
pub enum Output {
    /// Start an attempt: deliver the request to the worker.
    Deliver {
        /// The attempt.
        attempt: AttemptId,
        /// The worker.
        worker: WorkerId,
        /// Time until the client's deadline.
        time_left: Duration,
    },
    /// Send the request on the new connection of the attempt, in response to [`Input::Connected`].
    Transmit {
        /// The attempt.
        attempt: AttemptId,
        /// Time until the client's deadline.
        time_left: Duration,
    },
    /// Abandon the attempt: end it on the wire. The engine ignores any further input about it.
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
    /// Send the final response to the client.
    Respond(RequestId, FinalResponse),
}
