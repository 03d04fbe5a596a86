//! Moving estimates of what a dispatcher observes: rates, durations, properties of machine kinds, queue waits
//! and tenants' use of their quota shares.
//!
//! Owns only the estimates and never reads a clock. Times are on the caller's clock, values in seconds.

use crate::api::Time;
use std::time::Duration;

/// Weight of a new observation in most moving averages: about the last 20 observations count.
pub const EWMA_GAIN: f64 = 0.05;

/// Converts a duration to seconds.
pub fn seconds(duration: Duration) -> f64 {
    duration.as_secs_f64()
}

/// Converts seconds to a duration: zero if negative, `Duration::MAX` if out of range.
pub fn from_seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(Duration::MAX)
}

/// Adds an observation to an exponentially weighted moving average.
pub fn update_mean(mean: &mut f64, observed: f64, gain: f64) {
    *mean += gain * (observed - *mean);
}

/// Exponentially decaying rate of events.
#[derive(Clone, Copy, Debug)]
pub struct EventRate {
    /// Events per second.
    pub per_second: f64,
    last: Time,
}

impl EventRate {
    /// Creates a rate without events. The first gap counts from `now`.
    pub fn new(now: Time) -> Self {
        Self { per_second: 0.0, last: now }
    }

    /// Records an event. The rate covers about the last `window_seconds`. Gaps shorter than `tick` count as
    /// one `tick`.
    pub fn record(&mut self, now: Time, window_seconds: f64, tick: Duration) {
        let gap = seconds(now.since(self.last)).max(seconds(tick));
        let keep = (-gap / window_seconds).exp();
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
    /// Distance of the upper bound from the mean, in mean deviations.
    const UPPER_BOUND_DEVIATIONS: f64 = 4.0;

    /// Records an observation in seconds.
    pub fn record(&mut self, observed: f64) {
        let deviation = (observed - self.mean).abs();
        update_mean(&mut self.mean, observed, EWMA_GAIN);
        update_mean(&mut self.deviation, deviation, EWMA_GAIN);
    }

    /// Returns a duration that few observations exceed.
    pub fn upper_bound(&self) -> Duration {
        from_seconds(self.mean + Self::UPPER_BOUND_DEVIATIONS * self.deviation)
    }
}

/// Learned properties of the machines of one kind.
#[derive(Clone, Copy, Debug)]
pub struct KindEstimate {
    /// Mean over the workers of the kind of the highest number of slots reported free.
    pub slots: f64,
    /// Service time of jobs without a hint, as a multiple of the mean over all kinds.
    pub relative_service_time: f64,
    /// Mean run time and mean hint of hinted jobs, in seconds. The ratio of the means is used because the
    /// mean of the ratios would overestimate short jobs: the time to fetch what a job needs does not grow
    /// with its work.
    run_time: f64,
    hint: f64,
}

impl KindEstimate {
    /// Weight of a hinted job. It is high because a dispatcher of a large fleet sees few jobs of each kind.
    const HINT_GAIN: f64 = 0.2;

    /// Creates the estimate of a kind from the slots of its first worker.
    pub fn new(slots: f64) -> Self {
        Self { slots, relative_service_time: 1.0, run_time: 1.0, hint: 1.0 }
    }

    /// Records that a job hinted to take `hint` seconds took `run_time`.
    pub fn record_hinted_run(&mut self, run_time: Duration, hint: f64) {
        update_mean(&mut self.run_time, seconds(run_time), Self::HINT_GAIN);
        update_mean(&mut self.hint, hint, Self::HINT_GAIN);
    }

    /// Returns the run time, in seconds, of one second of hinted work.
    pub fn seconds_per_hinted_second(&self) -> f64 {
        self.run_time / self.hint
    }
}

/// Wait at a worker whose queue length is not reported, estimated from the last start seen there.
#[derive(Clone, Copy, Debug, Default)]
pub struct QueueWait {
    observed_at: Time,
    last_wait: f64,
}

impl QueueWait {
    /// Records that a job started after waiting for `waited`.
    pub fn record_start(&mut self, now: Time, waited: Duration) {
        (self.observed_at, self.last_wait) = (now, seconds(waited));
    }

    /// Returns the seconds that the next job would wait, without the jobs sent by this dispatcher since. The
    /// last observed wait decays with its age. The result is at least `longest_waiting`, the time that the
    /// first job in the queue has waited already.
    pub fn expected(&self, now: Time, longest_waiting: Duration) -> f64 {
        (self.last_wait * (-seconds(now.since(self.observed_at))).exp()).max(seconds(longest_waiting))
    }
}

#[derive(Clone, Copy, Debug)]
struct TenantShare {
    /// Agreed fraction of the service.
    agreed: f64,
    /// Fraction of the recent requests.
    used: f64,
}

/// Use of a dispatcher by its tenants relative to their quota shares.
#[derive(Clone, Debug)]
pub struct TenantUsage {
    tenants: Vec<TenantShare>,
}

impl TenantUsage {
    /// Weight of a request: about the last hundred requests count.
    const GAIN: f64 = 0.01;

    /// Creates the usage from the agreed shares. Each tenant starts as if it used exactly its share.
    pub fn new(agreed: impl Iterator<Item = f64>) -> Self {
        Self { tenants: agreed.map(|share| TenantShare { agreed: share, used: share }).collect() }
    }

    /// Records a request of a tenant.
    pub fn record(&mut self, tenant: usize) {
        for (i, share) in self.tenants.iter_mut().enumerate() {
            update_mean(&mut share.used, f64::from(u8::from(i == tenant)), Self::GAIN);
        }
    }

    /// Returns the use of a tenant as a multiple of its share, or 1 if no share was agreed.
    pub fn relative_usage(&self, tenant: usize) -> f64 {
        let share = self.tenants.get(tenant).filter(|share| share.agreed > 0.0);
        share.map_or(1.0, |share| share.used / share.agreed)
    }
}
