//! Requests of a node and their attempts.
//!
//! Owns what is known of each request that is not yet over; decides nothing.

use crate::api::{AttemptNo, RequestId, Time};
use crate::report_quality::LoadLevel;
use std::collections::HashMap;
use std::time::Duration;

/// Where a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The first probe is out.
    FirstProbe,
    /// The d-1 further probes are out.
    FurtherProbes,
    /// Probes of remote workers are out, as all probed before were full.
    SpilloverProbes,
    /// An attempt is in flight.
    InFlight,
    /// Waits before it is probed for again.
    Backoff,
    /// Answered; kept until its attempts have ended.
    Answered,
}

impl Phase {
    /// Whether probes after the first one are out.
    pub(crate) fn is_probing_further(self) -> bool {
        matches!(self, Self::FurtherProbes | Self::SpilloverProbes)
    }
}

/// One attempt of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    /// Index of its worker.
    pub(crate) worker: usize,
    pub(crate) sent: Time,
    pub(crate) slots: f64,
    pub(crate) in_flight: bool,
    pub(crate) started: Option<Time>,
    /// How long its connection had been idle before; `None`: a new one.
    pub(crate) connection_idle: Option<Duration>,
    /// Whether it found no free slot.
    pub(crate) queued: bool,
    /// Load of the worker by the report that it was sent on.
    pub(crate) load_level: LoadLevel,
    /// Jobs at the worker, by that report.
    pub(crate) reported_jobs: f64,
}

/// The first attempt of a request that may have run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FirstRun {
    /// Index of its worker.
    pub(crate) worker: usize,
    pub(crate) sent: Time,
}

/// A request that arrives.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    pub(crate) id: RequestId,
    pub(crate) class: usize,
    pub(crate) tenant: usize,
    pub(crate) time_left: Duration,
    /// Whether it is a client's retry.
    pub(crate) is_retry: bool,
    pub(crate) slots: f64,
    pub(crate) memory: f64,
    /// Hint of its work, in seconds on a worker of speed 1.
    pub(crate) work: Option<f64>,
    pub(crate) key: u64,
}

/// A request that is not yet over.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) id: RequestId,
    /// Index of its class.
    pub(crate) class: usize,
    /// Index of its tenant.
    pub(crate) tenant: usize,
    pub(crate) arrived: Time,
    pub(crate) deadline: Time,
    pub(crate) slots: f64,
    pub(crate) memory: f64,
    /// Hint of its work, in seconds on a worker of speed 1.
    pub(crate) work: Option<f64>,
    /// Its work in mean jobs: by its hint where there is one, else by its class.
    pub(crate) cost: f64,
    /// Whether it is large among the recent jobs.
    pub(crate) is_large: bool,
    /// What it is about; see [`crate::affinity`].
    pub(crate) key: u64,
    pub(crate) phase: Phase,
    /// Counts the steps of the request, so that timers and probe results of earlier ones are known as such.
    pub(crate) step: u32,
    pub(crate) backoffs: u32,
    /// Workers drawn in this round of probes, and those of them that have answered.
    pub(crate) drawn: Vec<usize>,
    pub(crate) answered: Vec<usize>,
    /// Workers that rejected it, did not answer its probe or take no part.
    pub(crate) excluded: Vec<usize>,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) first_run: Option<FirstRun>,
}

impl Request {
    /// A request before its first probe.
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

    /// Its first attempt that is in flight.
    pub(crate) fn attempt_in_flight(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.in_flight)
    }

    /// Whether an attempt is in flight.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.attempt_in_flight().is_some()
    }

    /// Whether probes of this round are out.
    pub(crate) fn awaits_probes(&self) -> bool {
        self.drawn.len() > self.answered.len()
    }

    /// Whether a worker has neither been drawn in this round nor excluded.
    pub(crate) fn is_fresh(&self, worker: usize) -> bool {
        !self.drawn.contains(&worker) && !self.excluded.contains(&worker)
    }

    /// Enters a step in this phase.
    pub(crate) fn enter(&mut self, phase: Phase) {
        self.step += 1;
        self.phase = phase;
    }

    /// Starts a round of probes with nobody drawn.
    pub(crate) fn start_round(&mut self) {
        self.enter(Phase::FirstProbe);
        self.drawn.clear();
        self.answered.clear();
    }

    /// Takes in that an attempt may have run.
    pub(crate) fn record_possible_run(&mut self, worker: usize, sent: Time) {
        if self.first_run.is_none_or(|first| sent < first.sent) {
            self.first_run = Some(FirstRun { worker, sent });
        }
    }
}

/// All requests of a node that are not yet over.
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

    /// An attempt that is in flight.
    pub(crate) fn in_flight_mut(&mut self, id: RequestId, attempt: AttemptNo) -> Option<&mut Attempt> {
        let attempt = self.requests.get_mut(&id)?.attempts.get_mut(usize::from(attempt.0));
        attempt.filter(|attempt| attempt.in_flight)
    }
}
