//! Load of workers: what the last reports, this node's own jobs and its estimates say together.
//!
//! Owns no state: [`LoadModel`] looks at the tables of a node at one time. Jobs that a report cannot have
//! counted are added to it; a worker that warms up has less than its slots.

use crate::api::{ReportField, Settings, Time};
use crate::estimators::{from_seconds, seconds};
use crate::forecast::WorkerForecast;
use crate::report_quality::{LoadLevel, ReportAge, ReportReliability};
use crate::request_table::Request;
use crate::service_times::ServiceTimes;
use crate::slow_start;
use crate::worker_table::{OwnJob, WorkerTable};
use std::time::Duration;

/// A job whose key the worker has not kept costs so many mean jobs: its own fetching, and that of others in
/// the store.
const FETCHING_JOBS: f64 = 2.0;
/// Other nodes are taken to have jobs waiting where this node has, up to so many of them.
const MAX_NODES_ALIKE: f64 = 3.0;
/// Most unseen jobs of others that wait at a worker, and the number of nodes for half of them.
const UNSEEN_JOBS: f64 = 2.0;
const NODES_FOR_HALF_UNSEEN: f64 = 10.0;

/// Whether workers report how many jobs wait.
pub(crate) fn is_queue_reported(settings: &Settings) -> bool {
    let reported = |field| settings.report_fields.contains(&field);
    reported(ReportField::Queue) || reported(ReportField::InFlight)
}

/// What a node expects of its workers at one time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadModel<'a> {
    pub(crate) now: Time,
    pub(crate) settings: &'a Settings,
    pub(crate) workers: &'a WorkerTable,
    pub(crate) service: &'a ServiceTimes,
    pub(crate) report_age: &'a ReportAge,
    pub(crate) report_reliability: &'a ReportReliability,
    /// Mean busy slots and waiting jobs of a worker.
    pub(crate) mean_busy: f64,
}

impl LoadModel<'_> {
    /// Free slots by the report, less what it cannot have counted; never more than own jobs leave.
    pub(crate) fn free_slots(&self, worker: usize) -> f64 {
        let worker = &self.workers[worker];
        let own: f64 = worker.slot_holders(self.settings.queues_in_order).map(|holder| holder.slots).sum();
        let unreported = worker.unreported_load(self.report_age.lag());
        (worker.free_slots - unreported.slots).min(worker.slots - own)
    }

    /// Busy slots and waiting jobs.
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

    /// Jobs at a worker, by its last report.
    pub(crate) fn reported_jobs(&self, worker: usize) -> f64 {
        let worker = &self.workers[worker];
        if worker.jobs > 0.0 { worker.jobs } else { worker.slots - worker.free_slots + worker.queued_jobs }
    }

    /// Load by the report, as a level.
    pub(crate) fn level(&self, worker: usize) -> LoadLevel {
        LoadLevel::new(self.workers[worker].queued_jobs, self.free_slots(worker))
    }

    /// Fraction of its capacity that a worker surely has.
    pub(crate) fn capacity_fraction(&self, worker: usize) -> f64 {
        slow_start::capacity_fraction(self.workers[worker].started, self.now, self.settings)
    }

    /// Whether a worker has warmed up.
    pub(crate) fn is_warm(&self, worker: usize) -> bool {
        self.capacity_fraction(worker) >= 1.0
    }

    /// Slots of a worker or, as one that has just started may never have been seen free, of its kind.
    pub(crate) fn slots(&self, worker: usize) -> f64 {
        let worker = &self.workers[worker];
        self.service.kind(worker.kind).map_or(worker.slots, |kind| kind.slots.max(worker.slots))
    }

    /// Slots that a worker may fill now.
    pub(crate) fn usable_slots(&self, worker: usize) -> f64 {
        slow_start::usable_slots(self.slots(worker), self.capacity_fraction(worker))
    }

    /// Whether a worker is known to have fewer slots than a job needs.
    pub(crate) fn is_too_small(&self, worker: usize, slots: f64) -> bool {
        self.workers[worker].is_known() && self.slots(worker) < slots
    }

    /// Whether a job of so many slots and memory units would start at once.
    pub(crate) fn has_capacity(&self, index: usize, slots: f64, memory: f64) -> bool {
        let worker = &self.workers[index];
        let kept_free = (self.slots(index) - self.usable_slots(index)).max(0.0);
        self.free_slots(index) - kept_free >= slots
            && worker.queued_jobs < 1.0
            && (worker.memory <= 0.0 || worker.free_memory >= memory)
    }

    /// Reports are stale if a worker may have filled or emptied a slot since.
    pub(crate) fn is_stale(&self, worker: usize) -> bool {
        seconds(self.report_age.get()) * self.workers[worker].slots.max(1.0) > self.service.mean()
    }

    /// Whether the reports of a worker are stale and mislead.
    pub(crate) fn is_misleading(&self, worker: usize) -> bool {
        self.is_stale(worker) && self.report_reliability.misleads()
    }

    /// How long a request would run at a worker: by its hint, at the pace learned for the kind, slower while
    /// it warms up.
    pub(crate) fn run_time(&self, request: &Request, worker: usize) -> Duration {
        let kind = self.workers[worker].kind;
        let Some(work) = request.work else { return from_seconds(self.service.on_kind(kind)) };
        let speed = slow_start::expected_speed(self.capacity_fraction(worker));
        from_seconds(work * self.service.seconds_per_hinted_second(kind) / speed)
    }

    /// What to expect of a worker for a request.
    pub(crate) fn forecast(&self, request: &Request, index: usize) -> WorkerForecast {
        let worker = &self.workers[index];
        let queue_in_order = self.settings.queues_in_order;
        let slots = self.usable_slots(index);
        let is_passed = |job: &&OwnJob| job.started || job.slots > 1.0 && !queue_in_order;
        let first_waiting = worker.own_jobs.iter().find(|job| !is_passed(job));
        let first_waiting = first_waiting.filter(|_| self.settings.start_reported);
        WorkerForecast {
            worker: index,
            slots,
            free_slots: self.free_slots(index) - (self.slots(index) - slots).max(0.0),
            own_jobs: worker.slot_holders(queue_in_order).collect(),
            other_job_time: from_seconds(self.service.on_kind(worker.kind)),
            queued_slots: self.queued_slots(index),
            longest_wait: first_waiting.map_or(Duration::ZERO, |job| self.now.since(job.sent)),
            queue_in_order,
            run_time: self.run_time(request, index),
        }
    }

    /// Slots wanted by jobs that wait at a worker. Where that is not reported, others are taken to wait
    /// there as this node does here and in the mean, and two more where it sees a small part of the traffic.
    fn queued_slots(&self, worker: usize) -> f64 {
        let worker = &self.workers[worker];
        if is_queue_reported(self.settings) {
            return worker.queued_jobs;
        }
        let here = worker.unstarted_jobs().count() as f64;
        let mean = self.workers.queued_attempts as f64 / self.workers.ready_workers().max(1.0);
        let others = f64::from(self.settings.nodes) - 1.0;
        others * mean / 2.0
            + others.min(MAX_NODES_ALIKE) * here
            + UNSEEN_JOBS * others / (others + NODES_FOR_HALF_UNSEEN)
    }

    /// How long a request would wait at a worker for its slots, in seconds; infinite if it never gets them.
    pub(crate) fn slot_wait(&self, request: &Request, worker: usize) -> f64 {
        if self.has_capacity(worker, request.slots, 0.0) {
            return 0.0;
        }
        let start = self.forecast(request, worker).expected_start(self.now, request.slots);
        start.map_or(f64::INFINITY, |start| seconds(start.since(self.now)))
    }

    /// When a request is expected to end at a worker.
    pub(crate) fn expected_end(&self, request: &Request, worker: usize) -> Time {
        self.now + from_seconds(self.slot_wait(request, worker)) + self.run_time(request, worker)
    }

    /// How long a job would wait at a worker whose queue is not reported, in seconds: as those that started
    /// of late, and for own ones.
    pub(crate) fn queue_wait(&self, index: usize) -> f64 {
        let worker = &self.workers[index];
        let longest = worker.unstarted_jobs().next().map_or(Duration::ZERO, |job| self.now.since(job.sent));
        let own = (worker.unstarted_jobs().count() as f64 + 1.0) / self.slots(index).max(1.0);
        worker.queue_wait.expected(self.now, longest)
            + own * self.service.mean() * self.service.relative_to_mean(worker.kind)
    }

    /// Time lost, in seconds, if a worker must fetch what a request is about.
    pub(crate) fn fetch_time(&self, request: &Request, worker: usize) -> f64 {
        if self.workers[worker].recent_keys.contains(request.key) {
            0.0
        } else {
            FETCHING_JOBS * self.service.mean()
        }
    }
}
