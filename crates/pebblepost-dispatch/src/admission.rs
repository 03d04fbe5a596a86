//! Admission: until when a request is worth starting, and whether it is worth queueing at a worker.
//!
//! Owns no state and sends nothing.

use crate::api::{DeduplicationScope, Idempotency, Time};
use crate::estimators::{TenantUsage, from_seconds, seconds};
use crate::load::{LoadModel, is_queue_reported};
use crate::request_table::Request;
use std::time::Duration;

/// Slack of a request without a hint beyond its latency target, in mean service times of its class.
const SLACK_SERVICE_TIMES: f64 = 0.5;
/// Factor on the expected wait where several jobs are ahead, because the estimate is rough.
const LONG_QUEUE_WAIT_FACTOR: f64 = 2.0;

/// View of a dispatcher's state that decides on the time limits of requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Admission<'a> {
    pub(crate) load: LoadModel<'a>,
    pub(crate) tenants: &'a TenantUsage,
}

impl Admission<'_> {
    /// Returns how long a request may wait and still be in time, given its latency target and the stretch.
    pub(crate) fn wait_budget(&self, request: &Request) -> Duration {
        let class = &self.load.settings.classes[request.class];
        let target = seconds(class.latency_target);
        let client_wait = request.deadline.since(request.arrived);
        match request.work {
            // The limit less the request's own run time on the fastest machine kind.
            Some(work) => {
                let limit = (target + class.latency_stretch * work).min(seconds(client_wait));
                from_seconds(limit - work * self.load.service.fastest_seconds_per_hinted_second())
            }
            None => {
                let stretch = (class.latency_stretch - 1.0).max(0.0);
                let limit = target
                    + SLACK_SERVICE_TIMES * stretch * self.load.service.mean_seconds_of_class(request.class);
                from_seconds(limit).min(client_wait / 2)
            }
        }
    }

    /// Returns until when a request may start and still be in time.
    pub(crate) fn on_time_until(&self, request: &Request) -> Time {
        request.arrived + self.wait_budget(request)
    }

    /// Returns the time from which on a request is not worth starting: when it would be late or, where late
    /// answers keep some value, when half of its time has passed.
    pub(crate) fn latest_start(&self, request: &Request) -> Time {
        if self.late_value(request) > 0.0 {
            request.arrived + request.deadline.since(request.arrived) / 2
        } else {
            self.on_time_until(request)
        }
    }

    /// Returns until when an answer has full value, by the request's hint.
    pub(crate) fn full_value_until(&self, request: &Request) -> Time {
        let class = &self.load.settings.classes[request.class];
        let stretch = from_seconds(class.latency_stretch * request.work.unwrap_or(0.0));
        request.deadline.min(request.arrived + class.latency_target + stretch)
    }

    /// Returns the fraction of its value that a late answer keeps.
    pub(crate) fn late_value(&self, request: &Request) -> f64 {
        self.load.settings.classes[request.class].late_value
    }

    /// Returns whether queues are judged by observed waits: late answers keep some value, and workers report
    /// starts but not their queues.
    pub(crate) fn uses_observed_waits(&self, request: &Request) -> bool {
        let settings = self.load.settings;
        self.late_value(request) > 0.0 && settings.start_reported && !is_queue_reported(settings)
    }

    /// Returns whether a request would end in time at a worker, by its hint; true without a hint.
    pub(crate) fn ends_in_time(&self, request: &Request, worker: usize) -> bool {
        request.work.is_none() || self.load.expected_end(request, worker) <= self.full_value_until(request)
    }

    /// Returns whether a request is worth queueing at a worker without free slots.
    pub(crate) fn should_queue(&self, request: &Request, worker: usize) -> bool {
        if request.work.is_some() {
            return self.ends_in_time(request, worker);
        }
        // Judged by observed waits; tenants over their quota share get a lower limit.
        if self.uses_observed_waits(request) {
            let usage = self.tenants.relative_usage(request.tenant);
            return self.load.queue_wait(worker) * usage <= seconds(self.wait_budget(request));
        }
        let ahead = (self.load.busy(worker) - self.load.workers[worker].slots + 1.0).max(0.0);
        let wait = self.load.slot_wait(request, worker);
        let wait = wait * if ahead > 1.0 { LONG_QUEUE_WAIT_FACTOR } else { 1.0 };
        // Where late answers keep some value, one job ahead is always acceptable.
        self.load.now + from_seconds(wait) <= self.on_time_until(request)
            || self.late_value(request) > 0.0 && ahead <= 1.0
    }

    /// Returns whether a client may safely send a request again if it is rejected now.
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
