//! The dispatcher: what happens to a request from its arrival to its answer.
//!
//! Owns the order of the steps and the random generator. What a node knows is in `node_state`; which worker
//! is drawn, who gets a job, whether it is worth queueing and whether it may be sent again is decided in
//! `probing`, `placement`, `admission` and `retry`.

use crate::api::{
    Action, AttemptNo, Class, ClassId, Entry, Event, ListKind, RequestId, Settings, Status, Time, WorkerState,
};
use crate::connections::Connection;
use crate::discovery::Subscription;
use crate::estimators::{from_seconds, seconds};
use crate::node_state::{AttemptEnd, NodeState};
use crate::placement::CHOICES;
use crate::request_table::{Arrival, Attempt, Phase, Request};
use crate::retry;
use crate::timers::Timer;
use crate::worker_table::{Locality, OwnJob, ProbePurpose};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
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
/// A backoff that waits for a reservation is this part of the usual one at least.
const MIN_BACKOFF_PART: u32 = 8;

/// The decisions of one node.
#[derive(Debug)]
pub struct Dispatcher {
    state: NodeState,
    subscription: Subscription,
    random: Pcg64Mcg,
}

impl Dispatcher {
    /// A node that has just started and knows nothing but its settings.
    pub fn new(settings: Settings, seed: u64, now: Time) -> Self {
        Self {
            state: NodeState::new(settings, seed, now),
            subscription: Subscription::default(),
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Adds a class and returns its index; the classes before it, and all that is learned, stay as they are.
    /// `None` if there are as many classes as can be told apart.
    pub fn add_class(&mut self, class: Class) -> Option<ClassId> {
        let id = u16::try_from(self.state.settings.classes.len()).ok()?;
        self.state.service.add_class(class.latency_target);
        self.state.settings.classes.push(class);
        self.state.rebuild_pools();
        Some(ClassId(id))
    }

    /// The number of nodes has changed.
    pub fn set_nodes(&mut self, nodes: u32) {
        self.state.settings.nodes = nodes;
    }

    /// Takes in one event and appends what is to be done about it, in order.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Members { kind, entries } => self.members_changed(now, kind, &entries, out),
            Event::Request { id, class, time_left, repeat, slots, memory, work, key, tenant } => {
                let arrival = Arrival {
                    id,
                    class: usize::from(class.0),
                    tenant: usize::from(tenant.0),
                    time_left,
                    is_retry: repeat,
                    slots: if slots > 0.0 { f64::from(slots) } else { 1.0 },
                    memory: f64::from(memory),
                    work: work.map(seconds).filter(|hint| *hint > 0.0),
                    key,
                };
                self.request_arrived(now, &arrival, out);
            }
            Event::Started { id, attempt } => self.state.record_start(now, id, attempt),
            Event::Progress { .. } => {}
            Event::StreamOpened { id, .. } => {
                // The stream belongs to the client: no deadline runs, its end closes the request.
                if let Some(request) = self.state.requests.get_mut(id) {
                    request.phase = Phase::Answered;
                }
            }
            Event::Outcome { id, attempt, status, latency, closed, report, worker } => {
                let worker = self.state.workers.index_of(worker);
                if let Some(worker) = worker {
                    self.state.record_report(now, worker, &report);
                }
                let end = AttemptEnd { request: id, attempt, status, latency, closed };
                self.attempt_ended(now, &end, out);
                if let Some(worker) = worker {
                    self.close_idle_if_draining(worker, out);
                }
            }
            Event::Probed { worker, status, latency, report } => {
                let Some(index) = self.state.workers.index_of(worker) else { return };
                self.probe_ended(now, index, status, latency, &report, out);
            }
            Event::ClientGone { id } => self.finish(id, None, out),
            Event::TimerDue { token } => {
                if let Some(timer) = Timer::from_token(token) {
                    self.timer_due(now, timer, out);
                }
            }
        }
    }

    // Rounds of probes.

    fn request_arrived(&mut self, now: Time, arrival: &Arrival, out: &mut Vec<Action>) {
        let id = arrival.id;
        if arrival.class >= self.state.settings.classes.len() || self.state.requests.contains(id) {
            out.push(Action::Fail { id });
            return;
        }
        self.state.record_arrival(now, arrival);
        let at = now + arrival.time_left - self.state.settings.tick;
        out.push(Action::SetTimer { at, token: Timer::RequestDeadline(id).token() });
        if self.is_never_placeable(now, id) {
            return self.reject(id, now, out);
        }
        self.start_round(now, id, out);
    }

    /// Whether a request is late already, or needs more slots than any worker has.
    fn is_never_placeable(&self, now: Time, id: RequestId) -> bool {
        let Some(request) = self.state.requests.get(id) else { return false };
        let admission = self.state.admission(now);
        let is_too_small = |worker| admission.load.is_too_small(worker, request.slots);
        now >= admission.latest_start(request)
            || request.slots > 1.0
                && self.state.workers.pool(request.class).is_some_and(|pool| pool.iter().all(is_too_small))
    }

    /// Starts a round of probes with the random first one.
    fn start_round(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.state.requests.get_mut(id) else { return };
        request.start_round();
        if !self.state.settings.probing_enabled {
            // Exception: where probes are not allowed, d random workers are compared by own load.
            self.draw(now, id, CHOICES, Locality::Local, out);
            return self.choose(now, id, out);
        }
        if self.draw_one(now, id, out) == 0 {
            return self.back_off(now, id, out);
        }
        self.set_step_timer(now, id, self.probe_timeout(), out);
    }

    /// Probes one more worker, a remote one if there is no local one; returns how many were drawn.
    fn draw_one(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) -> usize {
        match self.draw(now, id, 1, Locality::Local, out) {
            0 => self.draw(now, id, 1, Locality::Remote, out),
            drawn => drawn,
        }
    }

    /// Draws up to `count` workers that take part and probes them; returns how many there were.
    fn draw(
        &mut self, now: Time, id: RequestId, count: usize, from: Locality, out: &mut Vec<Action>,
    ) -> usize {
        let probing = self.state.settings.probing_enabled;
        let mut drawn = 0;
        while drawn < count {
            let Some(request) = self.state.requests.get(id) else { return drawn };
            let cost = request.cost;
            let Some(worker) = self.state.draw(now).next(request, from, &mut self.random) else {
                return drawn;
            };
            self.state.record_draw(now, worker);
            // Before the probe: a worker that takes no part costs none.
            let admitted = self.slow_start_admits(now, cost, worker);
            let Some(request) = self.state.requests.get_mut(id) else { return drawn };
            if !admitted && probing {
                request.excluded.push(worker);
                continue;
            }
            drawn += 1;
            request.drawn.push(worker);
            if probing {
                let purpose = ProbePurpose::Placement { request: id, step: request.step };
                self.probe(worker, purpose, out);
            } else if admitted {
                request.answered.push(worker);
            } else {
                request.excluded.push(worker);
            }
        }
        drawn
    }

    /// Whether a worker that was drawn takes part, if it is warming up.
    fn slow_start_admits(&mut self, now: Time, cost: f64, worker: usize) -> bool {
        let Some(warming) = self.state.warming_worker(now, worker) else { return true };
        let probability = warming.admission_probability(cost, &self.state.settings);
        probability.is_some_and(|probability| self.random.random_bool(probability))
    }

    fn probe(&mut self, index: usize, purpose: ProbePurpose, out: &mut Vec<Action>) {
        let worker = &mut self.state.workers[index];
        worker.probes.push_back(purpose);
        out.push(Action::Probe { worker: worker.id });
    }

    /// A probe is given up on after its usual round trip; its answer still counts if it comes later.
    fn probe_timeout(&self) -> Duration {
        self.state.probe_round_trip.upper_bound().max(2 * self.state.settings.tick)
    }

    fn set_step_timer(&mut self, now: Time, id: RequestId, after: Duration, out: &mut Vec<Action>) {
        if let Some(request) = self.state.requests.get(id) {
            let at = (now + after).min(request.deadline);
            let token = Timer::StepTimeout { request: id, step: request.step }.token();
            out.push(Action::SetTimer { at, token });
        }
    }

    fn probe_ended(
        &mut self, now: Time, index: usize, status: Status, latency: Duration, report: &[f32],
        out: &mut Vec<Action>,
    ) {
        let answered = status == Status::Ok;
        let worker = &mut self.state.workers[index];
        let purpose = worker.probes.pop_front();
        worker.record_status(now, status);
        if answered {
            worker.outliers.record_answered_probe();
            self.state.record_report(now, index, report);
            self.state.probe_round_trip.record(seconds(latency));
        } else {
            self.state.record_failed_probe(now, index, status, latency);
        }
        self.close_idle_if_draining(index, out);
        match purpose {
            Some(ProbePurpose::Placement { request, step }) => {
                let current = self.state.requests.get(request).is_some_and(|request| request.step == step);
                if current && answered {
                    self.probe_answered(now, request, index, out);
                } else if current {
                    self.probe_failed(now, request, index, out);
                }
            }
            Some(ProbePurpose::MissedStart { request, attempt }) if answered => {
                self.start_missed(now, request, attempt, out);
            }
            Some(ProbePurpose::ReportAge { jobs_found }) if answered => {
                let shown = self.state.load(now).reported_jobs(index) > jobs_found;
                self.state.report_age.record(shown, &self.state.settings);
            }
            _ => {}
        }
    }

    fn probe_answered(&mut self, now: Time, id: RequestId, worker: usize, out: &mut Vec<Action>) {
        let Some(request) = self.state.requests.get_mut(id) else { return };
        request.answered.push(worker);
        let (phase, awaits_probes) = (request.phase, request.awaits_probes());
        let (slots, memory) = (request.slots, request.memory);
        if self.state.workers.locality(worker, &self.state.settings) == Locality::Remote {
            let has_capacity = self.state.load(now).has_capacity(worker, slots, memory);
            self.state.record_remote_capacity(has_capacity);
        }
        match phase {
            Phase::FirstProbe => self.first_probe_answered(now, id, worker, out),
            phase if phase.is_probing_further() && !awaits_probes => self.choose(now, id, out),
            _ => {}
        }
    }

    fn first_probe_answered(&mut self, now: Time, id: RequestId, worker: usize, out: &mut Vec<Action>) {
        let Some(request) = self.state.requests.get(id) else { return };
        let is_reserved = self.state.reservations.get(id).is_some();
        if self.state.placement(now).accepts_first(request, worker, is_reserved) {
            return self.send(now, id, worker, out);
        }
        if is_reserved {
            return self.back_off(now, id, out);
        }
        self.probe_further(now, id, out);
    }

    /// A worker that takes no part in the choice says nothing of a crowd: another is probed in its place.
    fn probe_failed(&mut self, now: Time, id: RequestId, worker: usize, out: &mut Vec<Action>) {
        let Some(request) = self.state.requests.get_mut(id) else { return };
        request.drawn.retain(|drawn| *drawn != worker);
        request.excluded.push(worker);
        if request.phase.is_probing_further() && request.excluded.len() <= MAX_REPLACED {
            self.draw_one(now, id, out);
        }
        let Some(request) = self.state.requests.get(id) else { return };
        match request.phase {
            Phase::FirstProbe => {
                self.state.reservations.release(id);
                self.probe_further(now, id, out);
            }
            phase if phase.is_probing_further() && !request.awaits_probes() => self.choose(now, id, out),
            _ => {}
        }
    }

    /// Probes d-1 more workers.
    fn probe_further(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.state.requests.get_mut(id) else { return };
        request.phase = Phase::FurtherProbes;
        let awaits_probes = request.awaits_probes();
        if self.draw(now, id, CHOICES - 1, Locality::Local, out) == 0 && !awaits_probes {
            return self.choose(now, id, out);
        }
        self.set_step_timer(now, id, self.probe_timeout(), out);
    }

    /// Places a request at the least busy of all that were probed; ties at random.
    fn choose(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.state.requests.get(id) else { return };
        let placement = self.state.placement(now);
        let tied = placement.least_busy(request);
        let best = (!tied.is_empty()).then(|| tied[self.random.random_range(0..tied.len())]);
        if let Some(worker) = best.filter(|worker| placement.accepts_least_busy(request, *worker)) {
            return self.send(now, id, worker, out);
        }
        let judges_by_waits = placement.admission.judges_by_waits(request);
        let is_misled = best.is_some_and(|worker| placement.load().is_misleading(worker));
        let may_spill = !is_misled && !judges_by_waits && request.phase != Phase::SpilloverProbes;
        if may_spill && self.spill_over(now, id, out) {
            return;
        }
        self.queue_or_back_off(now, id, best, out);
    }

    /// Exception: all local workers are full, by credible reports: remote ones are probed. Returns whether
    /// there are any.
    fn spill_over(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) -> bool {
        if let Some(request) = self.state.requests.get_mut(id) {
            request.phase = Phase::SpilloverProbes;
        }
        let is_crowd = self.state.remote_capacity <= CROWD_CAPACITY;
        let probes = if is_crowd { SPILLOVER_PROBES_IN_CROWD } else { SPILLOVER_PROBES };
        let spilled = self.draw(now, id, probes, Locality::Remote, out) > 0;
        if spilled {
            self.set_step_timer(now, id, self.probe_timeout(), out);
        }
        spilled
    }

    /// Exception: a full worker gets the job into its queue if it would end in time there. Where late answers
    /// keep some value, it queues where it is expected to wait least in the fleet.
    fn queue_or_back_off(&mut self, now: Time, id: RequestId, best: Option<usize>, out: &mut Vec<Action>) {
        let Some(request) = self.state.requests.get(id) else { return };
        let placement = self.state.placement(now);
        let judges_by_waits = placement.admission.judges_by_waits(request);
        let best = if judges_by_waits { placement.shortest_queue(request).or(best) } else { best };
        let queues = |worker: &usize| {
            placement.admission.is_worth_queueing(request, *worker) || placement.load().is_misleading(*worker)
        };
        match best.filter(queues) {
            Some(worker) => self.send(now, id, worker, out),
            None => self.back_off(now, id, out),
        }
    }

    /// Ends a round that found nobody. A large job looks again at what it holds; others are rejected at once.
    /// If no report came, a new round follows, once; where late answers count fully, while there is time.
    fn back_off(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.state.requests.get(id) else { return };
        let placement = self.state.placement(now);
        let latest_start = placement.admission.latest_start(request);
        let budget = placement.admission.wait_budget(request);
        let late_counts = placement.admission.late_value(request) >= 1.0;
        let reservable = placement.reservable(request, None);
        let base = budget.mul_f64(self.random.random_range(0.1..0.2));
        let reserved = reservable.and_then(|job| job.reserve(now, &mut self.state.reservations));
        let Some(request) = self.state.requests.get_mut(id) else { return };
        let pause = match reserved {
            Some(start) => start.since(now).clamp(base / MIN_BACKOFF_PART, base),
            None => base * (1 << request.backoffs.min(MAX_BACKOFF_DOUBLINGS)),
        };
        let is_repeated = request.backoffs > 0 || !request.answered.is_empty();
        let is_over = !late_counts && reserved.is_none() && is_repeated;
        request.enter(Phase::Backoff);
        request.backoffs += 1;
        if is_over || now + pause >= latest_start {
            return self.reject(id, now, out);
        }
        self.set_step_timer(now, id, pause, out);
    }

    // Attempts.

    fn send(&mut self, now: Time, id: RequestId, index: usize, out: &mut Vec<Action>) {
        let state = &mut self.state;
        let Some(request) = state.requests.get(id) else { return };
        let placement = state.placement(now);
        let load = placement.load();
        let queued = !load.has_capacity(index, request.slots, request.memory);
        let mut attempt = Attempt {
            worker: index,
            sent: now,
            slots: request.slots,
            in_flight: true,
            started: None,
            connection_idle: None,
            queued,
            load_level: load.level(index),
            reported_jobs: load.reported_jobs(index),
        };
        let start = now + from_seconds(load.slot_wait(request, index));
        let expected_end = start + load.run_time(request, index);
        let probing = state.settings.probing_enabled;
        let start_check = (probing && state.settings.start_reported)
            .then(|| now + Self::start_check_delay(state, now, request, &attempt));
        // What it waits for is not given away meanwhile.
        let reservable = if queued { placement.reservable(request, Some(index)) } else { None };
        state.reservations.release(id);
        if let Some(job) = reservable {
            job.reserve(now, &mut state.reservations);
        }
        let worker = &mut state.workers[index];
        // Exception: connections idle for longer than proved safe are closed first.
        match worker.idle_connections.take(now, state.settings.keepalive, state.idle_limit) {
            Connection::New => {}
            Connection::NewAfterClosing => out.push(Action::CloseIdle { worker: worker.id }),
            Connection::Reused(idle) => attempt.connection_idle = Some(idle),
        }
        let Some(request) = state.requests.get_mut(id) else { return };
        worker.own_jobs.push(OwnJob { sent: now, slots: request.slots, started: false, expected_end });
        worker.recent_keys.record(request.key);
        let no = AttemptNo(request.attempts.len() as u8);
        request.enter(Phase::InFlight);
        request.attempts.push(attempt);
        out.push(Action::Send { id, worker: worker.id, timeout: None });
        state.workers.queued_attempts += usize::from(queued);
        if let Some(at) = start_check {
            let token = Timer::StartCheck { request: id, attempt: no }.token();
            out.push(Action::SetTimer { at, token });
        }
        if state.report_age.is_checked_by_send() && probing && !queued {
            let token = Timer::ReportAgeCheck { request: id, attempt: no }.token();
            out.push(Action::SetTimer { at: now + state.report_age.get(), token });
        }
    }

    /// After this time an attempt that has not started is looked at.
    fn start_check_delay(state: &NodeState, now: Time, request: &Request, attempt: &Attempt) -> Duration {
        let admission = state.admission(now);
        let usual = state.start_delay.upper_bound();
        let delay = usual.max(admission.wait_budget(request) / 4).max(2 * state.report_age.lag());
        if attempt.queued {
            delay + 2 * from_seconds(admission.load.queue_wait(attempt.worker))
        } else {
            delay
        }
    }

    /// An attempt has not started, though its worker answers probes. If there is capacity, it is lost; one
    /// that may be repeated is cancelled and sent again.
    fn start_missed(&mut self, now: Time, id: RequestId, no: AttemptNo, out: &mut Vec<Action>) {
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
            && retry::may_repeat(settings, now, request)
            && retry::has_attempts_left(settings, request)
            && now < self.state.admission(now).latest_start(request)
            && request.phase == Phase::InFlight;
        if may_retry {
            out.push(Action::Cancel { id, attempt: no });
        }
        let (class, attempt) = (request.class, *attempt);
        self.state.record_missed_start(now, class, &attempt);
    }

    fn attempt_ended(&mut self, now: Time, end: &AttemptEnd, out: &mut Vec<Action>) {
        let (id, status) = (end.request, end.status);
        let Some(attempt) = self.state.requests.in_flight_mut(id, end.attempt) else { return };
        attempt.in_flight = false;
        let attempt = *attempt;
        let Some(request) = self.state.requests.get(id) else { return };
        let (class, work) = (request.class, request.work);
        self.state.record_attempt_end(now, &attempt, (class, work), end);
        self.state.reservations.release(id);
        self.wake(now, self.state.reservations.holders(attempt.worker), out);
        let never_ran = self.state.settings.never_ran(status);
        let Some(request) = self.state.requests.get_mut(id) else { return };
        if end.closed || request.phase == Phase::Answered {
            return self.finish(id, None, out);
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
        if status == Status::Moot || !self.may_retry(now, id) {
            return self.reject(id, now, out);
        }
        self.start_round(now, id, out);
    }

    /// Whether a request may be sent again and is still worth starting.
    fn may_retry(&self, now: Time, id: RequestId) -> bool {
        self.state.requests.get(id).is_some_and(|request| {
            retry::may_send(&self.state.settings, now, request)
                && now < self.state.admission(now).latest_start(request)
        })
    }

    // Answers.

    /// Ends a request that no worker gets: rejected if a client may try again, failed otherwise.
    fn reject(&mut self, id: RequestId, now: Time, out: &mut Vec<Action>) {
        let Some(request) = self.state.requests.get(id) else { return };
        let settings = &self.state.settings;
        let advice = from_seconds(self.state.service.mean() * self.random.random_range(0.5..1.5));
        let retry_after = settings.retry_after_enabled.then_some(advice.min(settings.max_retry_after));
        let answer = if self.state.admission(now).is_retry_harmless(request) {
            Action::Refuse { id, retry_after }
        } else {
            Action::Fail { id }
        };
        self.finish(id, Some(answer), out);
    }

    /// Ends a request: at most one answer, and its attempts are cancelled.
    fn finish(&mut self, id: RequestId, answer: Option<Action>, out: &mut Vec<Action>) {
        let cancelling = self.state.settings.cancelling_enabled;
        let Some(request) = self.state.requests.get_mut(id) else { return };
        if request.phase != Phase::Answered {
            out.extend(answer);
            let attempts = request.attempts.iter().enumerate();
            let cancelled = attempts.filter(|(_, attempt)| attempt.in_flight && cancelling);
            out.extend(cancelled.map(|(no, _)| Action::Cancel { id, attempt: AttemptNo(no as u8) }));
        }
        request.phase = Phase::Answered;
        if !request.is_in_flight() {
            self.state.requests.remove(id);
        }
        self.state.reservations.release(id);
    }

    // Timers.

    fn timer_due(&mut self, now: Time, timer: Timer, out: &mut Vec<Action>) {
        match timer {
            Timer::RequestDeadline(request) => self.reject(request, now, out),
            Timer::StepTimeout { request, step } => self.step_timed_out(now, request, step, out),
            Timer::StartCheck { request, attempt } => self.check_start(request, attempt, out),
            Timer::ReportAgeCheck { request, attempt } => self.check_report_age(request, attempt, out),
            Timer::DiscoveryPoll => {
                if self.subscription.must_poll(&self.state.settings) {
                    out.push(Action::Watch);
                }
            }
        }
    }

    fn step_timed_out(&mut self, now: Time, id: RequestId, step: u32, out: &mut Vec<Action>) {
        let Some(request) = self.state.requests.get_mut(id) else { return };
        if !Timer::is_step(step, request.step) {
            return;
        }
        match request.phase {
            Phase::FirstProbe => {
                // A worker that is reserved for it and says nothing is lost to it; the others come next.
                request.excluded.extend(self.state.reservations.get(id).map(|held| held.worker));
                self.state.reservations.release(id);
                self.probe_further(now, id, out);
            }
            Phase::FurtherProbes | Phase::SpilloverProbes if request.answered.is_empty() => {
                self.back_off(now, id, out);
            }
            Phase::FurtherProbes | Phase::SpilloverProbes => self.choose(now, id, out),
            Phase::Backoff => self.start_round(now, id, out),
            Phase::InFlight | Phase::Answered => {}
        }
    }

    /// Probes the worker of an attempt that has not started.
    fn check_start(&mut self, id: RequestId, no: AttemptNo, out: &mut Vec<Action>) {
        let Some(attempt) = self.state.requests.in_flight_mut(id, no) else { return };
        if attempt.started.is_none() {
            let worker = attempt.worker;
            self.check(worker, ProbePurpose::MissedStart { request: id, attempt: no }, out);
        }
    }

    /// Probes the worker of an attempt to learn the age of reports.
    fn check_report_age(&mut self, id: RequestId, no: AttemptNo, out: &mut Vec<Action>) {
        let Some(attempt) = self.state.requests.in_flight_mut(id, no) else { return };
        let (worker, jobs_found) = (attempt.worker, attempt.reported_jobs);
        self.check(worker, ProbePurpose::ReportAge { jobs_found }, out);
    }

    fn check(&mut self, worker: usize, purpose: ProbePurpose, out: &mut Vec<Action>) {
        if self.state.workers[worker].state == WorkerState::Ready {
            self.probe(worker, purpose, out);
        }
    }

    // Membership.

    fn members_changed(&mut self, now: Time, kind: ListKind, entries: &[Entry], out: &mut Vec<Action>) {
        self.subscription.record(&self.state.settings, kind);
        if self.subscription.must_poll(&self.state.settings) {
            let at = self.subscription.next_poll(&self.state.settings, now, &mut self.random);
            out.push(Action::SetTimer { at, token: Timer::DiscoveryPoll.token() });
        }
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            self.state.workers.remove_unlisted(entries);
        }
        for entry in entries {
            let worker = self.state.update_worker(entry);
            self.close_idle_if_draining(worker, out);
        }
        if kind != ListKind::Failed {
            self.state.rebuild_pools();
        }
        let (workers, settings) = (&self.state.workers, &self.state.settings);
        let is_lost = |worker: usize| {
            let worker = &workers[worker];
            worker.state != WorkerState::Ready
                || crate::slow_start::capacity_fraction(worker.started, now, settings) < 1.0
        };
        let holders = self.state.reservations.release_where(is_lost);
        self.wake(now, holders, out);
    }

    /// Jobs that held a part of a worker start a new round: a slot came free there, or it can serve them no
    /// more.
    fn wake(&mut self, now: Time, holders: Vec<RequestId>, out: &mut Vec<Action>) {
        for id in holders {
            if self.state.requests.get(id).is_some_and(|request| request.phase == Phase::Backoff) {
                self.start_round(now, id, out);
            }
        }
    }

    /// Rule of closing on drains, where stated: when the drain is known, and whenever an attempt or a probe
    /// ends there.
    fn close_idle_if_draining(&self, worker: usize, out: &mut Vec<Action>) {
        let worker = &self.state.workers[worker];
        if self.state.settings.close_idle_within.is_some() && worker.state == WorkerState::Draining {
            out.push(Action::CloseIdle { worker: worker.id });
        }
    }
}
