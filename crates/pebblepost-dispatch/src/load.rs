//! Load model of workers: combines the last load reports, this dispatcher's own jobs and its estimates.
//!
//! Owns no state: [`LoadModel`] reads the tables of a dispatcher at one point in time. Own jobs that a report
//! cannot have counted are added to it. A worker that is warming up has less capacity than its slots.

use crate::api::{ReportField, Settings, Time};
use crate::estimators::{from_seconds, seconds};
use crate::forecast::WorkerForecast;
use crate::report_quality::{LoadLevel, ReportAge, ReportReliability};
use crate::request_table::Request;
use crate::service_times::ServiceTimes;
use crate::slow_start;
use crate::worker_table::{OwnJob, WorkerTable};
use std::time::Duration;

/// Cost of a cache miss in mean service times: the time to fetch what the key needs, and the delay that this
/// causes for other users of the store.
const CACHE_MISS_SERVICE_TIMES: f64 = 2.0;
/// Up to this many other dispatchers are assumed to have as many jobs queued at a worker as this one.
const MAX_NODES_WITH_EQUAL_QUEUE: f64 = 3.0;
/// Maximum number of unseen jobs of other dispatchers assumed to wait at a worker, and the number of other
/// dispatchers at which half of them are assumed.
const MAX_UNSEEN_QUEUED_JOBS: f64 = 2.0;
const OTHER_NODES_AT_HALF_UNSEEN_JOBS: f64 = 10.0;

/// Returns whether workers report how many jobs wait.
pub(crate) fn is_queue_reported(settings: &Settings) -> bool {
    let reported = |field| settings.report_fields.contains(&field);
    reported(ReportField::Queue) || reported(ReportField::InFlight)
}

/// View of what a dispatcher expects of its workers at one point in time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadModel<'a> {
    pub(crate) now: Time,
    pub(crate) settings: &'a Settings,
    pub(crate) workers: &'a WorkerTable,
    pub(crate) service: &'a ServiceTimes,
    pub(crate) report_age: &'a ReportAge,
    pub(crate) report_reliability: &'a ReportReliability,
    /// Mean number of busy slots and queued jobs per worker.
    pub(crate) mean_busy: f64,
}

impl LoadModel<'_> {
    /// Returns the reported free slots less own jobs that the report cannot have counted; at most what own
    /// jobs leave free.
    pub(crate) fn free_slots(&self, worker: usize) -> f64 {
        let worker = &self.workers[worker];
        let own: f64 = worker.slot_holders(self.settings.queues_in_order).map(|holder| holder.slots).sum();
        let unreported = worker.unreported_load(self.report_age.lag());
        (worker.free_slots - unreported.slots).min(worker.slots - own)
    }

    /// Returns the number of busy slots and queued jobs. Until the second report, the mean of all workers is
    /// assumed. Before the first report, the number of own jobs is assumed if it is higher.
    pub(crate) fn busy(&self, index: usize) -> f64 {
        let worker = &self.workers[index];
        let own = worker.own_jobs.len() as f64;
        match worker.reports {
            0 => own.max(self.mean_busy),
            1 => self.mean_busy,
            _ if worker.slots > 0.0 => (worker.slots - self.free_slots(index) + worker.queued_jobs).max(own),
            _ => worker.jobs.max(worker.queued_jobs) + worker.unreported_load(self.report_age.lag()).jobs,
        }
    }

    /// Returns the number of jobs at a worker by its last report.
    pub(crate) fn reported_jobs(&self, worker: usize) -> f64 {
        let worker = &self.workers[worker];
        if worker.jobs > 0.0 { worker.jobs } else { worker.slots - worker.free_slots + worker.queued_jobs }
    }

    /// Returns the load level of a worker by its last report.
    pub(crate) fn level(&self, worker: usize) -> LoadLevel {
        LoadLevel::new(self.workers[worker].queued_jobs, self.free_slots(worker))
    }

    /// Returns the fraction of its capacity that a worker is guaranteed to have.
    pub(crate) fn capacity_fraction(&self, worker: usize) -> f64 {
        slow_start::capacity_fraction(self.workers[worker].started, self.now, self.settings)
    }

    /// Returns whether a worker has warmed up.
    pub(crate) fn is_warm(&self, worker: usize) -> bool {
        self.capacity_fraction(worker) >= 1.0
    }

    /// Returns the slots of a worker, or the mean of its machine kind if that is higher: a worker that has
    /// just started may never have been seen free.
    pub(crate) fn slots(&self, worker: usize) -> f64 {
        let worker = &self.workers[worker];
        self.service.kind(worker.kind).map_or(worker.slots, |kind| kind.slots.max(worker.slots))
    }

    /// Returns the number of slots of a worker that may be filled now.
    pub(crate) fn usable_slots(&self, worker: usize) -> f64 {
        slow_start::usable_slots(self.slots(worker), self.capacity_fraction(worker))
    }

    /// Returns whether a worker is known to have fewer slots than a job needs.
    pub(crate) fn is_too_small(&self, worker: usize, slots: f64) -> bool {
        self.workers[worker].has_known_slots() && self.slots(worker) < slots
    }

    /// Returns whether a job of this many slots and memory units would start at once.
    pub(crate) fn has_capacity(&self, index: usize, slots: f64, memory: f64) -> bool {
        let worker = &self.workers[index];
        let kept_free = (self.slots(index) - self.usable_slots(index)).max(0.0);
        self.free_slots(index) - kept_free >= slots
            && worker.queued_jobs < 1.0
            && (worker.memory <= 0.0 || worker.free_memory >= memory)
    }

    /// Returns whether the reports of a worker are stale: a slot may have been filled or freed since.
    pub(crate) fn is_stale(&self, worker: usize) -> bool {
        seconds(self.report_age.get()) * self.workers[worker].slots.max(1.0) > self.service.mean_seconds()
    }

    /// Returns whether the reports of a worker are stale and misleading.
    pub(crate) fn is_misleading(&self, worker: usize) -> bool {
        self.is_stale(worker) && self.report_reliability.is_misleading()
    }

    /// Returns the expected run time of a request at a worker: its hint at the pace learned for the machine
    /// kind, slower while the worker warms up.
    pub(crate) fn run_time(&self, request: &Request, worker: usize) -> Duration {
        let kind = self.workers[worker].kind;
        let Some(work) = request.work else { return from_seconds(self.service.mean_seconds_of_kind(kind)) };
        let speed = slow_start::expected_speed(self.capacity_fraction(worker));
        from_seconds(work * self.service.seconds_per_hinted_second(kind) / speed)
    }

    /// Returns the forecast of a worker for a request.
    pub(crate) fn forecast(&self, request: &Request, index: usize) -> WorkerForecast {
        let worker = &self.workers[index];
        let queue_in_order = self.settings.queues_in_order;
        let slots = self.usable_slots(index);
        let is_started_or_overtaken = |job: &&OwnJob| job.started || job.slots > 1.0 && !queue_in_order;
        let first_waiting = worker.own_jobs.iter().find(|job| !is_started_or_overtaken(job));
        let first_waiting = first_waiting.filter(|_| self.settings.start_reported);
        WorkerForecast {
            worker: index,
            slots,
            free_slots: self.free_slots(index) - (self.slots(index) - slots).max(0.0),
            own_jobs: worker.slot_holders(queue_in_order).collect(),
            other_job_time: from_seconds(self.service.mean_seconds_of_kind(worker.kind)),
            queued_slots: self.queued_slots(index),
            longest_wait: first_waiting.map_or(Duration::ZERO, |job| self.now.since(job.sent)),
            queue_in_order,
            run_time: self.run_time(request, index),
        }
    }

    /// Returns the slots wanted by jobs queued at a worker. Where queues are not reported, other dispatchers
    /// are assumed to have as many jobs queued as this one, there and on average. Up to two more are assumed
    /// where this dispatcher sees a small part of the traffic.
    fn queued_slots(&self, worker: usize) -> f64 {
        let worker = &self.workers[worker];
        if is_queue_reported(self.settings) {
            return worker.queued_jobs;
        }
        let here = worker.unstarted_jobs().count() as f64;
        let mean = self.workers.queued_attempts as f64 / self.workers.ready_workers().max(1.0);
        let others = f64::from(self.settings.nodes) - 1.0;
        others * mean / 2.0
            + others.min(MAX_NODES_WITH_EQUAL_QUEUE) * here
            + MAX_UNSEEN_QUEUED_JOBS * others / (others + OTHER_NODES_AT_HALF_UNSEEN_JOBS)
    }

    /// Returns the expected wait for slots of a worker in seconds; infinite if the request never fits.
    pub(crate) fn slot_wait(&self, request: &Request, worker: usize) -> f64 {
        if self.has_capacity(worker, request.slots, 0.0) {
            return 0.0;
        }
        let start = self.forecast(request, worker).expected_start(self.now, request.slots);
        start.map_or(f64::INFINITY, |start| seconds(start.since(self.now)))
    }

    /// Returns when a request is expected to end at a worker.
    pub(crate) fn expected_end(&self, request: &Request, worker: usize) -> Time {
        self.now + from_seconds(self.slot_wait(request, worker)) + self.run_time(request, worker)
    }

    /// Returns the expected wait in seconds at a worker whose queue is not reported: the wait of the last job
    /// that started there, plus the time for own jobs in the queue.
    pub(crate) fn queue_wait(&self, index: usize) -> f64 {
        let worker = &self.workers[index];
        let longest = worker.unstarted_jobs().next().map_or(Duration::ZERO, |job| self.now.since(job.sent));
        let own = (worker.unstarted_jobs().count() as f64 + 1.0) / self.slots(index).max(1.0);
        worker.queue_wait.expected(self.now, longest)
            + own * self.service.mean_seconds() * self.service.kind_relative_to_mean(worker.kind)
    }

    /// Returns the expected delay in seconds if a worker must first fetch what the request's key needs.
    pub(crate) fn fetch_time(&self, request: &Request, worker: usize) -> f64 {
        if self.workers[worker].recent_keys.contains(request.key) {
            0.0
        } else {
            CACHE_MISS_SERVICE_TIMES * self.service.mean_seconds()
        }
    }
}
