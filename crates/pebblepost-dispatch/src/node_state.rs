//! State of one dispatcher: settings, workers, requests, reservations and learned estimates.
//!
//! Owns this state and records observations in it. Decisions are made in [`crate::admission`],
//! [`crate::placement`] and [`crate::probing`], which read the state through views of one point in time.

use crate::admission::Admission;
use crate::affinity::KeyPopularity;
use crate::api::{AttemptNo, Entry, ReportField, RequestId, Settings, Status, Time, WorkerState};
use crate::connections::IdleLimit;
use crate::estimators::{
    DurationEstimate, EWMA_GAIN, EventRate, TenantUsage, from_seconds, seconds, update_mean,
};
use crate::job_size::{JobSizes, TypicalJob};
use crate::load::LoadModel;
use crate::placement::Placement;
use crate::probing::WorkerSampler;
use crate::report_quality::{LoadLevel, ReportAge, ReportReliability};
use crate::request_table::{Arrival, Attempt, Request, RequestTable};
use crate::reservation::Reservations;
use crate::service_times::ServiceTimes;
use crate::slow_start::{self, WarmingWorker};
use crate::worker_table::{Locality, PerLocality, WorkerTable};
use std::time::Duration;

/// Delays are assumed to last this many ticks until the first one is observed.
const INITIAL_DELAY_TICKS: f64 = 4.0;
/// The draw rate is averaged over at most this many overload times: long enough to count draws of a
/// dispatcher with little traffic, short enough to follow a burst.
const MAX_DRAW_WINDOW_OVERLOAD_TIMES: u32 = 4;
/// A worker that failed a job is ejected for at least this many of its mean intervals between draws.
const MIN_EJECTION_DRAW_INTERVALS: f64 = 2.0;
const MIN_ARRIVALS_PER_SECOND: f64 = 0.1;

/// State of one dispatcher.
#[derive(Debug)]
pub(crate) struct NodeState {
    pub(crate) settings: Settings,
    /// Seed of this dispatcher's order of workers.
    seed: u64,
    started: Time,
    pub(crate) workers: WorkerTable,
    pub(crate) requests: RequestTable,
    pub(crate) reservations: Reservations,
    job_sizes: JobSizes,
    pub(crate) service: ServiceTimes,
    pub(crate) report_age: ReportAge,
    report_reliability: ReportReliability,
    pub(crate) idle_limit: IdleLimit,
    tenants: TenantUsage,
    popularity: KeyPopularity,
    /// Rate of requests that arrive at this dispatcher.
    arrivals: EventRate,
    /// Rate of workers drawn by this dispatcher.
    draws: PerLocality<EventRate>,
    pub(crate) probe_round_trip: DurationEstimate,
    /// Delay from send to start of jobs that found a free slot.
    pub(crate) start_delay: DurationEstimate,
    /// Mean number of busy slots and queued jobs per worker.
    mean_busy: f64,
    /// Moving average of the fraction of probed remote workers that have capacity.
    pub(crate) remote_capacity_fraction: f64,
}

/// End of an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptEnd {
    pub(crate) request: RequestId,
    pub(crate) attempt: AttemptNo,
    pub(crate) status: Status,
    /// Time since the attempt was sent.
    pub(crate) latency: Duration,
    /// Whether the request is finished as well.
    pub(crate) closed: bool,
}

impl NodeState {
    /// Creates the state of a dispatcher that has just started.
    pub(crate) fn new(settings: Settings, seed: u64, now: Time) -> Self {
        let tick = seconds(settings.tick);
        let delay = DurationEstimate { mean: INITIAL_DELAY_TICKS * tick, deviation: tick };
        let rate = EventRate::new(now);
        Self {
            seed,
            started: now,
            workers: WorkerTable::default(),
            requests: RequestTable::default(),
            reservations: Reservations::new(settings.reservations.max_reserved_fraction),
            job_sizes: JobSizes::new(settings.reservations),
            service: ServiceTimes::new(&settings),
            report_age: ReportAge::new(&settings),
            report_reliability: ReportReliability::default(),
            idle_limit: IdleLimit::new(settings.keepalive),
            tenants: TenantUsage::new(settings.tenants.iter().map(|tenant| tenant.quota_share)),
            popularity: KeyPopularity::default(),
            arrivals: rate,
            draws: PerLocality { local: rate, remote: rate },
            probe_round_trip: delay,
            start_delay: delay,
            mean_busy: 0.0,
            remote_capacity_fraction: 1.0,
            settings,
        }
    }

    // Views of the state at one point in time.

    pub(crate) fn load(&self, now: Time) -> LoadModel<'_> {
        LoadModel {
            now,
            settings: &self.settings,
            workers: &self.workers,
            service: &self.service,
            report_age: &self.report_age,
            report_reliability: &self.report_reliability,
            mean_busy: self.mean_busy,
        }
    }

    pub(crate) fn admission(&self, now: Time) -> Admission<'_> {
        Admission { load: self.load(now), tenants: &self.tenants }
    }

    pub(crate) fn placement(&self, now: Time) -> Placement<'_> {
        Placement { admission: self.admission(now), reservations: &self.reservations }
    }

    pub(crate) fn sampler(&self, now: Time) -> WorkerSampler<'_> {
        WorkerSampler {
            placement: self.placement(now),
            popularity: &self.popularity,
            arrivals_per_second: self.arrivals.per_second,
        }
    }

    /// Returns the inputs of slow start for a worker, or `None` if the worker has warmed up.
    pub(crate) fn warming_worker(&self, now: Time, worker: usize) -> Option<WarmingWorker> {
        let load = self.load(now);
        let capacity_fraction = load.capacity_fraction(worker);
        if capacity_fraction >= 1.0 {
            return None;
        }
        let locality = self.workers.locality(worker, &self.settings);
        Some(WarmingWorker {
            capacity_fraction,
            slots: load.slots(worker),
            service_seconds: self.service.mean_seconds_of_kind(self.workers[worker].kind),
            report_lag_seconds: seconds(self.report_age.lag()),
            is_remote: locality == Locality::Remote,
            local_workers: self.workers.ready.local,
            remote_workers: self.workers.ready.remote,
            draws_per_second: self.draws[locality].per_second,
        })
    }

    /// Rebuilds the pools after changes of the membership or the classes.
    pub(crate) fn rebuild_pools(&mut self) {
        self.workers.rebuild_pools(&self.settings);
    }

    /// Releases the reservations at workers that can no longer serve them. Returns the requests that held
    /// them.
    pub(crate) fn release_lost_reservations(&mut self, now: Time) -> Vec<RequestId> {
        let (workers, settings) = (&self.workers, &self.settings);
        self.reservations.release_where(|index| {
            let worker = &workers[index];
            worker.state != WorkerState::Ready
                || slow_start::capacity_fraction(worker.started, now, settings) < 1.0
        })
    }

    /// Applies an entry of the membership. Returns the worker's index.
    pub(crate) fn update_worker(&mut self, entry: &Entry) -> usize {
        self.workers.update(entry, self.seed)
    }

    // Observations.

    /// Records the arrival of a request of a known class and adds it to the table.
    pub(crate) fn record_arrival(&mut self, now: Time, arrival: &Arrival) {
        // The rate is averaged over the dispatcher's uptime at first, later over the keep-alive time.
        let age = seconds(now.since(self.started).max(self.settings.tick));
        let window_seconds = age.min(seconds(self.settings.keepalive));
        self.arrivals.record(now, window_seconds, self.settings.tick);
        self.tenants.record(arrival.tenant);
        self.popularity.record(arrival.key);
        let cost = self.service.record_cost(arrival.class, arrival.work);
        let typical = TypicalJob {
            service_seconds: self.service.mean_seconds(),
            seconds_per_hinted_second: self.service.fastest_seconds_per_hinted_second(),
        };
        let is_large = self.job_sizes.record(arrival.work, arrival.slots, typical);
        let deadline = now + arrival.time_left;
        // A retry counts from the client's first try, because it uses up that try's time.
        let first_try = deadline - self.settings.classes[arrival.class].deadline;
        let arrived = if arrival.is_retry { first_try } else { now };
        self.requests.insert(Request::new(arrival, arrived, deadline, cost, is_large));
    }

    /// Records that a worker was drawn.
    pub(crate) fn record_draw(&mut self, now: Time, worker: usize) {
        let overload_time = self.settings.overload_time;
        let window =
            now.since(self.started).clamp(overload_time, MAX_DRAW_WINDOW_OVERLOAD_TIMES * overload_time);
        let locality = self.workers.locality(worker, &self.settings);
        self.draws[locality].record(now, seconds(window), self.settings.tick);
    }

    /// Records whether a probed remote worker has capacity for a job.
    pub(crate) fn record_remote_capacity(&mut self, has_capacity: bool) {
        update_mean(&mut self.remote_capacity_fraction, f64::from(u8::from(has_capacity)), EWMA_GAIN);
    }

    /// Records a load report. A report whose length differs from the configured fields is dropped.
    pub(crate) fn record_report(&mut self, now: Time, index: usize, report: &[f32]) {
        let fields = &self.settings.report_fields;
        if report.len() != fields.len() || report.is_empty() {
            return;
        }
        let worker = &mut self.workers[index];
        for (field, value) in fields.iter().zip(report) {
            let value = f64::from(*value).max(0.0);
            match field {
                ReportField::FreeSlots => {
                    worker.free_slots = value.round();
                    worker.slots = worker.slots.max(worker.free_slots);
                    self.service.record_slots(worker.kind, worker.slots);
                }
                ReportField::FreeMemory => {
                    worker.free_memory = value;
                    worker.memory = worker.memory.max(value);
                }
                ReportField::Queue => worker.queued_jobs = value.round(),
                ReportField::InFlight => worker.jobs = value.round(),
                ReportField::Utilization | ReportField::Other => {}
            }
        }
        if fields.contains(&ReportField::InFlight) && !fields.contains(&ReportField::Queue) {
            worker.queued_jobs = (worker.jobs - (worker.slots - worker.free_slots)).round().max(0.0);
        }
        // The membership announces a restart only seconds later.
        let failures = std::mem::take(&mut worker.connection_failures);
        if failures.is_outage(now, self.settings.overload_time) {
            worker.started = worker.started.max(Some(now));
        }
        worker.reported_at = now;
        worker.reports = worker.reports.saturating_add(1);
        if worker.has_known_slots() {
            let busy = worker.slots - worker.free_slots + worker.queued_jobs;
            update_mean(&mut self.mean_busy, busy, EWMA_GAIN);
        }
    }

    /// Records a probe that ended without a report.
    pub(crate) fn record_failed_probe(&mut self, now: Time, index: usize, status: Status, latency: Duration) {
        let worker = &mut self.workers[index];
        // A broken connection is no evidence of a failed worker. Neither is a time-out if the worker has
        // reported since the probe was sent.
        if status != Status::Reset && worker.reported_at + latency <= now {
            worker.outliers.record_failed_probe(now);
        }
    }

    /// Records that the job of an attempt has started.
    pub(crate) fn record_start(&mut self, now: Time, id: RequestId, number: AttemptNo) {
        let Some(request) = self.requests.get(id) else { return };
        let (class, late) = (request.class, now > self.admission(now).on_time_until(request));
        let Some(attempt) =
            self.requests.in_flight_mut(id, number).filter(|attempt| attempt.started.is_none())
        else {
            return;
        };
        attempt.started = Some(now);
        let attempt = *attempt;
        let Some(request) = self.requests.get(id) else { return };
        let expected_end = now + self.load(now).run_time(request, attempt.worker);
        self.reservations.release(id);
        let worker = &mut self.workers[attempt.worker];
        worker.queue_wait.record_start(now, now.since(attempt.sent));
        worker.outliers.record_start(attempt.sent, class);
        for job in worker.own_jobs.iter_mut().filter(|job| job.sent == attempt.sent) {
            (job.started, job.expected_end) = (true, expected_end);
        }
        if !attempt.queued {
            self.start_delay.record(seconds(now.since(attempt.sent)));
        }
        if let Some(idle) = attempt.connection_idle {
            self.idle_limit.record_start(idle, self.settings.keepalive);
        }
        self.record_reliability(now, attempt.worker, attempt.load_level, late);
    }

    /// Records that an attempt has not started although there is capacity. A reused connection is taken to be
    /// lost, and the worker is ejected for jobs of this class for a while.
    pub(crate) fn record_missed_start(&mut self, now: Time, class: usize, attempt: &Attempt) {
        let worker = &mut self.workers[attempt.worker];
        worker.own_jobs.retain(|job| job.sent != attempt.sent); // It holds no slot there.
        let ejection = self.settings.overload_time / 2;
        worker.outliers.record_missed_start(now, class, attempt.sent, ejection);
        self.idle_limit.record_loss(attempt.connection_idle, self.settings.tick);
    }

    /// Records the end of an attempt of a request in the table.
    pub(crate) fn record_attempt_end(&mut self, now: Time, attempt: &Attempt, end: &AttemptEnd) {
        let Some(request) = self.requests.get(end.request) else { return };
        let (class, work) = (request.class, request.work);
        let index = attempt.worker;
        let (is_ok, is_rejected) = (end.status == Status::Ok, end.status == Status::Full);
        self.workers.queued_attempts -= usize::from(attempt.queued);
        // Service time counts from the start. If starts are not reported, it counts from the send, for jobs
        // that did not have to wait.
        let service_time = attempt.started.map_or(end.latency, |started| now.since(started));
        if let Some(work) = work.filter(|_| is_ok && attempt.started.is_some()) {
            self.service.record_hinted_run(self.workers[index].kind, service_time, work);
        }
        if is_rejected && !attempt.queued && !self.load(now).is_stale(index) {
            self.report_age.record_outdated(&self.settings);
        }
        if (is_rejected || is_ok) && !attempt.queued && self.load(now).is_stale(index) {
            self.report_reliability.record_rejection(is_rejected);
        }
        if is_rejected || is_ok && !self.settings.start_reported {
            self.record_reliability(now, index, attempt.load_level, is_rejected);
        }
        let worker = &mut self.workers[index];
        if end.status == Status::Moot {
            worker.own_jobs.retain(|job| (job.sent, job.slots) != (attempt.sent, attempt.slots));
            return;
        }
        let own_job =
            worker.own_jobs.iter().position(|job| (job.sent, job.slots) == (attempt.sent, attempt.slots));
        if let Some(own_job) = own_job {
            worker.own_jobs.remove(own_job);
        }
        worker.record_status(now, end.status);
        if matches!(end.status, Status::Ok | Status::Error | Status::Full) {
            worker.idle_connections.record(now);
        }
        match end.status {
            Status::Ok => {
                worker.outliers.record_served_job();
                if attempt.started.is_some() || !attempt.queued {
                    self.service.record(worker.kind, class, seconds(service_time));
                }
            }
            Status::Error | Status::Timeout => self.record_failed_job(now, index),
            Status::Full | Status::ConnectFailed | Status::Reset | Status::Cancelled | Status::Moot => {}
        }
    }

    /// Records a failed job and ejects the worker for an overload time or, if longer, for some of its mean
    /// intervals between draws, bounded by the keep-alive time.
    fn record_failed_job(&mut self, now: Time, worker: usize) {
        let subset = self.sampler(now).subset_size(self.workers.any_class_pool().local.len());
        let arrivals_per_second = self.arrivals.per_second.max(MIN_ARRIVALS_PER_SECOND);
        let draw_intervals = from_seconds(MIN_EJECTION_DRAW_INTERVALS * subset as f64 / arrivals_per_second);
        let ejection = self.settings.overload_time.max(draw_intervals.min(self.settings.keepalive));
        self.workers[worker].outliers.record_failed_job(now, ejection);
    }

    fn record_reliability(&mut self, now: Time, worker: usize, level: LoadLevel, failed: bool) {
        if self.load(now).is_stale(worker) {
            self.report_reliability.record(level, failed);
        }
    }
}
