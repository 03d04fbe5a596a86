//! Events: what happens to a node.

use super::ids::{
    AttemptNo, CellId, ClassId, KindId, RequestId, TenantId, Time, TimerToken, WorkerId, ZoneId,
};
use std::time::Duration;

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
    /// Rejected; never ran, unless [`Settings::full_may_have_run`](crate::api::Settings::full_may_have_run).
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

/// Load report values, in the order of [`Settings::report_fields`](crate::api::Settings::report_fields);
/// empty when absent.
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
