//! Admission of one request to its backend's dispatcher: receives the commands for the request and
//! reports its attempts.

use super::backend::Backend;
use super::command_queue::{Command, CommandQueue};
use super::route_policy::RoutePolicy;
use pebblepost_dispatch::api::{AttemptNo, Event, Report, RequestId, Status, WorkerId};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// States whether a request may get further attempts after the one that ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AfterAttempt {
    /// Another attempt may follow.
    MayRetry,
    /// The request is complete, or no further attempt is allowed.
    Closed,
}

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
struct InFlightAttempt {
    number: AttemptNo,
    worker: WorkerId,
    sent: Instant,
}

/// A request that was passed to the dispatcher.
///
/// Dropping it reports the attempt in flight as cancelled and removes the request.
#[derive(Debug)]
pub(super) struct Admission {
    backend: Rc<Backend>,
    id: RequestId,
    commands: Rc<CommandQueue>,
    attempts_begun: u8,
    in_flight: Option<InFlightAttempt>,
}

impl Admission {
    /// Passes a request to the dispatcher. Returns `None` if the dispatcher accepts no further request
    /// class.
    pub(super) fn submit(
        backend: &Rc<Backend>, policy: &RoutePolicy, time_left: Duration, affinity_key: u64,
    ) -> Option<Admission> {
        let commands = Rc::new(CommandQueue::default());
        let id = backend.begin_request(policy, time_left, affinity_key, commands.clone())?;
        Some(Admission { backend: backend.clone(), id, commands, attempts_begun: 0, in_flight: None })
    }

    /// Waits for the next command of the dispatcher; at the deadline, returns [`Command::GiveUp`].
    ///
    /// [`Command::Send`] starts an attempt, which the caller must end with [`Admission::end_attempt`].
    pub(super) async fn next_command(&mut self, deadline: Instant) -> Command {
        let next = tokio::time::timeout_at(deadline, self.commands.next()).await;
        let command = next.unwrap_or(Command::GiveUp { retry_after: None });
        if let Command::Send(worker) = command {
            self.begin_attempt(worker);
        }
        command
    }

    fn begin_attempt(&mut self, worker: WorkerId) {
        self.backend.record_attempt_start(worker);
        self.in_flight =
            Some(InFlightAttempt { number: AttemptNo(self.attempts_begun), worker, sent: Instant::now() });
        self.attempts_begun = self.attempts_begun.saturating_add(1);
    }

    /// Reports the result of the attempt in flight. Does nothing if there is none.
    pub(super) fn end_attempt(&mut self, status: Status, report: Report, after: AfterAttempt) {
        let Some(InFlightAttempt { number, worker, sent }) = self.in_flight.take() else { return };
        self.backend.record_attempt_end(worker);
        let latency = sent.elapsed();
        self.backend.handle(Event::Outcome {
            id: self.id,
            attempt: number,
            worker,
            status,
            latency,
            closed: after == AfterAttempt::Closed,
            report,
        });
    }

    /// Reports that the stream of the attempt in flight has begun: its head has been received.
    pub(super) fn report_stream_opened(&mut self) {
        if let Some(InFlightAttempt { number, .. }) = self.in_flight {
            self.backend.handle(Event::StreamOpened { id: self.id, attempt: number });
        }
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        self.end_attempt(Status::Cancelled, Report::new(), AfterAttempt::Closed);
        self.backend.handle(Event::ClientGone { id: self.id });
        // Send commands that were not carried out are reported as attempts that never ran.
        for command in self.commands.drain() {
            if let Command::Send(worker) = command {
                self.begin_attempt(worker);
                self.end_attempt(Status::Moot, Report::new(), AfterAttempt::Closed);
            }
        }
        self.backend.end_request(self.id);
    }
}
