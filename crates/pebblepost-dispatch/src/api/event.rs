//! Events: what happens to a dispatcher.

use super::ids::{
    AttemptNo, CellId, ClassId, KindId, RequestId, TenantId, Time, TimerToken, WorkerId, ZoneId,
};
use std::time::Duration;

/// State of a worker in the membership.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerState {
    /// Accepts work.
    #[default]
    Ready,
    /// Completes its work and accepts nothing new.
    Draining,
    /// Removed.
    Gone,
}

/// Entry of the membership.
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
    /// Number of the worker that is the same at every dispatcher.
    pub name: u64,
    /// Time of its latest start, if known to be recent.
    pub started: Option<Time>,
}

/// Content of an [`Event::Members`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Delta,
    /// The complete list.
    Full,
    /// The complete list as this dispatcher last stored it; possibly stale.
    Cached,
    /// No entries: a call to discovery failed, or the subscription broke.
    Failed,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Served.
    Ok,
    /// The worker returned an error. The attempt may have run.
    Error,
    /// Rejected. The attempt never ran, unless
    /// [`Settings::full_may_have_run`](crate::api::Settings::full_may_have_run).
    Full,
    /// No answer in time. The attempt may have run, or may still run.
    Timeout,
    /// The connection could not be opened. The attempt never ran.
    ConnectFailed,
    /// The connection broke. The attempt may have run.
    Reset,
    /// Cancelled. The attempt may have run.
    Cancelled,
    /// Not sent. The attempt never ran.
    Moot,
}

/// Values of a load report in the order of [`Settings::report_fields`](crate::api::Settings::report_fields);
/// empty if there is no report.
pub type Report = Vec<f32>;

/// Input of a dispatcher.
#[derive(Clone, Debug)]
pub enum Event {
    /// The membership or changes to it arrived.
    Members {
        /// Content of the update.
        kind: ListKind,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// A client request arrived. It must get exactly one final answer. A request of an unknown class, or with
    /// an id that is in use, fails at once.
    Request {
        /// Id of the request.
        id: RequestId,
        /// Class of the request.
        class: ClassId,
        /// Tenant of the request.
        tenant: TenantId,
        /// Time left until the deadline of the client.
        time_left: Duration,
        /// Whether this is a client's retry, where clients say so.
        repeat: bool,
        /// Slots that the job takes.
        slots: f32,
        /// Memory units that the job takes.
        memory: f32,
        /// Hint of the job's work, as time on a worker of speed 1.
        work: Option<Duration>,
        /// Affinity key: workers cache for a while what the jobs of a key need. 0: no key.
        key: u64,
    },
    /// The job of an attempt started to run.
    Started {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// The job of an attempt made progress.
    Progress {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
        /// Fraction of the job that is done.
        done: f32,
    },
    /// The answer of an attempt began. From now on the client reads it.
    StreamOpened {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// An attempt ended.
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
        /// Whether the request is finished, so that no answer is due.
        closed: bool,
        /// Load report, if attached.
        report: Report,
    },
    /// A probe ended. The results of a worker's probes must be passed in the order of the probes.
    Probed {
        /// The worker.
        worker: WorkerId,
        /// How it ended.
        status: Status,
        /// Time since the probe.
        latency: Duration,
        /// Load report, if attached.
        report: Report,
    },
    /// The client disconnected; no answer is due.
    ClientGone {
        /// The request.
        id: RequestId,
    },
    /// A timer expired.
    TimerDue {
        /// Token of the timer.
        token: TimerToken,
    },
}
