//! The way of a request from its arrival to its answer.
//!
//! Owns the order of the steps: rounds of probes, attempts, backoff, the answer. Which worker is drawn, who
//! gets a job, whether it is worth queueing and whether it may be sent again is decided in `probing`,
//! `placement`, `admission` and `retry`; what is learned on the way is taken in by `node_state`.

use crate::api::{Action, AttemptNo, RequestId, Status, Time, WorkerState};
use crate::connections::Connection;
use crate::estimators::{from_seconds, seconds};
use crate::node_state::{AttemptEnd, NodeState};
use crate::placement::CHOICES;
use crate::request_table::{Arrival, Attempt, Phase, Request};
use crate::retry;
use crate::timers::Timer;
use crate::worker_table::{Locality, OwnJob, ProbePurpose};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::ops::Range;
use std::time::Duration;

/// Workers excluded from a round before those that take no part are replaced no more.
const MAX_REPLACED: usize = 2 * CHOICES;
/// Remote workers probed if all local ones are full: more if most of them have capacity, as a free worker is
/// worth a few probes; fewer in a crowd.
const SPILLOVER_PROBES: usize = 3;
const SPILLOVER_PROBES_IN_CROWD: usize = 1;
/// Fraction of remote workers with capacity below which there is a crowd.
const CROWD_CAPACITY: f64 = 0.5;
/// A backoff doubles up to this often.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;
/// The first backoff, as a part of the time that a request may wait.
const BACKOFF_PART: Range<f64> = 0.1..0.2;
/// A backoff that waits for a reservation is this part of the usual one at least.
const MIN_BACKOFF_PART: u32 = 8;

/// Clients are advised to come back after so many mean jobs.
const RETRY_AFTER_JOBS: Range<f64> = 0.5..1.5;
/// An attempt that has not started is looked at after this part of the time that its request may wait.
const START_CHECK_PART: u32 = 4;

/// What happens to requests at one time.
#[derive(Debug)]
pub(crate) struct RequestFlow<'a> {
    pub(crate) now: Time,
    pub(crate) state: &'a mut NodeState,
    pub(crate) random: &'a mut Pcg64Mcg,
    /// What is to be done, in order.
    pub(crate) actions: &'a mut Vec<Action>,
}

impl RequestFlow<'_> {
    // Rounds of probes.

    /// A request came from a client.
    pub(crate) fn request_arrived(&mut self, arrival: &Arrival) {
        let id = arrival.id;
        if arrival.class >= self.state.settings.classes.len() || self.state.requests.contains(id) {
            self.actions.push(Action::Fail { id });
            return;
        }
        self.state.record_arrival(self.now, arrival);
        let at = self.now + arrival.time_left - self.state.settings.tick;
        self.actions.push(Action::SetTimer { at, token: Timer::RequestDeadline(id).token() });
        if self.is_never_placeable(id) {
            return self.reject(id);
        }
        self.start_round(id);
    }

    /// Whether a request is late already, or needs more slots than any worker has.
    fn is_never_placeable(&self, id: RequestId) -> bool {
        let Some(request) = self.state.requests.get(id) else { return false };
        let admission = self.state.admission(self.now);
        let is_too_small = |worker| admission.load.is_too_small(worker, request.slots);
        self.now >= admission.latest_start(request)
            || request.slots > 1.0
                && self.state.workers.pool(request.class).is_some_and(|pool| pool.iter().all(is_too_small))
    }

    /// Starts a round of probes with the random first one.
    fn start_round(&mut self, id: RequestId) {
        let Some(request) = self.state.requests.get_mut(id) else { return };
        request.start_round();
        if !self.state.settings.probing_enabled {
            // Exception: where probes are not allowed, d random workers are compared by own load.
            self.draw(id, CHOICES, Locality::Local);
            return self.choose(id);
        }
        if self.draw_one(id) == 0 {
            return self.back_off(id);
        }
        self.set_step_timer(id, self.probe_timeout());
    }

    /// Probes one more worker, a remote one if there is no local one; returns how many were drawn.
    fn draw_one(&mut self, id: RequestId) -> usize {
        match self.draw(id, 1, Locality::Local) {
            0 => self.draw(id, 1, Locality::Remote),
            drawn => drawn,
        }
    }

    /// Draws up to `count` workers that take part and probes them; returns how many there were.
    fn draw(&mut self, id: RequestId, count: usize, from: Locality) -> usize {
        let probing = self.state.settings.probing_enabled;
        let mut drawn = 0;
        while drawn < count {
            let Some(request) = self.state.requests.get(id) else { return drawn };
            let cost = request.cost;
            let Some(worker) = self.state.draw(self.now).next(request, from, self.random) else {
                return drawn;
            };
            self.state.record_draw(self.now, worker);
            // Before the probe: a worker that takes no part costs none.
            let admitted = self.slow_start_admits(cost, worker);
            let Some(request) = self.state.requests.get_mut(id) else { return drawn };
            if !admitted && probing {
                request.excluded.push(worker);
                continue;
            }
            drawn += 1;
            request.drawn.push(worker);
            if probing {
                let purpose = ProbePurpose::Placement { request: id, step: request.step };
                self.probe(worker, purpose);
            } else if admitted {
                request.answered.push(worker);
            } else {
                request.excluded.push(worker);
            }
        }
        drawn
    }

    /// Whether a worker that was drawn takes part, if it is warming up.
    fn slow_start_admits(&mut self, cost: f64, worker: usize) -> bool {
        let Some(warming) = self.state.warming_worker(self.now, worker) else { return true };
        let probability = warming.admission_probability(cost, &self.state.settings);
        probability.is_some_and(|probability| self.random.random_bool(probability))
    }

    fn probe(&mut self, index: usize, purpose: ProbePurpose) {
        let worker = &mut self.state.workers[index];
        worker.probes.push_back(purpose);
        self.actions.push(Action::Probe { worker: worker.id });
    }

    /// A probe is given up on after its usual round trip; its answer still counts if it comes later.
    fn probe_timeout(&self) -> Duration {
        self.state.probe_round_trip.upper_bound().max(2 * self.state.settings.tick)
    }

    fn set_step_timer(&mut self, id: RequestId, after: Duration) {
        if let Some(request) = self.state.requests.get(id) {
            let at = (self.now + after).min(request.deadline);
            let token = Timer::StepTimeout { request: id, step: request.step }.token();
            self.actions.push(Action::SetTimer { at, token });
        }
    }

    /// A probe was answered or failed.
    pub(crate) fn probe_ended(&mut self, index: usize, status: Status, latency: Duration, report: &[f32]) {
        let answered = status == Status::Ok;
        let worker = &mut self.state.workers[index];
        let purpose = worker.probes.pop_front();
        worker.record_status(self.now, status);
        if answered {
            worker.outliers.record_answered_probe();
            self.state.record_report(self.now, index, report);
            self.state.probe_round_trip.record(seconds(latency));
        } else {
            self.state.record_failed_probe(self.now, index, status, latency);
        }
        self.close_idle_if_draining(index);
        match purpose {
            Some(ProbePurpose::Placement { request, step }) => {
                let current = self.state.requests.get(request).is_some_and(|request| request.step == step);
                if current && answered {
                    self.probe_answered(request, index);
                } else if current {
                    self.probe_failed(request, index);
                }
            }
            Some(ProbePurpose::MissedStart { request, attempt }) if answered => {
                self.start_missed(request, attempt);
            }
            Some(ProbePurpose::ReportAge { jobs_found }) if answered => {
                let shown = self.state.load(self.now).reported_jobs(index) > jobs_found;
                self.state.report_age.record(shown, &self.state.settings);
            }
            _ => {}
        }
    }

    fn probe_answered(&mut self, id: RequestId, worker: usize) {
        let Some(request) = self.state.requests.get_mut(id) else { return };
        request.answered.push(worker);
        let (phase, awaits_probes) = (request.phase, request.awaits_probes());
        let (slots, memory) = (request.slots, request.memory);
        if self.state.workers.locality(worker, &self.state.settings) == Locality::Remote {
            let has_capacity = self.state.load(self.now).has_capacity(worker, slots, memory);
            self.state.record_remote_capacity(has_capacity);
        }
        match phase {
            Phase::FirstProbe => self.first_probe_answered(id, worker),
            phase if phase.is_probing_further() && !awaits_probes => self.choose(id),
            _ => {}
        }
    }

    fn first_probe_answered(&mut self, id: RequestId, worker: usize) {
        let Some(request) = self.state.requests.get(id) else { return };
        let is_reserved = self.state.reservations.get(id).is_some();
        if self.state.placement(self.now).accepts_first(request, worker, is_reserved) {
            return self.send(id, worker);
        }
        if is_reserved {
            return self.back_off(id);
        }
        self.probe_further(id);
    }

    /// A worker that takes no part in the choice says nothing of a crowd: another is probed in its place.
    fn probe_failed(&mut self, id: RequestId, worker: usize) {
        let Some(request) = self.state.requests.get_mut(id) else { return };
        request.drawn.retain(|drawn| *drawn != worker);
        request.excluded.push(worker);
        if request.phase.is_probing_further() && request.excluded.len() <= MAX_REPLACED {
            self.draw_one(id);
        }
        let Some(request) = self.state.requests.get(id) else { return };
        match request.phase {
            Phase::FirstProbe => {
                self.state.reservations.release(id);
                self.probe_further(id);
            }
            phase if phase.is_probing_further() && !request.awaits_probes() => self.choose(id),
            _ => {}
        }
    }

    /// Probes d-1 more workers.
    fn probe_further(&mut self, id: RequestId) {
        let Some(request) = self.state.requests.get_mut(id) else { return };
        request.phase = Phase::FurtherProbes;
        let awaits_probes = request.awaits_probes();
        if self.draw(id, CHOICES - 1, Locality::Local) == 0 && !awaits_probes {
            return self.choose(id);
        }
        self.set_step_timer(id, self.probe_timeout());
    }

    /// Places a request at the least busy of all that were probed; ties at random.
    fn choose(&mut self, id: RequestId) {
        let Some(request) = self.state.requests.get(id) else { return };
        let placement = self.state.placement(self.now);
        let tied = placement.least_busy(request);
        let best = (!tied.is_empty()).then(|| tied[self.random.random_range(0..tied.len())]);
        if let Some(worker) = best.filter(|worker| placement.accepts_least_busy(request, *worker)) {
            return self.send(id, worker);
        }
        let judges_by_waits = placement.admission.judges_by_waits(request);
        let is_misleading = best.is_some_and(|worker| placement.load().is_misleading(worker));
        let may_spill = !is_misleading && !judges_by_waits && request.phase != Phase::SpilloverProbes;
        if may_spill && self.spill_over(id) {
            return;
        }
        self.queue_or_back_off(id, best);
    }

    /// Exception: all local workers are full, by credible reports: remote ones are probed. Returns whether
    /// there are any.
    fn spill_over(&mut self, id: RequestId) -> bool {
        if let Some(request) = self.state.requests.get_mut(id) {
            request.phase = Phase::SpilloverProbes;
        }
        let is_crowd = self.state.remote_capacity <= CROWD_CAPACITY;
        let probes = if is_crowd { SPILLOVER_PROBES_IN_CROWD } else { SPILLOVER_PROBES };
        let spilled = self.draw(id, probes, Locality::Remote) > 0;
        if spilled {
            self.set_step_timer(id, self.probe_timeout());
        }
        spilled
    }

    /// Exception: a full worker gets the job into its queue if it would end in time there. Where late answers
    /// keep some value, it queues where it is expected to wait least in the fleet.
    fn queue_or_back_off(&mut self, id: RequestId, best: Option<usize>) {
        let Some(request) = self.state.requests.get(id) else { return };
        let placement = self.state.placement(self.now);
        let judges_by_waits = placement.admission.judges_by_waits(request);
        let best = if judges_by_waits { placement.shortest_queue(request).or(best) } else { best };
        let queues = |worker: &usize| {
            placement.admission.should_queue(request, *worker) || placement.load().is_misleading(*worker)
        };
        match best.filter(queues) {
            Some(worker) => self.send(id, worker),
            None => self.back_off(id),
        }
    }

    /// Ends a round that found nobody. A large job looks again at what it holds; others are rejected at once.
    /// If no report came, a new round follows, once; where late answers count fully, while there is time.
    fn back_off(&mut self, id: RequestId) {
        let Some(request) = self.state.requests.get(id) else { return };
        let placement = self.state.placement(self.now);
        let latest_start = placement.admission.latest_start(request);
        let budget = placement.admission.wait_budget(request);
        let late_counts = placement.admission.late_value(request) >= 1.0;
        let reservable = placement.reservable(request, None);
        let base = budget.mul_f64(self.random.random_range(BACKOFF_PART));
        let reserved = reservable.and_then(|job| job.reserve(self.now, &mut self.state.reservations));
        let Some(request) = self.state.requests.get_mut(id) else { return };
        let backoff = match reserved {
            Some(start) => start.since(self.now).clamp(base / MIN_BACKOFF_PART, base),
            None => base * (1 << request.backoffs.min(MAX_BACKOFF_DOUBLINGS)),
        };
        let is_repeated = request.backoffs > 0 || !request.answered.is_empty();
        let is_over = !late_counts && reserved.is_none() && is_repeated;
        request.enter(Phase::Backoff);
        request.backoffs += 1;
        if is_over || self.now + backoff >= latest_start {
            return self.reject(id);
        }
        self.set_step_timer(id, backoff);
    }

    // Attempts.

    /// Sends a request to a worker.
    fn send(&mut self, id: RequestId, index: usize) {
        let state = &mut *self.state;
        let Some(request) = state.requests.get(id) else { return };
        let placement = state.placement(self.now);
        let mut attempt = placement.attempt(request, index);
        let start_check_delay = Self::start_check_delay(state, self.now, request, &attempt);
        // What it waits for is not given away meanwhile.
        let reservable = if attempt.queued { placement.reservable(request, Some(index)) } else { None };
        let expected_end = placement.load().expected_end(request, index);
        state.reservations.release(id);
        if let Some(job) = reservable {
            job.reserve(self.now, &mut state.reservations);
        }
        let worker = &mut state.workers[index];
        // Exception: connections idle for longer than proved safe are closed first.
        match worker.idle_connections.take(self.now, state.settings.keepalive, state.idle_limit) {
            Connection::New => {}
            Connection::NewAfterClosing => self.actions.push(Action::CloseIdle { worker: worker.id }),
            Connection::Reused(idle) => attempt.connection_idle = Some(idle),
        }
        let Some(request) = state.requests.get_mut(id) else { return };
        worker.own_jobs.push(OwnJob { sent: self.now, slots: request.slots, started: false, expected_end });
        worker.recent_keys.record(request.key);
        let no = AttemptNo(request.attempts.len() as u8);
        request.enter(Phase::InFlight);
        request.attempts.push(attempt);
        self.actions.push(Action::Send { id, worker: worker.id, timeout: None });
        state.workers.queued_attempts += usize::from(attempt.queued);
        self.set_attempt_timers(id, no, start_check_delay, attempt.queued);
    }

    fn set_attempt_timers(
        &mut self, id: RequestId, no: AttemptNo, start_check_delay: Duration, queued: bool,
    ) {
        let settings = &self.state.settings;
        let (probing, start_reported) = (settings.probing_enabled, settings.start_reported);
        if probing && start_reported {
            let token = Timer::StartCheck { request: id, attempt: no }.token();
            self.actions.push(Action::SetTimer { at: self.now + start_check_delay, token });
        }
        if self.state.report_age.is_checked_by_send() && probing && !queued {
            let token = Timer::ReportAgeCheck { request: id, attempt: no }.token();
            self.actions.push(Action::SetTimer { at: self.now + self.state.report_age.get(), token });
        }
    }

    /// After this time an attempt that has not started is looked at.
    fn start_check_delay(state: &NodeState, now: Time, request: &Request, attempt: &Attempt) -> Duration {
        let admission = state.admission(now);
        let usual = state.start_delay.upper_bound();
        let delay =
            usual.max(admission.wait_budget(request) / START_CHECK_PART).max(2 * state.report_age.lag());
        if attempt.queued {
            delay + 2 * from_seconds(admission.load.queue_wait(attempt.worker))
        } else {
            delay
        }
    }

    /// An attempt has not started, though its worker answers probes. If there is capacity, it is lost; one
    /// that may be repeated is cancelled and sent again.
    fn start_missed(&mut self, id: RequestId, no: AttemptNo) {
        let Some(request) = self.state.requests.get(id) else { return };
        let attempt = request.attempts.get(usize::from(no.0));
        let Some(attempt) = attempt.filter(|attempt| attempt.in_flight && attempt.started.is_none()) else {
            return;
        };
        let worker = &self.state.workers[attempt.worker];
        let has_capacity = worker.free_slots >= request.slots
            && worker.queued_jobs < 1.0
            && worker.free_memory >= request.memory.min(worker.memory);
        if !has_capacity {
            return;
        }
        let settings = &self.state.settings;
        let may_retry = settings.cancelling_enabled
            && retry::may_repeat(settings, self.now, request)
            && retry::has_attempts_left(settings, request)
            && self.now < self.state.admission(self.now).latest_start(request)
            && request.phase == Phase::InFlight;
        if may_retry {
            self.actions.push(Action::Cancel { id, attempt: no });
        }
        let (class, attempt) = (request.class, *attempt);
        self.state.record_missed_start(self.now, class, &attempt);
    }

    /// An attempt has ended: the request is over, sent again or rejected.
    pub(crate) fn attempt_ended(&mut self, end: &AttemptEnd) {
        let (id, status) = (end.request, end.status);
        let Some(attempt) = self.state.requests.in_flight_mut(id, end.attempt) else { return };
        attempt.in_flight = false;
        let attempt = *attempt;
        self.state.record_attempt_end(self.now, &attempt, end);
        self.state.reservations.release(id);
        self.wake(self.state.reservations.holders(attempt.worker));
        let never_ran = self.state.settings.never_ran(status);
        let Some(request) = self.state.requests.get_mut(id) else { return };
        if end.closed || request.phase == Phase::Answered {
            return self.finish(id, None);
        }
        if status == Status::Full {
            request.excluded.push(attempt.worker);
        }
        if !never_ran {
            request.record_possible_run(attempt.worker, attempt.sent);
        }
        if request.is_in_flight() {
            return;
        }
        if status == Status::Moot || !self.may_retry(id) {
            return self.reject(id);
        }
        self.start_round(id);
    }

    /// Whether a request may be sent again and is still worth starting.
    fn may_retry(&self, id: RequestId) -> bool {
        self.state.requests.get(id).is_some_and(|request| {
            retry::may_send(&self.state.settings, self.now, request)
                && self.now < self.state.admission(self.now).latest_start(request)
        })
    }

    // Answers.

    /// Ends a request that no worker gets: rejected if a client may try again, failed otherwise.
    pub(crate) fn reject(&mut self, id: RequestId) {
        let Some(request) = self.state.requests.get(id) else { return };
        let settings = &self.state.settings;
        let advice = from_seconds(self.state.service.mean() * self.random.random_range(RETRY_AFTER_JOBS));
        let retry_after = settings.retry_after_enabled.then_some(advice.min(settings.max_retry_after));
        let answer = if self.state.admission(self.now).is_retry_harmless(request) {
            Action::Refuse { id, retry_after }
        } else {
            Action::Fail { id }
        };
        self.finish(id, Some(answer));
    }

    /// Ends a request: at most one answer, and its attempts are cancelled.
    pub(crate) fn finish(&mut self, id: RequestId, answer: Option<Action>) {
        let cancelling = self.state.settings.cancelling_enabled;
        let Some(request) = self.state.requests.get_mut(id) else { return };
        if request.phase != Phase::Answered {
            self.actions.extend(answer);
            let attempts = request.attempts.iter().enumerate();
            let cancelled = attempts.filter(|(_, attempt)| attempt.in_flight && cancelling);
            self.actions.extend(cancelled.map(|(no, _)| Action::Cancel { id, attempt: AttemptNo(no as u8) }));
        }
        request.phase = Phase::Answered;
        if !request.is_in_flight() {
            self.state.requests.remove(id);
        }
        self.state.reservations.release(id);
    }

    // Timers.

    /// The probes or the backoff of this step are over.
    pub(crate) fn step_timed_out(&mut self, id: RequestId, step: u32) {
        let Some(request) = self.state.requests.get_mut(id) else { return };
        if !Timer::is_step(step, request.step) {
            return;
        }
        match request.phase {
            Phase::FirstProbe => {
                // A worker that is reserved for it and says nothing is lost to it; the others come next.
                request
                    .excluded
                    .extend(self.state.reservations.get(id).map(|reservation| reservation.worker));
                self.state.reservations.release(id);
                self.probe_further(id);
            }
            Phase::FurtherProbes | Phase::SpilloverProbes if request.answered.is_empty() => {
                self.back_off(id);
            }
            Phase::FurtherProbes | Phase::SpilloverProbes => self.choose(id),
            Phase::Backoff => self.start_round(id),
            Phase::InFlight | Phase::Answered => {}
        }
    }

    /// Probes the worker of an attempt that has not started.
    pub(crate) fn check_start(&mut self, id: RequestId, no: AttemptNo) {
        let Some(attempt) = self.state.requests.in_flight_mut(id, no) else { return };
        if attempt.started.is_none() {
            let worker = attempt.worker;
            self.check(worker, ProbePurpose::MissedStart { request: id, attempt: no });
        }
    }

    /// Probes the worker of an attempt to learn the age of reports.
    pub(crate) fn check_report_age(&mut self, id: RequestId, no: AttemptNo) {
        let Some(attempt) = self.state.requests.in_flight_mut(id, no) else { return };
        let (worker, jobs_found) = (attempt.worker, attempt.reported_jobs);
        self.check(worker, ProbePurpose::ReportAge { jobs_found });
    }

    fn check(&mut self, worker: usize, purpose: ProbePurpose) {
        if self.state.workers[worker].state == WorkerState::Ready {
            self.probe(worker, purpose);
        }
    }

    // Workers.

    /// Jobs that held a part of a worker start a new round: a slot came free there, or it can serve them no
    /// more.
    pub(crate) fn wake(&mut self, holders: Vec<RequestId>) {
        for id in holders {
            if self.state.requests.get(id).is_some_and(|request| request.phase == Phase::Backoff) {
                self.start_round(id);
            }
        }
    }

    /// Rule of closing on drains, where stated: when the drain is known, and whenever an attempt or a probe
    /// ends there.
    pub(crate) fn close_idle_if_draining(&mut self, worker: usize) {
        let worker = &self.state.workers[worker];
        if self.state.settings.close_idle_within.is_some() && worker.state == WorkerState::Draining {
            self.actions.push(Action::CloseIdle { worker: worker.id });
        }
    }
}
