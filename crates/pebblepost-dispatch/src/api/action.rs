//! Actions: what a dispatcher asks its caller to do.

use super::ids::{AttemptNo, RequestId, Time, TimerToken, WorkerId};
use std::time::Duration;

/// Instruction to the caller. Actions must be carried out in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Starts the request's next attempt.
    Send {
        /// The request.
        id: RequestId,
        /// The worker.
        worker: WorkerId,
        /// Time-out of the attempt. With `None`, the attempt may last until the deadline of the request.
        timeout: Option<Duration>,
    },
    /// Gives the final answer: rejected. The client may safely retry.
    Refuse {
        /// The request.
        id: RequestId,
        /// Time after which the client may retry.
        retry_after: Option<Duration>,
    },
    /// Gives the final answer: failed. The request may have run.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Stops waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Asks a worker for its load.
    Probe {
        /// The worker.
        worker: WorkerId,
    },
    /// Closes the idle connections to a worker.
    CloseIdle {
        /// The worker.
        worker: WorkerId,
    },
    /// Requests an [`Event::TimerDue`](crate::api::Event::TimerDue) at or after `at`.
    SetTimer {
        /// Earliest time of the event.
        at: Time,
        /// Token that the event must carry.
        token: TimerToken,
    },
    /// Subscribes to changes of the membership.
    Watch,
    /// Fetches the complete membership once.
    Fetch,
}
