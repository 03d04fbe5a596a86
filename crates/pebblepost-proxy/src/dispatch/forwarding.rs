//! Forwards one request of a client to transcribers of a backend, attempt by attempt, as its
//! dispatcher orders.

use super::admission::{Admission, AfterAttempt};
use super::attempt::{Attempt, AttemptResponse};
use super::backend::{Backend, status_of_error};
use super::classification::{ResponseClass, classify};
use super::command_queue::Command;
use super::retry::{Attempts, Failure};
use super::route_policy::RoutePolicy;
use crate::request::{BufferedBody, RequestHead};
use http::{HeaderName, HeaderValue};
use log::debug;
use pebblepost_dispatch::api::{Report, Status, WorkerId};
use pebblepost_transcriber::{
    BufferedResponse, ClientError, EventStream, Load, OutgoingRequest, ResponseHead, Target,
};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// Smallest advice on when to retry is half the latency target, within these bounds.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// See [`MIN_RETRY_AFTER`].
const MAX_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A request of a client, read in full.
#[derive(Debug)]
pub(crate) struct ClientRequest {
    /// Its head.
    pub(crate) head: RequestHead,
    /// Its body.
    pub(crate) body: BufferedBody,
    /// When its client must have the response.
    pub(crate) deadline: Instant,
}

/// What forwarding a request led to.
#[derive(Debug)]
pub(super) enum Forwarded {
    /// A transcriber's buffered response.
    Response(BufferedResponse),
    /// A transcriber's stream has begun.
    Stream(OpenStream),
    /// No transcriber returned a final response.
    Failed(Failure),
}

/// A stream that has begun, with its admission.
#[derive(Debug)]
pub(super) struct OpenStream {
    /// Head of the response.
    pub(super) head: ResponseHead,
    /// Its events.
    pub(super) events: EventStream,
    /// Admission with the stream's attempt in flight.
    pub(super) admission: Admission,
}

/// How one attempt ended.
#[derive(Debug)]
enum AttemptOutcome {
    /// With a final response.
    Response(BufferedResponse),
    /// With the head of a final stream.
    Stream(ResponseHead, EventStream),
    /// Without a final response.
    Failed,
}

/// A request on its way, with the state of its attempts.
#[derive(Debug)]
pub(super) struct Forwarding {
    backend: Rc<Backend>,
    pub(super) policy: RoutePolicy,
    pub(super) request: ClientRequest,
    affinity_key: u64,
    pub(super) attempts: Attempts,
    /// Id of the last event that the client has; a resumed stream continues after it.
    pub(super) last_event_id: Option<u64>,
}

impl Forwarding {
    /// A request that was not sent yet.
    pub(super) fn new(
        backend: Rc<Backend>, policy: RoutePolicy, request: ClientRequest, affinity_key: u64,
    ) -> Forwarding {
        let attempts = Attempts::new(policy.max_attempts, policy.idempotent);
        Forwarding { backend, policy, request, affinity_key, attempts, last_event_id: None }
    }

    /// Sends the request where the dispatcher orders, until there is a response or no attempt is
    /// left. Dropping the future closes the connection of the attempt in flight.
    pub(super) async fn run(&mut self) -> Forwarded {
        let time_left = self.time_left();
        if time_left.is_zero() {
            return Forwarded::Failed(self.take_failure(None));
        }
        let admitted = Admission::submit(&self.backend, &self.policy, time_left, self.affinity_key);
        let Some(mut admission) = admitted else { return Forwarded::Failed(self.take_failure(None)) };
        loop {
            let worker = match admission.next_command(self.request.deadline).await {
                Command::Send(worker) => worker,
                Command::GiveUp { retry_after } => return Forwarded::Failed(self.take_failure(retry_after)),
            };
            let Some(target) = self.usable_target(&mut admission, worker) else { continue };
            match self.make_attempt(&mut admission, worker, &target).await {
                AttemptOutcome::Response(response) => return Forwarded::Response(response),
                AttemptOutcome::Stream(head, events) => {
                    return Forwarded::Stream(OpenStream { head, events, admission });
                }
                AttemptOutcome::Failed if self.attempts.can_retry() => {}
                AttemptOutcome::Failed => return Forwarded::Failed(self.take_failure(None)),
            }
        }
    }

    /// The target of a worker that was ordered, unless the attempt must not be made there; then it is
    /// reported as ended.
    fn usable_target(&self, admission: &mut Admission, worker: WorkerId) -> Option<Target> {
        if self.attempts.contains(worker) && self.backend.has_untried_worker(&self.attempts) {
            // As rejected by the worker again: the dispatcher then excludes it for this request.
            admission.end_attempt(Status::Full, Report::new(), AfterAttempt::MayRetry);
            return None;
        }
        // Checked at the last moment: the worker may be draining since it was chosen.
        let target = self.backend.ready_target(worker).filter(|_| self.attempts.can_retry());
        if target.is_none() {
            admission.end_attempt(Status::Moot, Report::new(), AfterAttempt::MayRetry);
        }
        target
    }

    /// Makes one attempt and reports how it ended, or that its stream has begun.
    async fn make_attempt(
        &mut self, admission: &mut Admission, worker: WorkerId, target: &Target,
    ) -> AttemptOutcome {
        self.attempts.begin(worker);
        let attempt = Attempt {
            client: self.backend.client(),
            target,
            policy: &self.policy,
            can_retry: self.attempts.can_retry(),
        };
        match attempt.send(self.outgoing_request()).await {
            Ok(AttemptResponse::Stream(head, events)) if classify(&head) == ResponseClass::Final => {
                admission.report_stream_opened();
                AttemptOutcome::Stream(head, events)
            }
            Ok(AttemptResponse::Stream(..)) => {
                self.attempts.record_failure();
                self.end_attempt(admission, Status::Error, Report::new());
                AttemptOutcome::Failed
            }
            Ok(AttemptResponse::Buffered(response)) => self
                .process_response(admission, worker, response)
                .map_or(AttemptOutcome::Failed, AttemptOutcome::Response),
            Err(error) => {
                debug!(
                    "attempt failed request={} transcriber={} error={error:?}",
                    self.request.head.request_id, target.address
                );
                self.process_error(admission, error);
                AttemptOutcome::Failed
            }
        }
    }

    /// Updates the attempts with a buffered response; returns the response if it is final.
    fn process_response(
        &mut self, admission: &mut Admission, worker: WorkerId, response: BufferedResponse,
    ) -> Option<BufferedResponse> {
        let report = self.load_report(worker, response.head.load.as_ref());
        match classify(&response.head) {
            ResponseClass::Final => {
                admission.end_attempt(Status::Ok, report, AfterAttempt::Closed);
                return Some(response);
            }
            ResponseClass::NotExecuted => self.end_attempt(admission, Status::Full, report),
            ResponseClass::Failed => {
                self.attempts.record_failed_response(response);
                self.end_attempt(admission, Status::Error, report);
            }
            ResponseClass::Unusable => {
                self.attempts.record_failure();
                self.end_attempt(admission, Status::Error, report);
            }
        }
        None
    }

    fn process_error(&mut self, admission: &mut Admission, error: ClientError) {
        match error {
            ClientError::NotSent => self.attempts.undo_last(),
            ClientError::MayHaveRun => self.attempts.record_failure(),
            ClientError::TimedOut => self.attempts.record_timeout(),
        }
        self.end_attempt(admission, status_of_error(error), Report::new());
    }

    fn end_attempt(&self, admission: &mut Admission, status: Status, report: Report) {
        let after = if self.attempts.can_retry() { AfterAttempt::MayRetry } else { AfterAttempt::Closed };
        admission.end_attempt(status, report, after);
    }

    fn load_report(&self, worker: WorkerId, load: Option<&Load>) -> Report {
        load.map_or_else(Report::new, |load| self.backend.load_report(worker, load))
    }

    /// How the request fails now. `dispatcher_advice`: the dispatcher's advice on when to retry.
    fn take_failure(&mut self, dispatcher_advice: Option<Duration>) -> Failure {
        // Transcribers that are gone come back or are replaced, which takes longer than a request.
        let default_delay = match self.backend.has_ready_worker() {
            true => (self.policy.target_latency / 2).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
            false => MAX_RETRY_AFTER,
        };
        self.attempts.take_failure(
            dispatcher_advice.map_or(default_delay, |dispatcher_advice| dispatcher_advice.max(default_delay)),
        )
    }

    /// Time left until the deadline.
    pub(super) fn time_left(&self) -> Duration {
        self.request.deadline.saturating_duration_since(Instant::now())
    }

    /// The request as a transcriber gets it.
    fn outgoing_request(&self) -> OutgoingRequest {
        let head = &self.request.head;
        let mut headers = head.headers.clone();
        if let Some(id) = self.last_event_id {
            headers.insert(LAST_EVENT_ID, HeaderValue::from(id));
        }
        OutgoingRequest {
            method: head.method.clone(),
            path: head.path.clone(),
            headers,
            body: self.request.body.bytes.clone(),
            request_id: head.request_id.clone(),
            timeout: self.time_left(),
        }
    }
}
