//! Slow start: which load a worker that has just started may get while it warms up.
//!
//! Computes the limits for one worker at a time from its arguments. Owns no state and draws no random
//! numbers.
//!
//! All dispatchers may see the same free slot of such a worker, and the worker is overloaded by a sustained
//! multiple of its present capacity. Each dispatcher therefore uses it with a probability that leaves it its
//! even share of half of that load.

use crate::api::{Settings, Time};
use crate::estimators::seconds;

/// Slots that a warming worker may fill, as a multiple of its capacity. With fewer, some of its cores would
/// be idle.
const WARMING_SLOTS_PER_CAPACITY: f64 = 3.0;
/// Expected speed of a warming worker, as a multiple of the lowest speed that it may have.
const EXPECTED_SPEED_MULTIPLE: f64 = 1.6;
/// Fraction of the overload threshold that all dispatchers together may use.
const SAFE_LOAD_FRACTION: f64 = 0.5;
/// Fraction of that load for dispatchers of other zones. It is low because they draw the worker rarely.
const REMOTE_LOAD_FRACTION: f64 = 0.25;

/// Returns the fraction of its capacity that a worker is guaranteed to have. It grows at least linearly
/// during warm-up.
pub(crate) fn capacity_fraction(started: Option<Time>, now: Time, settings: &Settings) -> f64 {
    let warming_since = started.filter(|started| now < *started + settings.warm_up_time);
    let Some(started) = warming_since else { return 1.0 };
    settings.cold_capacity
        + (1.0 - settings.cold_capacity) * seconds(now.since(started)) / seconds(settings.warm_up_time)
}

/// Returns the number of slots that may be filled of a worker with `slots`.
pub(crate) fn usable_slots(slots: f64, capacity_fraction: f64) -> f64 {
    if capacity_fraction < 1.0 {
        (slots * (capacity_fraction * WARMING_SLOTS_PER_CAPACITY).min(1.0)).ceil().max(1.0)
    } else {
        slots
    }
}

/// Returns the expected speed of a worker as a fraction of its speed when warm.
pub(crate) fn expected_speed(capacity_fraction: f64) -> f64 {
    (EXPECTED_SPEED_MULTIPLE * capacity_fraction).min(1.0)
}

/// A worker that is warming up, and the dispatchers that may draw it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WarmingWorker {
    /// Fraction of its capacity that the worker is guaranteed to have.
    pub(crate) capacity_fraction: f64,
    /// Total slots of the worker.
    pub(crate) slots: f64,
    /// Mean service time there, in seconds.
    pub(crate) service_seconds: f64,
    /// Age that reports may have, in seconds.
    pub(crate) report_lag_seconds: f64,
    /// Whether the worker is in another zone, where crossing zones has a price.
    pub(crate) is_remote: bool,
    /// Number of ready workers in the dispatcher's own zone.
    pub(crate) local_workers: f64,
    /// Number of ready workers in other zones.
    pub(crate) remote_workers: f64,
    /// Draws per second by this dispatcher among the workers of the same locality.
    pub(crate) draws_per_second: f64,
}

impl WarmingWorker {
    /// Returns the probability with which this dispatcher may use the worker for a job of `cost` mean jobs.
    /// Returns `None` if the job must not go there, because it alone is half of what overloads the worker.
    pub(crate) fn admission_probability(&self, cost: f64, settings: &Settings) -> Option<f64> {
        // Hints are inaccurate, and many light jobs add up: no job counts as less than a mean one.
        let cost = cost.max(1.0);
        let capacity_jobs_per_second =
            self.capacity_fraction * self.slots.max(1.0) / self.service_seconds.max(f64::MIN_POSITIVE);
        let safe_jobs_per_second =
            (SAFE_LOAD_FRACTION * settings.overload_multiple * capacity_jobs_per_second)
                .max(SAFE_LOAD_FRACTION / self.report_lag_seconds);
        let workers = if self.is_remote { self.remote_workers } else { self.local_workers };
        let draws = self.draws_per_second / workers.max(1.0);
        // Dispatchers are assumed to be spread over the zones as workers are. Local ones get most of the use
        // of a worker.
        let all_dispatchers = f64::from(settings.nodes.max(1));
        let local_fraction = self.local_workers / (self.local_workers + self.remote_workers);
        let nodes = all_dispatchers * if self.is_remote { 1.0 } else { local_fraction };
        let share = match (self.remote_workers > 0.0, self.is_remote) {
            (true, true) => REMOTE_LOAD_FRACTION,
            (true, false) => 1.0 - REMOTE_LOAD_FRACTION,
            (false, _) => 1.0,
        };
        let probability = share * safe_jobs_per_second / (nodes * draws * cost).max(f64::MIN_POSITIVE);
        let is_safe = cost <= (safe_jobs_per_second * seconds(settings.overload_time) / 2.0).max(1.0);
        is_safe.then(|| probability.clamp(0.0, 1.0))
    }
}
