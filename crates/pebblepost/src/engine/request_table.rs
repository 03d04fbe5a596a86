//! The table of requests in flight, with their attempts and whether the final response was given.

use super::messages::{AttemptId, FinalResponse, Output};
use pebblepost_dispatch::api::{AttemptNo, ClassId, RequestId, Time, WorkerId};
use pebblepost_fleet::heartbeat::RequestCounts;
use std::collections::{HashMap, HashSet};

/// One attempt to deliver a request to a worker.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) worker: WorkerId,
    /// When the attempt was started or rejected.
    pub(super) sent_at: Time,
    pub(super) in_flight: bool,
    /// Whether the attempt ended with a status that does not rule out that the worker ran it.
    pub(super) may_have_run: bool,
}

/// A request that has no final response yet or has attempts in flight.
#[derive(Debug)]
pub(super) struct TrackedRequest {
    pub(super) class: ClassId,
    /// The client's deadline.
    pub(super) deadline: Time,
    /// Whether the final response was given or the client no longer expects one.
    pub(super) answered: bool,
    /// All attempts, indexed by attempt number.
    pub(super) attempts: Vec<Attempt>,
}

impl TrackedRequest {
    /// Records an attempt under the next number. `in_flight` is `false` if it was rejected before it was sent.
    pub(super) fn push_attempt(&mut self, worker: WorkerId, now: Time, in_flight: bool) {
        self.attempts.push(Attempt { worker, sent_at: now, in_flight, may_have_run: false });
    }

    fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }
}

/// All requests in flight, and the counts of final responses.
#[derive(Debug, Default)]
pub(super) struct RequestTable {
    requests: HashMap<RequestId, TrackedRequest>,
    /// Number of requests in the table that are not answered.
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

    /// Returns the number of requests without a final response.
    pub(super) fn unanswered(&self) -> usize {
        self.unanswered
    }

    /// Returns the counts of final responses since the start.
    pub(super) fn counts(&self) -> RequestCounts {
        self.counts
    }

    /// Returns the number of attempts of the request, whether in flight, ended or rejected; 0 if the request is unknown.
    pub(super) fn attempt_count(&self, id: RequestId) -> usize {
        self.requests.get(&id).map_or(0, |request| request.attempts.len())
    }

    pub(super) fn is_in_flight(&self, attempt: AttemptId) -> bool {
        let request = self.requests.get(&attempt.request);
        request
            .and_then(|request| request.attempts.get(usize::from(attempt.number.0)))
            .is_some_and(|attempt| attempt.in_flight)
    }

    /// Returns the attempt, or `None` if it is not in flight.
    pub(super) fn attempt_in_flight_mut(&mut self, attempt: AttemptId) -> Option<&mut Attempt> {
        let request = self.requests.get_mut(&attempt.request)?;
        request.attempts.get_mut(usize::from(attempt.number.0)).filter(|attempt| attempt.in_flight)
    }

    /// Returns whether the request is answered. A request that is not in the table counts as answered.
    pub(super) fn is_answered(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_none_or(|request| request.answered)
    }

    /// Returns those of the given workers that have attempts in flight.
    pub(super) fn workers_with_attempts_in_flight(&self, among: &HashSet<WorkerId>) -> HashSet<WorkerId> {
        let in_flight = self
            .requests
            .values()
            .flat_map(|request| request.attempts.iter().filter(|attempt| attempt.in_flight));
        in_flight.map(|attempt| attempt.worker).filter(|worker| among.contains(worker)).collect()
    }

    /// Returns the number of the request's next attempt, at most 255.
    pub(super) fn next_attempt_number(&self, id: RequestId) -> AttemptNo {
        AttemptNo(self.attempt_count(id).min(255) as u8)
    }

    /// Marks the request as answered without giving a response, because its client no longer expects one.
    ///
    /// Returns `false` if the request is unknown.
    pub(super) fn mark_answered(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.get_mut(&id) else { return false };
        if !std::mem::replace(&mut request.answered, true) {
            self.unanswered -= 1;
        }
        true
    }

    /// Gives the final response. Does nothing if the request is answered or unknown.
    pub(super) fn respond(&mut self, id: RequestId, response: FinalResponse, outputs: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| !request.answered) else { return };
        request.answered = true;
        self.unanswered -= 1;
        self.counts.answered += 1;
        self.counts.succeeded += u64::from(matches!(response, FinalResponse::Served(_)));
        outputs.push(Output::Respond(id, response));
        self.remove_if_finished(id);
    }

    /// Removes the request if it is answered and has no attempt in flight.
    pub(super) fn remove_if_finished(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|request| request.answered && !request.has_attempt_in_flight())
        {
            self.requests.remove(&id);
        }
    }
}
