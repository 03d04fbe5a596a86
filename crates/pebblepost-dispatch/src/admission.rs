//! Admission: until when a request is worth starting, and whether it is worth queueing at a worker.
//!
//! Owns no state and sends nothing: the answers are times and yes or no.

use crate::api::{DeduplicationScope, Idempotency, Time};
use crate::estimators::{TenantUsage, from_seconds, seconds};
use crate::load::{LoadModel, is_queue_reported};
use crate::request_table::Request;
use std::time::Duration;

/// Slack of a request without a hint beyond its latency target, in mean jobs of its class.
const SLACK_JOBS: f64 = 0.5;
/// Where several jobs are ahead, the expected wait counts so often: it is a guess.
const LONG_QUEUE_FACTOR: f64 = 2.0;

/// Decides on the time of requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Admission<'a> {
    pub(crate) load: LoadModel<'a>,
    pub(crate) tenants: &'a TenantUsage,
}

impl Admission<'_> {
    /// How long a request may wait and be in time: its latency target, and what the stretch leaves.
    pub(crate) fn wait_budget(&self, request: &Request) -> Duration {
        let class = &self.load.settings.classes[request.class];
        let target = seconds(class.latency_target);
        let client_wait = request.deadline.since(request.arrived);
        match request.work {
            // What its own work leaves, on a worker of usual speed.
            Some(work) => {
                let limit = (target + class.latency_stretch * work).min(seconds(client_wait));
                from_seconds(limit - work * self.load.service.fastest_seconds_per_hinted_second())
            }
            None => {
                let stretch = (class.latency_stretch - 1.0).max(0.0);
                let limit = target + SLACK_JOBS * stretch * self.load.service.of_class(request.class);
                from_seconds(limit).min(client_wait / 2)
            }
        }
    }

    /// Until when a request may start and be in time.
    pub(crate) fn on_time_until(&self, request: &Request) -> Time {
        request.arrived + self.wait_budget(request)
    }

    /// From here on it is not worth starting: late or, where late answers keep some value, half its time
    /// gone.
    pub(crate) fn latest_start(&self, request: &Request) -> Time {
        if self.late_value(request) > 0.0 {
            request.arrived + request.deadline.since(request.arrived) / 2
        } else {
            self.on_time_until(request)
        }
    }

    /// Until when an answer has full value, by the request's hint.
    pub(crate) fn full_value_until(&self, request: &Request) -> Time {
        let class = &self.load.settings.classes[request.class];
        let stretch = from_seconds(class.latency_stretch * request.work.unwrap_or(0.0));
        request.deadline.min(request.arrived + class.latency_target + stretch)
    }

    /// Fraction of its value that a late answer keeps.
    pub(crate) fn late_value(&self, request: &Request) -> f64 {
        self.load.settings.classes[request.class].late_value
    }

    /// Whether queues are judged by the waits seen there: late answers keep some value, and workers report
    /// starts but not their queues.
    pub(crate) fn judges_by_waits(&self, request: &Request) -> bool {
        let settings = self.load.settings;
        self.late_value(request) > 0.0 && settings.start_reported && !is_queue_reported(settings)
    }

    /// Whether a request would end in time at a worker, by its hint; yes without one.
    pub(crate) fn ends_in_time(&self, request: &Request, worker: usize) -> bool {
        request.work.is_none() || self.load.expected_end(request, worker) <= self.full_value_until(request)
    }

    /// Whether a request is worth queueing at a worker without free slots.
    pub(crate) fn should_queue(&self, request: &Request, worker: usize) -> bool {
        if request.work.is_some() {
            return self.ends_in_time(request, worker);
        }
        // By the waits seen; less for tenants over their share.
        if self.judges_by_waits(request) {
            let usage = self.tenants.relative_usage(request.tenant);
            return self.load.queue_wait(worker) * usage <= seconds(self.wait_budget(request));
        }
        let ahead = (self.load.busy(worker) - self.load.workers[worker].slots + 1.0).max(0.0);
        let wait = self.load.slot_wait(request, worker);
        let wait = wait * if ahead > 1.0 { LONG_QUEUE_FACTOR } else { 1.0 };
        // Where late answers keep some value, one job ahead is never too many.
        self.load.now + from_seconds(wait) <= self.on_time_until(request)
            || self.late_value(request) > 0.0 && ahead <= 1.0
    }

    /// Whether a client may send a request again without harm, should it be rejected now.
    pub(crate) fn is_retry_harmless(&self, request: &Request) -> bool {
        match self.load.settings.classes[request.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Deduplicated { scope: DeduplicationScope::All, .. } => true,
            Idempotency::Deduplicated { .. } | Idempotency::NonIdempotent => {
                request.first_run.is_none() && !request.is_in_flight()
            }
        }
    }
}
