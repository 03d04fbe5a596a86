//! Requests in flight with their attempts, and whether each has its final response.

use super::messages::{AttemptId, FinalResponse, Output};
use pebblepost_dispatch::api::{AttemptNo, ClassId, RequestId, Time, WorkerId};
use pebblepost_fleet::heartbeat::RequestCounts;
use std::collections::{HashMap, HashSet};

/// An attempt to deliver a request.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) worker: WorkerId,
    pub(super) sent: Time,
    pub(super) open: bool,
    /// It has ended, and not in a way that proves that it never ran.
    pub(super) may_have_run: bool,
}

/// A request that has no final response yet or has attempts in flight.
#[derive(Debug)]
pub(super) struct TrackedRequest {
    pub(super) class: ClassId,
    pub(super) deadline: Time,
    pub(super) answered: bool,
    pub(super) attempts: Vec<Attempt>,
}

impl TrackedRequest {
    /// Records an attempt that starts now, or that was rejected before it was sent.
    pub(super) fn push_attempt(&mut self, worker: WorkerId, now: Time, open: bool) {
        self.attempts.push(Attempt { worker, sent: now, open, may_have_run: false });
    }

    fn has_open_attempt(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.open)
    }
}

/// All requests in flight.
#[derive(Debug, Default)]
pub(super) struct RequestTable {
    requests: HashMap<RequestId, TrackedRequest>,
    unanswered: usize,
    counts: RequestCounts,
}

impl RequestTable {
    pub(super) fn insert(&mut self, id: RequestId, class: ClassId, deadline: Time) {
        let request = TrackedRequest { class, deadline, answered: false, attempts: Vec::new() };
        self.requests.insert(id, request);
        self.unanswered += 1;
    }

    pub(super) fn contains(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    pub(super) fn get(&self, id: RequestId) -> Option<&TrackedRequest> {
        self.requests.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut TrackedRequest> {
        self.requests.get_mut(&id)
    }

    /// Requests that have no final response yet.
    pub(super) fn unanswered(&self) -> usize {
        self.unanswered
    }

    /// Responses given so far.
    pub(super) fn counts(&self) -> RequestCounts {
        self.counts
    }

    /// Number of attempts of the request, open or not.
    pub(super) fn attempt_count(&self, id: RequestId) -> usize {
        self.requests.get(&id).map_or(0, |request| request.attempts.len())
    }

    pub(super) fn is_open(&self, attempt: AttemptId) -> bool {
        let request = self.requests.get(&attempt.request);
        request
            .and_then(|request| request.attempts.get(usize::from(attempt.number.0)))
            .is_some_and(|attempt| attempt.open)
    }

    /// The open attempt, if it is one.
    pub(super) fn open_attempt_mut(&mut self, attempt: AttemptId) -> Option<&mut Attempt> {
        let request = self.requests.get_mut(&attempt.request)?;
        request.attempts.get_mut(usize::from(attempt.number.0)).filter(|attempt| attempt.open)
    }

    /// Whether nothing more is owed to the request's client.
    pub(super) fn is_closed(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_none_or(|request| request.answered)
    }

    /// Which of these workers have open attempts.
    pub(super) fn workers_with_open_attempts(&self, among: &HashSet<WorkerId>) -> HashSet<WorkerId> {
        let open =
            self.requests.values().flat_map(|request| request.attempts.iter().filter(|attempt| attempt.open));
        open.map(|attempt| attempt.worker).filter(|worker| among.contains(worker)).collect()
    }

    /// The number that the request's next attempt gets.
    pub(super) fn next_attempt_number(&self, id: RequestId) -> AttemptNo {
        AttemptNo(self.attempt_count(id).min(255) as u8)
    }

    /// Marks the request as answered without a response, as its client is gone; `false` if the request is unknown.
    pub(super) fn close(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.get_mut(&id) else { return false };
        if !std::mem::replace(&mut request.answered, true) {
            self.unanswered -= 1;
        }
        true
    }

    /// Gives the final response, unless it has been given.
    pub(super) fn respond(&mut self, id: RequestId, response: FinalResponse, outputs: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| !request.answered) else { return };
        request.answered = true;
        self.unanswered -= 1;
        self.counts.answered += 1;
        self.counts.succeeded += u64::from(matches!(response, FinalResponse::Served(_)));
        outputs.push(Output::Respond(id, response));
        self.remove_if_finished(id);
    }

    /// Forgets a request that is answered and has no open attempt.
    pub(super) fn remove_if_finished(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|request| request.answered && !request.has_open_attempt()) {
            self.requests.remove(&id);
        }
    }
}
