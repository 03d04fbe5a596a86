//! Forwards one client request to the transcribers of a backend, one attempt at a time. The
//! backend's dispatcher selects the transcriber of each attempt.

use super::admission::{Admission, AfterAttempt};
use super::attempt::{Attempt, AttemptResponse};
use super::backend::{Backend, status_of_error};
use super::classification::{ResponseClass, classify};
use super::command_queue::Command;
use super::retry::{Attempts, Failure};
use super::route_policy::RoutePolicy;
use crate::request::{ContiguousBody, RequestHead};
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
/// Lower bound of the default retry delay, which is half the latency target.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Upper bound of the default retry delay. It is also the delay while no worker is ready.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A client request whose body has been read completely.
#[derive(Debug)]
pub(crate) struct ClientRequest {
    /// Checked head.
    pub(crate) head: RequestHead,
    /// Complete body, with its memory reservation.
    pub(crate) body: ContiguousBody,
    /// Time by which the client must have the response.
    pub(crate) deadline: Instant,
}

/// Result of forwarding a request.
#[derive(Debug)]
pub(super) enum Forwarded {
    /// A transcriber returned a complete final response.
    Response(BufferedResponse),
    /// A transcriber returned the head of a stream.
    Stream(OpenStream),
    /// No transcriber returned a final response.
    Failed(Failure),
}

/// A stream whose head has been received, with the admission of its request.
#[derive(Debug)]
pub(super) struct OpenStream {
    /// Head of the transcriber's response.
    pub(super) head: ResponseHead,
    /// Events that follow the head.
    pub(super) events: EventStream,
    /// Admission of the request; the attempt that carries the stream is in flight.
    pub(super) admission: Admission,
}

/// Result of one attempt.
#[derive(Debug)]
enum AttemptOutcome {
    /// The transcriber returned a final response.
    Response(BufferedResponse),
    /// The transcriber returned the head of a stream with a final status.
    Stream(ResponseHead, EventStream),
    /// The transcriber returned no final response.
    Failed,
}

/// A client request and the state of its attempts at one backend.
#[derive(Debug)]
pub(super) struct Forwarding {
    backend: Rc<Backend>,
    pub(super) policy: RoutePolicy,
    pub(super) request: ClientRequest,
    affinity_key: u64,
    pub(super) attempts: Attempts,
    /// Id of the last event forwarded to the client. A resumed stream continues after it.
    pub(super) last_event_id: Option<u64>,
}

impl Forwarding {
    /// Creates the state of a request that has not been sent yet.
    pub(super) fn new(
        backend: Rc<Backend>, policy: RoutePolicy, request: ClientRequest, affinity_key: u64,
    ) -> Forwarding {
        let attempts = Attempts::new(policy.max_attempts, policy.idempotent);
        Forwarding { backend, policy, request, affinity_key, attempts, last_event_id: None }
    }

    /// Sends the request to the workers that the dispatcher selects, until one returns a final
    /// response or no further attempt is allowed.
    ///
    /// Dropping the future closes the connection of the attempt in flight.
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

    /// Returns the target of the worker that the dispatcher selected. Returns `None`, and reports the
    /// attempt as ended, if the attempt must not be made there.
    fn usable_target(&self, admission: &mut Admission, worker: WorkerId) -> Option<Target> {
        if self.attempts.contains(worker) && self.backend.has_untried_worker(&self.attempts) {
            // Reported as if the worker had rejected the request again, because the dispatcher then
            // excludes that worker for this request.
            admission.end_attempt(Status::Full, Report::new(), AfterAttempt::MayRetry);
            return None;
        }
        // Checked right before sending: the worker may have started to drain since it was selected.
        let target = self.backend.ready_target(worker).filter(|_| self.attempts.can_retry());
        if target.is_none() {
            admission.end_attempt(Status::Moot, Report::new(), AfterAttempt::MayRetry);
        }
        target
    }

    /// Makes one attempt and reports to the dispatcher that it ended or that its stream began.
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

    /// Records a buffered response in the attempts. Returns the response if it is final.
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

    /// Returns how the request fails if no further attempt is made. `dispatcher_advice` is the retry
    /// delay that the dispatcher advises; it only lengthens the default delay.
    fn take_failure(&mut self, dispatcher_advice: Option<Duration>) -> Failure {
        // While no transcriber is ready, one has to return or be replaced, which takes longer than a
        // request.
        let default_delay = match self.backend.has_ready_worker() {
            true => (self.policy.target_latency / 2).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
            false => MAX_RETRY_AFTER,
        };
        self.attempts
            .take_failure(dispatcher_advice.map_or(default_delay, |advice| advice.max(default_delay)))
    }

    /// Returns the time left until the client's deadline; zero once it has passed.
    pub(super) fn time_left(&self) -> Duration {
        self.request.deadline.saturating_duration_since(Instant::now())
    }

    /// Builds the request that is sent to a transcriber.
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
