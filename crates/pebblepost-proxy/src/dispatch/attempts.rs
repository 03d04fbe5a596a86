//! What is known of the attempts of one request, and what that leaves to answer.

use http::StatusCode;
use pebblepost_dispatch::api::WorkerId;
use pebblepost_transcriber::BufferedResponse;
use std::time::Duration;

/// The attempts of one request, over all legs of a stream.
#[derive(Debug)]
pub(super) struct Attempts {
    most: usize,
    repeatable: bool,
    /// Transcribers that it was sent to, one for each attempt.
    sent_to: Vec<WorkerId>,
    may_have_run: bool,
    timed_out: bool,
    /// A failure of a transcriber's, to be passed on if nothing better comes.
    failure: Option<BufferedResponse>,
}

/// How a request ends that no transcriber has answered.
#[derive(Debug)]
pub(super) enum Ending {
    /// It has not run and never will.
    Refused(Duration),
    /// A transcriber's own failure.
    Failure(BufferedResponse),
    /// It may have run; a 502 or 504.
    Unknown(StatusCode),
}

impl Attempts {
    /// None so far. `most`: transcribers that it may be sent to.
    pub(super) fn new(most: usize, repeatable: bool) -> Attempts {
        Attempts {
            most,
            repeatable,
            sent_to: Vec::new(),
            may_have_run: false,
            timed_out: false,
            failure: None,
        }
    }

    /// Whether another attempt is allowed.
    pub(super) fn allows_more(&self) -> bool {
        self.sent_to.len() < self.most && (self.repeatable || !self.may_have_run)
    }

    /// Whether an attempt went to this transcriber.
    pub(super) fn was_sent_to(&self, worker: WorkerId) -> bool {
        self.sent_to.contains(&worker)
    }

    /// An attempt goes out.
    pub(super) fn sent(&mut self, worker: WorkerId) {
        self.sent_to.push(worker);
    }

    /// Not a byte of the newest attempt went out.
    pub(super) fn not_sent(&mut self) {
        self.sent_to.pop();
    }

    /// The attempt may have run, and ended like this.
    pub(super) fn ran(&mut self, failure: Option<BufferedResponse>, timed_out: bool) {
        self.may_have_run = true;
        self.timed_out = timed_out;
        if failure.is_some() {
            self.failure = failure;
        }
    }

    /// How the request ends now. `retry_after`: advice for a client that is refused.
    pub(super) fn ending(&mut self, retry_after: Duration) -> Ending {
        if !self.may_have_run {
            return Ending::Refused(retry_after);
        }
        match self.failure.take() {
            Some(answer) => Ending::Failure(answer),
            None if self.timed_out => Ending::Unknown(StatusCode::GATEWAY_TIMEOUT),
            None => Ending::Unknown(StatusCode::BAD_GATEWAY),
        }
    }
}
