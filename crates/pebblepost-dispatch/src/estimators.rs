//! Running estimates of what a node observes: rates, durations, properties of machine kinds, queue waits and
//! the use that tenants make of their quota shares.
//!
//! Owns nothing but the estimates and never reads a clock. Times are on the caller's clock, figures in
//! seconds.

use crate::api::Time;
use std::time::Duration;

/// Weight of a new observation in most moving averages: about the last 20 count.
pub const EWMA_GAIN: f64 = 0.05;

/// A duration in seconds.
pub fn seconds(duration: Duration) -> f64 {
    duration.as_secs_f64()
}

/// The duration of so many seconds; zero if negative, the longest if out of range.
pub fn from_seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(Duration::MAX)
}

/// Takes an observation into an exponentially weighted moving average.
pub fn update_mean(mean: &mut f64, observed: f64, gain: f64) {
    *mean += gain * (observed - *mean);
}

/// Events a second, decaying exponentially.
#[derive(Clone, Copy, Debug)]
pub struct EventRate {
    /// Events a second.
    pub per_second: f64,
    last: Time,
}

impl EventRate {
    /// No event so far; the first gap counts from `now`.
    pub fn new(now: Time) -> Self {
        Self { per_second: 0.0, last: now }
    }

    /// Takes in an event. The rate covers about the last `memory_seconds`; no two events are told apart by
    /// less than `tick`.
    pub fn record(&mut self, now: Time, memory_seconds: f64, tick: Duration) {
        let gap = seconds(now.since(self.last)).max(seconds(tick));
        let keep = (-gap / memory_seconds).exp();
        self.per_second = self.per_second * keep + (1.0 - keep) / gap;
        self.last = now;
    }
}

/// Mean and mean deviation of a duration, as in the retransmission time-out of TCP (RFC 6298).
#[derive(Clone, Copy, Debug)]
pub struct DurationEstimate {
    /// Mean, in seconds.
    pub mean: f64,
    /// Mean absolute deviation, in seconds.
    pub deviation: f64,
}

impl DurationEstimate {
    /// Deviations above the mean that few observations exceed.
    const BOUND_DEVIATIONS: f64 = 4.0;

    /// Takes in an observation, in seconds.
    pub fn record(&mut self, observed: f64) {
        let deviation = (observed - self.mean).abs();
        update_mean(&mut self.mean, observed, EWMA_GAIN);
        update_mean(&mut self.deviation, deviation, EWMA_GAIN);
    }

    /// A duration that few observations exceed.
    pub fn upper_bound(&self) -> Duration {
        from_seconds(self.mean + Self::BOUND_DEVIATIONS * self.deviation)
    }
}

/// Properties of the machines of one kind, as learned by this node.
#[derive(Clone, Copy, Debug)]
pub struct KindEstimate {
    /// Slots: mean of the most slots seen free at each worker of the kind.
    pub slots: f64,
    /// Service time of jobs without a hint, as a multiple of the mean over all kinds.
    pub relative_service_time: f64,
    /// Mean run time and mean hint of hinted jobs, in seconds. The mean of their ratios would overrate short
    /// jobs: what a job has to fetch does not grow with its work.
    run_time: f64,
    hint: f64,
}

impl KindEstimate {
    /// Weight of a hinted job: a node of a large fleet sees few of each kind.
    const HINT_GAIN: f64 = 0.2;

    /// A kind of which one worker has been seen with so many free slots.
    pub fn new(slots: f64) -> Self {
        Self { slots, relative_service_time: 1.0, run_time: 1.0, hint: 1.0 }
    }

    /// A job hinted to take `hint` seconds took `run_time`.
    pub fn record_hinted_run(&mut self, run_time: Duration, hint: f64) {
        update_mean(&mut self.run_time, seconds(run_time), Self::HINT_GAIN);
        update_mean(&mut self.hint, hint, Self::HINT_GAIN);
    }

    /// Run time of one second of hinted work, in seconds.
    pub fn seconds_per_hinted_second(&self) -> f64 {
        self.run_time / self.hint
    }
}

/// Waiting time at a worker whose queue length is not reported, by the last start seen there.
#[derive(Clone, Copy, Debug, Default)]
pub struct QueueWait {
    observed_at: Time,
    waited: f64,
}

impl QueueWait {
    /// A job started that had been sent so long ago.
    pub fn record_start(&mut self, now: Time, waited: Duration) {
        (self.observed_at, self.waited) = (now, seconds(waited));
    }

    /// Seconds that the next job would wait, without what this node has sent since. The last wait counts for
    /// less as it ages; nobody waits for less than the longest that is still waiting.
    pub fn expected(&self, now: Time, longest_waiting: Duration) -> f64 {
        (self.waited * (-seconds(now.since(self.observed_at))).exp()).max(seconds(longest_waiting))
    }
}

#[derive(Clone, Copy, Debug)]
struct TenantShare {
    /// Agreed fraction of the service.
    agreed: f64,
    /// Fraction of the recent requests.
    used: f64,
}

/// Use that tenants make of a node, against their quota shares.
#[derive(Clone, Debug)]
pub struct TenantUsage {
    tenants: Vec<TenantShare>,
}

impl TenantUsage {
    /// Weight of a request: about the last hundred count.
    const GAIN: f64 = 0.01;

    /// Shares as they were agreed; each tenant starts as one that uses just its share.
    pub fn new(agreed: impl Iterator<Item = f64>) -> Self {
        Self { tenants: agreed.map(|share| TenantShare { agreed: share, used: share }).collect() }
    }

    /// Takes in a request of a tenant.
    pub fn record(&mut self, tenant: usize) {
        for (i, share) in self.tenants.iter_mut().enumerate() {
            update_mean(&mut share.used, f64::from(u8::from(i == tenant)), Self::GAIN);
        }
    }

    /// Use of a tenant as a multiple of its share; 1 where none was agreed.
    pub fn relative_usage(&self, tenant: usize) -> f64 {
        let share = self.tenants.get(tenant).filter(|share| share.agreed > 0.0);
        share.map_or(1.0, |share| share.used / share.agreed)
    }
}
