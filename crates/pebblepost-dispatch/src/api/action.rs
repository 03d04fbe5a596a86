//! Actions: what a node asks its caller to do.

use super::ids::{AttemptNo, RequestId, Time, TimerToken, WorkerId};
use std::time::Duration;

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
    /// Ask for [`Event::TimerDue`](crate::api::Event::TimerDue) at or after `at`.
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
