//! One request of a client on its way through the transcribers of a service.

use super::attempts::{Attempts, Ending};
use super::policy::RoutePolicy;
use super::service::Service;
use super::ticket::{Command, Ticket};
use super::verdict::{Verdict, judge};
use crate::request::{RequestHead, WholeBody};
use http::{HeaderName, HeaderValue};
use log::debug;
use pebblepost_dispatch::api::{Report, Status, WorkerId};
use pebblepost_transcriber::{
    BufferedResponse, ClientError, EventStream, Load, OutgoingRequest, ResponseHead, StreamResponse, Target,
};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// A transcriber that is silent for this many target latencies is asked whether it is alive.
const SILENCE_IN_TARGETS: u32 = 2;
/// See [`SILENCE_IN_TARGETS`]; at least this long.
const LEAST_SILENCE: Duration = Duration::from_millis(250);
/// A silent transcriber that does not tell its load in this time is taken to be lost.
const ALIVE_WITHIN: Duration = Duration::from_millis(300);
/// Bounds on the least advice for clients on when to come back.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(500));

/// What a transcriber answers.
#[derive(Debug)]
enum Reply {
    Whole(BufferedResponse),
    Stream(ResponseHead, EventStream),
}

/// What came of a call.
#[derive(Debug)]
pub(super) enum Settled {
    /// A transcriber's whole answer.
    Answer(BufferedResponse),
    /// A transcriber's stream has begun.
    Stream(OpenStream),
    /// No transcriber's answer.
    Ended(Ending),
}

/// A stream that has begun, with its place in the decisions.
#[derive(Debug)]
pub(super) struct OpenStream {
    /// Head of the answer.
    pub(super) head: ResponseHead,
    /// What follows.
    pub(super) events: EventStream,
    /// Its attempt.
    pub(super) ticket: Ticket,
}

/// A request with what is known of its attempts.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) service: Rc<Service>,
    pub(super) policy: RoutePolicy,
    pub(super) head: RequestHead,
    body: WholeBody,
    key: u64,
    pub(super) deadline: Instant,
    pub(super) attempts: Attempts,
    /// The stream is to continue after this event.
    pub(super) last_event: Option<u64>,
}

impl Call {
    /// A call that has not been sent anywhere.
    pub(super) fn new(
        service: Rc<Service>, policy: RoutePolicy, head: RequestHead, body: WholeBody, key: u64,
        deadline: Instant,
    ) -> Call {
        let attempts = Attempts::new(policy.max_attempts, policy.repeatable);
        Call { service, policy, head, body, key, deadline, attempts, last_event: None }
    }

    /// Sends the request where the decisions say until it is settled. Dropping the future closes
    /// the connection of the attempt that is out.
    pub(super) async fn settle(&mut self) -> Settled {
        let left = self.left();
        let ticket = if left.is_zero() { None } else { self.service.admit(&self.policy, left, self.key) };
        let Some(mut ticket) = ticket else { return Settled::Ended(self.ending(None)) };
        loop {
            let worker = match ticket.command(self.deadline).await {
                Command::Send(worker) => worker,
                Command::GiveUp(retry_after) => return Settled::Ended(self.ending(retry_after)),
            };
            if self.attempts.was_sent_to(worker) && self.service.any_ready_but(&self.attempts) {
                // The decisions leave out who turned the request away; so they do with this one.
                ticket.end(Status::Full, Report::new(), false);
                continue;
            }
            // Checked at the last moment: it may have begun to drain since it was chosen.
            let target = self.service.ready(worker).filter(|_| self.attempts.allows_more());
            let Some(target) = target else {
                ticket.end(Status::Moot, Report::new(), false);
                continue;
            };
            self.attempts.sent(worker);
            match self.attempt(&target).await {
                Ok(Reply::Stream(head, events)) if judge(&head) == Verdict::Final => {
                    ticket.stream_opened();
                    return Settled::Stream(OpenStream { head, events, ticket });
                }
                Ok(Reply::Stream(..)) => {
                    self.attempts.ran(None, false);
                    self.close_attempt(&mut ticket, Status::Error, Report::new());
                }
                Ok(Reply::Whole(answer)) => {
                    if let Some(answer) = self.take_answer(&mut ticket, worker, answer) {
                        return Settled::Answer(answer);
                    }
                }
                Err(failure) => {
                    debug!("{}: {failure:?} at {}", self.head.request_id, target.address);
                    self.take_failure(&mut ticket, failure);
                }
            }
            if !self.attempts.allows_more() {
                return Settled::Ended(self.ending(None));
            }
        }
    }

    /// Takes a whole answer in; returns it if it is the one for the client.
    fn take_answer(
        &mut self, ticket: &mut Ticket, worker: WorkerId, answer: BufferedResponse,
    ) -> Option<BufferedResponse> {
        let report = self.report(worker, answer.head.load.as_ref());
        match judge(&answer.head) {
            Verdict::Final => {
                ticket.end(Status::Ok, report, true);
                return Some(answer);
            }
            Verdict::NotExecuted => self.close_attempt(ticket, Status::Full, report),
            Verdict::Failed => {
                self.attempts.ran(Some(answer), false);
                self.close_attempt(ticket, Status::Error, report);
            }
            Verdict::Unusable => {
                self.attempts.ran(None, false);
                self.close_attempt(ticket, Status::Error, report);
            }
        }
        None
    }

    fn take_failure(&mut self, ticket: &mut Ticket, failure: ClientError) {
        let status = match failure {
            ClientError::NotSent => {
                self.attempts.not_sent();
                Status::ConnectFailed
            }
            ClientError::MayHaveRun => {
                self.attempts.ran(None, false);
                Status::Reset
            }
            ClientError::TimedOut => {
                self.attempts.ran(None, true);
                Status::Timeout
            }
        };
        self.close_attempt(ticket, status, Report::new());
    }

    fn close_attempt(&self, ticket: &mut Ticket, status: Status, report: Report) {
        ticket.end(status, report, !self.attempts.allows_more());
    }

    fn report(&self, worker: WorkerId, load: Option<&Load>) -> Report {
        load.map_or_else(Report::new, |load| self.service.report(worker, load))
    }

    /// How the call ends now. `advice`: of the decisions, on when to come back.
    pub(super) fn ending(&mut self, advice: Option<Duration>) -> Ending {
        let (least, most) = RETRY_AFTER;
        // Transcribers that are gone come back or are replaced, which takes longer than a job.
        let usual = match self.service.any_ready() {
            true => (self.policy.target_latency / 2).clamp(least, most),
            false => most,
        };
        self.attempts.ending(advice.map_or(usual, |advice| advice.max(usual)))
    }

    /// Time left for the client.
    pub(super) fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Sends the request to a transcriber. One that stays silent is asked for its load: if it does
    /// not answer that either, and the request may go elsewhere, it is given up.
    async fn attempt(&self, target: &Target) -> Result<Reply, ClientError> {
        let client = self.service.client();
        let mut reply = pin!(self.send(target));
        let mut patience = (self.policy.target_latency * SILENCE_IN_TARGETS).max(LEAST_SILENCE);
        if !self.policy.repeatable {
            return reply.await;
        }
        loop {
            if let Ok(reply) = tokio::time::timeout(patience, reply.as_mut()).await {
                return reply;
            }
            if !self.attempts.allows_more() {
                return reply.await;
            }
            tokio::select! {
                biased;
                reply = reply.as_mut() => return reply,
                load = client.load_report(target, ALIVE_WITHIN) => {
                    if load.is_err() {
                        return Err(ClientError::TimedOut);
                    }
                }
            }
            patience *= 2;
        }
    }

    async fn send(&self, target: &Target) -> Result<Reply, ClientError> {
        let client = self.service.client();
        if !self.policy.streaming {
            return client.send(target, self.outgoing()).await.map(Reply::Whole);
        }
        match client.open_stream(target, self.outgoing()).await? {
            StreamResponse::Stream(head, events) => Ok(Reply::Stream(head, events)),
            StreamResponse::Whole(answer) => Ok(Reply::Whole(answer)),
        }
    }

    fn outgoing(&self) -> OutgoingRequest {
        let mut headers = self.head.headers.clone();
        if let Some(id) = self.last_event {
            headers.insert(LAST_EVENT_ID, HeaderValue::from(id));
        }
        OutgoingRequest {
            method: self.head.method.clone(),
            path: self.head.path.clone(),
            headers,
            body: self.body.bytes.clone(),
            request_id: self.head.request_id.clone(),
            deadline: self.left(),
        }
    }
}
