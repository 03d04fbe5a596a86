//! Request lifecycle from arrival to answer.
//!
//! Controls the order of the steps: probe rounds, attempts, backoff and the answer. The decisions themselves
//! are in `probing` (which worker is drawn), `placement` (which worker gets the job), `admission` (whether
//! the job is worth queueing) and `retry` (whether it may be sent again). Observations made on the way are
//! recorded in `node_state`.

use crate::api::{Action, AttemptNo, RequestId, Status, Time, WorkerState};
use crate::connections::Connection;
use crate::estimators::{from_seconds, seconds};
use crate::node_state::{AttemptEnd, NodeState};
use crate::placement::WORKERS_PER_ROUND;
use crate::request_table::{Arrival, Attempt, Phase, Request};
use crate::retry;
use crate::timers::Timer;
use crate::worker_table::{Locality, OwnJob, ProbePurpose};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::ops::Range;
use std::time::Duration;

/// Limit on the excluded workers of a request. Up to this number, an excluded worker is replaced by another
/// random one in the same round.
const MAX_EXCLUDED_WORKERS_FOR_REPLACEMENT: usize = 2 * WORKERS_PER_ROUND;
/// Number of remote workers probed when all local ones are full. A free worker is worth a few probes while
/// most remote workers have capacity; under congestion fewer probes are sent.
const SPILLOVER_PROBES: usize = 3;
const SPILLOVER_PROBES_IF_CONGESTED: usize = 1;
/// The remote zones are congested if at most this fraction of the remote workers probed has capacity.
const MAX_CONGESTED_REMOTE_FRACTION: f64 = 0.5;
/// Maximum number of times that the backoff is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;
/// Range of the first backoff, as a fraction of the request's wait budget.
const FIRST_BACKOFF_BUDGET_FRACTION: Range<f64> = 0.1..0.2;
/// The backoff of a request that waits for a reservation is at least the usual backoff divided by this.
const MIN_RESERVED_BACKOFF_DIVISOR: u32 = 8;

/// Range of the `retry_after` advice to clients, in mean service times.
const RETRY_AFTER_MEAN_SERVICE_TIMES: Range<f64> = 0.5..1.5;
/// An attempt that has not started is checked after the request's wait budget divided by this.
const START_CHECK_BUDGET_DIVISOR: u32 = 4;

/// Handles requests at one point in time.
#[derive(Debug)]
pub(crate) struct RequestFlow<'a> {
    pub(crate) now: Time,
    pub(crate) state: &'a mut NodeState,
    pub(crate) random: &'a mut Pcg64Mcg,
    /// Actions for the caller, in order.
    pub(crate) actions: &'a mut Vec<Action>,
}

impl RequestFlow<'_> {
    // Probe rounds.

    /// Handles a new request from a client.
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

    /// Returns whether a request is already late, or needs more slots than any worker has.
    fn is_never_placeable(&self, id: RequestId) -> bool {
        let Some(request) = self.state.requests.get(id) else { return false };
        let admission = self.state.admission(self.now);
        let is_too_small = |worker| admission.load.is_too_small(worker, request.slots);
        self.now >= admission.latest_start(request)
            || request.slots > 1.0
                && self.state.workers.pool(request.class).is_some_and(|pool| pool.iter().all(is_too_small))
    }

    /// Starts a probe round with one random worker.
    fn start_round(&mut self, id: RequestId) {
        let Some(request) = self.state.requests.get_mut(id) else { return };
        request.start_round();
        if !self.state.settings.probing_enabled {
            // Exception: where probes are not allowed, d random workers are compared by the load known here.
            self.draw(id, WORKERS_PER_ROUND, Locality::Local);
            return self.place_on_least_busy(id);
        }
        if self.draw_one(id) == 0 {
            return self.back_off(id);
        }
        self.set_step_timer(id, self.probe_timeout());
    }

    /// Probes one more worker, a remote one if there is no local one. Returns the number of workers drawn.
    fn draw_one(&mut self, id: RequestId) -> usize {
        match self.draw(id, 1, Locality::Local) {
            0 => self.draw(id, 1, Locality::Remote),
            drawn => drawn,
        }
    }

    /// Draws and probes up to `count` workers that take part. Returns the number of workers drawn.
    fn draw(&mut self, id: RequestId, count: usize, from: Locality) -> usize {
        let probing = self.state.settings.probing_enabled;
        let mut drawn = 0;
        while drawn < count {
            let Some(request) = self.state.requests.get(id) else { return drawn };
            let cost = request.cost;
            let Some(worker) = self.state.sampler(self.now).draw(request, from, self.random) else {
                return drawn;
            };
            self.state.record_draw(self.now, worker);
            // Decided before the probe, so that no probe is spent on a worker that takes no part.
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

    /// Returns whether a drawn worker takes part in the round. A worker that is warming up does so only with
    /// the probability that slow start gives it.
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

    /// Returns the time after which a round continues without the answer to a probe: the upper bound of the
    /// usual round trip. A later answer is still recorded.
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

    /// Handles the answer to a probe, or its failure.
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
                self.handle_missed_start(request, attempt);
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
            phase if phase.is_probing_further() && !awaits_probes => self.place_on_least_busy(id),
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

    /// Handles a failed probe. A worker that takes no part in the choice is no sign of congestion, so another
    /// one is probed in its place.
    fn probe_failed(&mut self, id: RequestId, worker: usize) {
        let Some(request) = self.state.requests.get_mut(id) else { return };
        request.drawn.retain(|drawn| *drawn != worker);
        request.excluded.push(worker);
        if request.phase.is_probing_further()
            && request.excluded.len() <= MAX_EXCLUDED_WORKERS_FOR_REPLACEMENT
        {
            self.draw_one(id);
        }
        let Some(request) = self.state.requests.get(id) else { return };
        match request.phase {
            Phase::FirstProbe => {
                self.state.reservations.release(id);
                self.probe_further(id);
            }
            phase if phase.is_probing_further() && !request.awaits_probes() => self.place_on_least_busy(id),
            _ => {}
        }
    }

    /// Probes d-1 more workers.
    fn probe_further(&mut self, id: RequestId) {
        let Some(request) = self.state.requests.get_mut(id) else { return };
        request.phase = Phase::FurtherProbes;
        let awaits_probes = request.awaits_probes();
        if self.draw(id, WORKERS_PER_ROUND - 1, Locality::Local) == 0 && !awaits_probes {
            return self.place_on_least_busy(id);
        }
        self.set_step_timer(id, self.probe_timeout());
    }

    /// Places a request on the least busy of the probed workers; ties are broken at random.
    fn place_on_least_busy(&mut self, id: RequestId) {
        let Some(request) = self.state.requests.get(id) else { return };
        let placement = self.state.placement(self.now);
        let tied = placement.least_busy(request);
        let best = (!tied.is_empty()).then(|| tied[self.random.random_range(0..tied.len())]);
        if let Some(worker) = best.filter(|worker| placement.accepts_least_busy(request, *worker)) {
            return self.send(id, worker);
        }
        let uses_observed_waits = placement.admission.uses_observed_waits(request);
        let is_misleading = best.is_some_and(|worker| placement.load().is_misleading(worker));
        let may_spill = !is_misleading && !uses_observed_waits && request.phase != Phase::SpilloverProbes;
        if may_spill && self.spill_over(id) {
            return;
        }
        self.queue_or_back_off(id, best);
    }

    /// Exception: if all local workers are full by credible reports, remote ones are probed. Returns whether
    /// there are any.
    fn spill_over(&mut self, id: RequestId) -> bool {
        if let Some(request) = self.state.requests.get_mut(id) {
            request.phase = Phase::SpilloverProbes;
        }
        let is_congested = self.state.remote_capacity_fraction <= MAX_CONGESTED_REMOTE_FRACTION;
        let probes = if is_congested { SPILLOVER_PROBES_IF_CONGESTED } else { SPILLOVER_PROBES };
        let spilled = self.draw(id, probes, Locality::Remote) > 0;
        if spilled {
            self.set_step_timer(id, self.probe_timeout());
        }
        spilled
    }

    /// Exception: a full worker gets the job into its queue if the job would end in time there. Where late
    /// answers keep some value, the job is queued at the worker of the fleet with the shortest expected wait.
    fn queue_or_back_off(&mut self, id: RequestId, best: Option<usize>) {
        let Some(request) = self.state.requests.get(id) else { return };
        let placement = self.state.placement(self.now);
        let uses_observed_waits = placement.admission.uses_observed_waits(request);
        let best = if uses_observed_waits { placement.shortest_queue(request).or(best) } else { best };
        let queues = |worker: &usize| {
            placement.admission.should_queue(request, *worker) || placement.load().is_misleading(*worker)
        };
        match best.filter(queues) {
            Some(worker) => self.send(id, worker),
            None => self.back_off(id),
        }
    }

    /// Ends a round in which no worker was found. A large job looks for a reservation again; other requests
    /// are rejected at once. If no load report came in, one more round follows. Where late answers keep their
    /// full value, rounds go on while there is time.
    fn back_off(&mut self, id: RequestId) {
        let Some(request) = self.state.requests.get(id) else { return };
        let placement = self.state.placement(self.now);
        let latest_start = placement.admission.latest_start(request);
        let budget = placement.admission.wait_budget(request);
        let late_has_full_value = placement.admission.late_value(request) >= 1.0;
        let reservation_plan = placement.reservation_plan(request, None);
        let base = budget.mul_f64(self.random.random_range(FIRST_BACKOFF_BUDGET_FRACTION));
        let reserved = reservation_plan.and_then(|plan| plan.reserve(self.now, &mut self.state.reservations));
        let Some(request) = self.state.requests.get_mut(id) else { return };
        let backoff = match reserved {
            Some(start) => start.since(self.now).clamp(base / MIN_RESERVED_BACKOFF_DIVISOR, base),
            None => base * (1 << request.backoffs.min(MAX_BACKOFF_DOUBLINGS)),
        };
        let had_report_or_backoff = request.backoffs > 0 || !request.answered.is_empty();
        let gives_up = !late_has_full_value && reserved.is_none() && had_report_or_backoff;
        request.enter(Phase::Backoff);
        request.backoffs += 1;
        if gives_up || self.now + backoff >= latest_start {
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
        // A queued job keeps its claim: the slots it waits for stay reserved.
        let reservation_plan =
            if attempt.queued { placement.reservation_plan(request, Some(index)) } else { None };
        let expected_end = placement.load().expected_end(request, index);
        state.reservations.release(id);
        if let Some(plan) = reservation_plan {
            plan.reserve(self.now, &mut state.reservations);
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
        let number = AttemptNo(request.attempts.len() as u8);
        request.enter(Phase::InFlight);
        request.attempts.push(attempt);
        self.actions.push(Action::Send { id, worker: worker.id, timeout: None });
        state.workers.queued_attempts += usize::from(attempt.queued);
        self.set_attempt_timers(id, number, start_check_delay, attempt.queued);
    }

    fn set_attempt_timers(
        &mut self, id: RequestId, number: AttemptNo, start_check_delay: Duration, queued: bool,
    ) {
        let settings = &self.state.settings;
        let (probing, start_reported) = (settings.probing_enabled, settings.start_reported);
        if probing && start_reported {
            let token = Timer::StartCheck { request: id, attempt: number }.token();
            self.actions.push(Action::SetTimer { at: self.now + start_check_delay, token });
        }
        if self.state.report_age.record_send() && probing && !queued {
            let token = Timer::ReportAgeCheck { request: id, attempt: number }.token();
            self.actions.push(Action::SetTimer { at: self.now + self.state.report_age.get(), token });
        }
    }

    /// Returns the time after which an attempt that has not started is checked.
    fn start_check_delay(state: &NodeState, now: Time, request: &Request, attempt: &Attempt) -> Duration {
        let admission = state.admission(now);
        let usual = state.start_delay.upper_bound();
        let delay = usual
            .max(admission.wait_budget(request) / START_CHECK_BUDGET_DIVISOR)
            .max(2 * state.report_age.lag());
        if attempt.queued {
            delay + 2 * from_seconds(admission.load.queue_wait(attempt.worker))
        } else {
            delay
        }
    }

    /// Handles an attempt that has not started although its worker answers probes. If the worker has
    /// capacity, the job is lost; if it may be repeated, it is cancelled and sent again.
    fn handle_missed_start(&mut self, id: RequestId, number: AttemptNo) {
        let Some(request) = self.state.requests.get(id) else { return };
        let attempt = request.attempts.get(usize::from(number.0));
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
            self.actions.push(Action::Cancel { id, attempt: number });
        }
        let (class, attempt) = (request.class, *attempt);
        self.state.record_missed_start(self.now, class, &attempt);
    }

    /// Handles the end of an attempt: the request is finished, sent again or rejected.
    pub(crate) fn attempt_ended(&mut self, end: &AttemptEnd) {
        let (id, status) = (end.request, end.status);
        let Some(attempt) = self.state.requests.in_flight_mut(id, end.attempt) else { return };
        attempt.in_flight = false;
        let attempt = *attempt;
        self.state.record_attempt_end(self.now, &attempt, end);
        self.state.reservations.release(id);
        self.restart_backed_off(self.state.reservations.holders(attempt.worker));
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

    /// Returns whether a request may be sent again and is still worth starting.
    fn may_retry(&self, id: RequestId) -> bool {
        self.state.requests.get(id).is_some_and(|request| {
            retry::may_send(&self.state.settings, self.now, request)
                && self.now < self.state.admission(self.now).latest_start(request)
        })
    }

    // Answers.

    /// Ends a request that no worker takes: `Refuse` if a client retry is harmless, `Fail` otherwise.
    pub(crate) fn reject(&mut self, id: RequestId) {
        let Some(request) = self.state.requests.get(id) else { return };
        let settings = &self.state.settings;
        let advice = from_seconds(
            self.state.service.mean_seconds() * self.random.random_range(RETRY_AFTER_MEAN_SERVICE_TIMES),
        );
        let retry_after = settings.retry_after_enabled.then_some(advice.min(settings.max_retry_after));
        let answer = if self.state.admission(self.now).is_retry_harmless(request) {
            Action::Refuse { id, retry_after }
        } else {
            Action::Fail { id }
        };
        self.finish(id, Some(answer));
    }

    /// Ends a request with at most one answer and cancels its attempts.
    pub(crate) fn finish(&mut self, id: RequestId, answer: Option<Action>) {
        let cancelling = self.state.settings.cancelling_enabled;
        let Some(request) = self.state.requests.get_mut(id) else { return };
        if request.phase != Phase::Answered {
            self.actions.extend(answer);
            let attempts = request.attempts.iter().enumerate();
            let cancelled = attempts.filter(|(_, attempt)| attempt.in_flight && cancelling);
            self.actions
                .extend(cancelled.map(|(number, _)| Action::Cancel { id, attempt: AttemptNo(number as u8) }));
        }
        request.phase = Phase::Answered;
        if !request.is_in_flight() {
            self.state.requests.remove(id);
        }
        self.state.reservations.release(id);
    }

    // Timers.

    /// Handles the end of a probe time-out or a backoff. Time-outs of earlier steps are ignored.
    pub(crate) fn step_timed_out(&mut self, id: RequestId, step: u32) {
        let Some(request) = self.state.requests.get_mut(id) else { return };
        if !Timer::is_step(step, request.step) {
            return;
        }
        match request.phase {
            Phase::FirstProbe => {
                // If the worker with the request's reservation does not answer in time, the reservation is
                // released and other workers are probed.
                request
                    .excluded
                    .extend(self.state.reservations.get(id).map(|reservation| reservation.worker));
                self.state.reservations.release(id);
                self.probe_further(id);
            }
            Phase::FurtherProbes | Phase::SpilloverProbes if request.answered.is_empty() => {
                self.back_off(id);
            }
            Phase::FurtherProbes | Phase::SpilloverProbes => self.place_on_least_busy(id),
            Phase::Backoff => self.start_round(id),
            Phase::InFlight | Phase::Answered => {}
        }
    }

    /// Probes the worker of an attempt that has not started.
    pub(crate) fn check_start(&mut self, id: RequestId, number: AttemptNo) {
        let Some(attempt) = self.state.requests.in_flight_mut(id, number) else { return };
        if attempt.started.is_none() {
            let worker = attempt.worker;
            self.probe_if_ready(worker, ProbePurpose::MissedStart { request: id, attempt: number });
        }
    }

    /// Probes the worker of an attempt to measure the age of its reports.
    pub(crate) fn check_report_age(&mut self, id: RequestId, number: AttemptNo) {
        let Some(attempt) = self.state.requests.in_flight_mut(id, number) else { return };
        let (worker, jobs_found) = (attempt.worker, attempt.reported_jobs);
        self.probe_if_ready(worker, ProbePurpose::ReportAge { jobs_found });
    }

    fn probe_if_ready(&mut self, worker: usize, purpose: ProbePurpose) {
        if self.state.workers[worker].state == WorkerState::Ready {
            self.probe(worker, purpose);
        }
    }

    // Workers.

    /// Starts a new round for requests in backoff that hold a reservation at a worker, because a slot became
    /// free there or the worker can no longer serve them.
    pub(crate) fn restart_backed_off(&mut self, holders: Vec<RequestId>) {
        for id in holders {
            if self.state.requests.get(id).is_some_and(|request| request.phase == Phase::Backoff) {
                self.start_round(id);
            }
        }
    }

    /// Closes idle connections to a draining worker where the settings require it: when the drain becomes
    /// known, and whenever an attempt or a probe ends there.
    pub(crate) fn close_idle_if_draining(&mut self, worker: usize) {
        let worker = &self.state.workers[worker];
        if self.state.settings.close_idle_within.is_some() && worker.state == WorkerState::Draining {
            self.actions.push(Action::CloseIdle { worker: worker.id });
        }
    }
}
