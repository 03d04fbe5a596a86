//! Retry state of one request: the attempts made so far, and whether another one is allowed.
//!
//! A request that is not idempotent gets no further attempt once a transcriber may have executed it
//! (`RULES.md`). This module performs no I/O.

use http::StatusCode;
use pebblepost_dispatch::api::WorkerId;
use pebblepost_transcriber::BufferedResponse;
use std::time::Duration;

/// Attempts of one request, including those that resume its stream.
#[derive(Debug)]
pub(super) struct Attempts {
    max_attempts: usize,
    idempotent: bool,
    /// Worker of each attempt, in the order of sending.
    workers: Vec<WorkerId>,
    /// A transcriber may have executed the request.
    may_have_run: bool,
    /// The last attempt that may have run timed out.
    timed_out: bool,
    /// Latest failure response of a transcriber. It is forwarded to the client if no attempt succeeds.
    failed_response: Option<BufferedResponse>,
}

/// Result of a request for which no transcriber returned a final response.
#[derive(Debug)]
pub(super) enum Failure {
    /// No transcriber has executed the request, and none will.
    NotExecuted {
        /// Delay after which the client may retry.
        retry_after: Duration,
    },
    /// A transcriber executed the request and returned this failure.
    Response(BufferedResponse),
    /// A transcriber may have executed the request: 504 if the last such attempt timed out, 502
    /// otherwise.
    Indeterminate(StatusCode),
}

impl Attempts {
    /// Creates the state of a request without attempts. It may be sent at most `max_attempts` times.
    pub(super) fn new(max_attempts: usize, idempotent: bool) -> Attempts {
        Attempts {
            max_attempts,
            idempotent,
            workers: Vec::new(),
            may_have_run: false,
            timed_out: false,
            failed_response: None,
        }
    }

    /// Returns whether another attempt is allowed.
    pub(super) fn can_retry(&self) -> bool {
        self.workers.len() < self.max_attempts && (self.idempotent || !self.may_have_run)
    }

    /// Returns whether an attempt was sent to `worker`.
    pub(super) fn contains(&self, worker: WorkerId) -> bool {
        self.workers.contains(&worker)
    }

    /// Records an attempt that is being sent to `worker`.
    pub(super) fn begin(&mut self, worker: WorkerId) {
        self.workers.push(worker);
    }

    /// Removes the latest attempt, of which no byte was sent, so that it does not count.
    pub(super) fn undo_last(&mut self) {
        self.workers.pop();
    }

    /// Records that the latest attempt failed and may have run.
    pub(super) fn record_failure(&mut self) {
        self.may_have_run = true;
        self.timed_out = false;
    }

    /// Records that the latest attempt timed out and may have run.
    pub(super) fn record_timeout(&mut self) {
        self.may_have_run = true;
        self.timed_out = true;
    }

    /// Records that the latest attempt ran and returned a failure response.
    pub(super) fn record_failed_response(&mut self, response: BufferedResponse) {
        self.record_failure();
        self.failed_response = Some(response);
    }

    /// Returns how the request fails if no further attempt is made, and takes out the stored failure
    /// response. `retry_after` is the advice to the client if the request has not run.
    pub(super) fn take_failure(&mut self, retry_after: Duration) -> Failure {
        if !self.may_have_run {
            return Failure::NotExecuted { retry_after };
        }
        match self.failed_response.take() {
            Some(response) => Failure::Response(response),
            None if self.timed_out => Failure::Indeterminate(StatusCode::GATEWAY_TIMEOUT),
            None => Failure::Indeterminate(StatusCode::BAD_GATEWAY),
        }
    }
}
