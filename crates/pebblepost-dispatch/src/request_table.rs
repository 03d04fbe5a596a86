//! Request table of a dispatcher: requests that are not finished, and their attempts.
//!
//! Owns the state of each request. Makes no decisions.

use crate::api::{AttemptNo, RequestId, Time};
use crate::report_quality::LoadLevel;
use std::collections::HashMap;
use std::time::Duration;

/// Phase of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The first probe is unanswered.
    FirstProbe,
    /// The d-1 further probes are unanswered.
    FurtherProbes,
    /// Probes of remote workers are unanswered, because all workers probed before were full.
    SpilloverProbes,
    /// An attempt is in flight.
    InFlight,
    /// The request waits before the next probe round.
    Backoff,
    /// The request is answered. It stays in the table until its attempts have ended.
    Answered,
}

impl Phase {
    /// Returns whether probes after the first one are unanswered.
    pub(crate) fn is_probing_further(self) -> bool {
        matches!(self, Self::FurtherProbes | Self::SpilloverProbes)
    }
}

/// An attempt of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    /// Index of the worker.
    pub(crate) worker: usize,
    pub(crate) sent: Time,
    pub(crate) slots: f64,
    pub(crate) in_flight: bool,
    pub(crate) started: Option<Time>,
    /// Time for which the connection had been idle before the send, or `None` for a new connection.
    pub(crate) connection_idle: Option<Duration>,
    /// Whether the attempt found no free slot.
    pub(crate) queued: bool,
    /// Load level of the worker according to the report on which the attempt was sent.
    pub(crate) load_level: LoadLevel,
    /// Number of jobs at the worker according to that report.
    pub(crate) reported_jobs: f64,
}

/// The first attempt of a request that may have run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FirstRun {
    /// Index of the worker.
    pub(crate) worker: usize,
    pub(crate) sent: Time,
}

/// A request on arrival.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    pub(crate) id: RequestId,
    pub(crate) class: usize,
    pub(crate) tenant: usize,
    pub(crate) time_left: Duration,
    /// Whether the request is a retry by the client.
    pub(crate) is_retry: bool,
    pub(crate) slots: f64,
    pub(crate) memory: f64,
    /// Hinted work, in seconds on a worker of speed 1, or `None` without a hint.
    pub(crate) work: Option<f64>,
    pub(crate) key: u64,
}

/// A request that is not finished.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) id: RequestId,
    /// Index of the class.
    pub(crate) class: usize,
    /// Index of the tenant.
    pub(crate) tenant: usize,
    pub(crate) arrived: Time,
    pub(crate) deadline: Time,
    pub(crate) slots: f64,
    pub(crate) memory: f64,
    /// Hinted work, in seconds on a worker of speed 1, or `None` without a hint.
    pub(crate) work: Option<f64>,
    /// Work as a multiple of a mean job, computed from the hint or, without a hint, from the class.
    pub(crate) cost: f64,
    /// Whether the job is large compared with the recent ones.
    pub(crate) is_large: bool,
    /// Affinity key; see [`crate::affinity`].
    pub(crate) key: u64,
    pub(crate) phase: Phase,
    /// Number of the current step. It distinguishes its timers and probe results from those of earlier steps.
    pub(crate) step: u32,
    pub(crate) backoffs: u32,
    /// Workers drawn in this probe round, and those of them that have answered.
    pub(crate) drawn: Vec<usize>,
    pub(crate) answered: Vec<usize>,
    /// Workers that rejected the request, did not answer its probe or take no part.
    pub(crate) excluded: Vec<usize>,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) first_run: Option<FirstRun>,
}

impl Request {
    /// Creates a request before its first probe.
    pub(crate) fn new(arrival: &Arrival, arrived: Time, deadline: Time, cost: f64, is_large: bool) -> Self {
        Self {
            id: arrival.id,
            class: arrival.class,
            tenant: arrival.tenant,
            arrived,
            deadline,
            slots: arrival.slots,
            memory: arrival.memory,
            work: arrival.work,
            cost,
            is_large,
            key: arrival.key,
            phase: Phase::Backoff,
            step: 0,
            backoffs: 0,
            drawn: Vec::new(),
            answered: Vec::new(),
            excluded: Vec::new(),
            attempts: Vec::new(),
            first_run: None,
        }
    }

    /// Returns the first attempt that is in flight.
    pub(crate) fn attempt_in_flight(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.in_flight)
    }

    /// Returns whether an attempt is in flight.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.attempt_in_flight().is_some()
    }

    /// Returns whether probes of this round are unanswered.
    pub(crate) fn awaits_probes(&self) -> bool {
        self.drawn.len() > self.answered.len()
    }

    /// Returns whether a worker has neither been drawn in this round nor excluded.
    pub(crate) fn is_untried(&self, worker: usize) -> bool {
        !self.drawn.contains(&worker) && !self.excluded.contains(&worker)
    }

    /// Starts a new step in this phase.
    pub(crate) fn enter(&mut self, phase: Phase) {
        self.step += 1;
        self.phase = phase;
    }

    /// Starts a probe round with no worker drawn.
    pub(crate) fn start_round(&mut self) {
        self.enter(Phase::FirstProbe);
        self.drawn.clear();
        self.answered.clear();
    }

    /// Records that an attempt may have run.
    pub(crate) fn record_possible_run(&mut self, worker: usize, sent: Time) {
        if self.first_run.is_none_or(|first| sent < first.sent) {
            self.first_run = Some(FirstRun { worker, sent });
        }
    }
}

/// Requests of a dispatcher that are not finished.
#[derive(Debug, Default)]
pub(crate) struct RequestTable {
    requests: HashMap<RequestId, Request>,
}

impl RequestTable {
    pub(crate) fn contains(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    pub(crate) fn get(&self, id: RequestId) -> Option<&Request> {
        self.requests.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut Request> {
        self.requests.get_mut(&id)
    }

    pub(crate) fn insert(&mut self, request: Request) {
        self.requests.insert(request.id, request);
    }

    pub(crate) fn remove(&mut self, id: RequestId) {
        self.requests.remove(&id);
    }

    /// Returns an attempt if it is in flight.
    pub(crate) fn in_flight_mut(&mut self, id: RequestId, attempt: AttemptNo) -> Option<&mut Attempt> {
        let attempt = self.requests.get_mut(&id)?.attempts.get_mut(usize::from(attempt.0));
        attempt.filter(|attempt| attempt.in_flight)
    }
}
