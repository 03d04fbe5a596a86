//! Retry state of one request: which attempts were made, and whether another one is allowed.
//!
//! A request that is not idempotent gets no further attempt once one of its attempts may have run
//! (`RULES.md`). This module never sends anything.

use http::StatusCode;
use pebblepost_dispatch::api::WorkerId;
use pebblepost_transcriber::BufferedResponse;
use std::time::Duration;

/// Attempts of one request, those that resume its stream included.
#[derive(Debug)]
pub(super) struct Attempts {
    max_attempts: usize,
    idempotent: bool,
    /// Worker of each attempt, in the order in which they were sent.
    workers: Vec<WorkerId>,
    may_have_run: bool,
    timed_out: bool,
    /// Newest failure that a transcriber returned, forwarded to the client if no attempt succeeds.
    failed_response: Option<BufferedResponse>,
}

/// How a request ends for which no transcriber returned a final response.
#[derive(Debug)]
pub(super) enum Failure {
    /// It has not run and never will.
    NotExecuted {
        /// When the client may retry.
        retry_after: Duration,
    },
    /// Failure that a transcriber returned.
    Response(BufferedResponse),
    /// It may have run: 502, or 504 after a time-out.
    Indeterminate(StatusCode),
}

impl Attempts {
    /// No attempt so far; the request may be sent to at most `max_attempts` workers.
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

    /// Whether another attempt is allowed.
    pub(super) fn can_retry(&self) -> bool {
        self.workers.len() < self.max_attempts && (self.idempotent || !self.may_have_run)
    }

    /// Whether an attempt was sent to this worker.
    pub(super) fn contains(&self, worker: WorkerId) -> bool {
        self.workers.contains(&worker)
    }

    /// Adds an attempt that is sent now.
    pub(super) fn begin(&mut self, worker: WorkerId) {
        self.workers.push(worker);
    }

    /// Takes back the newest attempt, of which no byte was sent.
    pub(super) fn undo_last(&mut self) {
        self.workers.pop();
    }

    /// Notes that the newest attempt may have run, and failed.
    pub(super) fn record_failure(&mut self) {
        self.may_have_run = true;
        self.timed_out = false;
    }

    /// Notes that the newest attempt may have run, and timed out.
    pub(super) fn record_timeout(&mut self) {
        self.may_have_run = true;
        self.timed_out = true;
    }

    /// Notes that the newest attempt ran and returned a failure.
    pub(super) fn record_failed_response(&mut self, response: BufferedResponse) {
        self.record_failure();
        self.failed_response = Some(response);
    }

    /// How the request fails now. `retry_after`: advice for a client whose request has not run.
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
