//! Admission of one request to its backend's dispatcher: its commands, and reports of its attempts.

use super::backend::Backend;
use super::command_queue::{Command, CommandQueue};
use super::route_policy::RoutePolicy;
use pebblepost_dispatch::api::{AttemptNo, Event, Report, RequestId, Status, WorkerId};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Whether a request needs attempts after the one that ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AfterAttempt {
    /// Another attempt may follow.
    MayRetry,
    /// The request is complete, or no attempt is allowed any more.
    Closed,
}

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
struct InFlightAttempt {
    number: AttemptNo,
    worker: WorkerId,
    sent: Instant,
}

/// A request that the dispatcher knows. Dropping it cancels what is still open.
#[derive(Debug)]
pub(super) struct Admission {
    backend: Rc<Backend>,
    id: RequestId,
    commands: Rc<CommandQueue>,
    attempts_begun: u8,
    in_flight: Option<InFlightAttempt>,
}

impl Admission {
    /// Hands a request to the dispatcher. `None`: the dispatcher can't take its class.
    pub(super) fn submit(
        backend: &Rc<Backend>, policy: &RoutePolicy, time_left: Duration, affinity_key: u64,
    ) -> Option<Admission> {
        let commands = Rc::new(CommandQueue::default());
        let id = backend.begin_request(policy, time_left, affinity_key, commands.clone())?;
        Some(Admission { backend: backend.clone(), id, commands, attempts_begun: 0, in_flight: None })
    }

    /// The next command; gives up at the deadline whatever the dispatcher orders. A command to send
    /// begins an attempt.
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

    /// Reports how the attempt in flight ended.
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

    /// Reports that the attempt's stream has begun: the client has its head.
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
        // Sends that were ordered and not carried out.
        for command in self.commands.drain() {
            if let Command::Send(worker) = command {
                self.begin_attempt(worker);
                self.end_attempt(Status::Moot, Report::new(), AfterAttempt::Closed);
            }
        }
        self.backend.end_request(self.id);
    }
}
