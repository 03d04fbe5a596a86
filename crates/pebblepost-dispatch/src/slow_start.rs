//! Slow start: what a worker that has just started may get while it warms up.
//!
//! Owns the arithmetic of warming up; decides for one worker at a time, by what is handed in, and draws no
//! random numbers.
//!
//! All nodes may see the same free slot of such a worker, and it falls over under a multiple of its present
//! capacity that lasts: each node takes part with the probability that leaves it its even share of half of
//! that.

use crate::api::{Settings, Time};
use crate::estimators::seconds;

/// Slots that a warming worker may fill, as a multiple of its capacity: with fewer, some of its cores would
/// stand idle.
const SLOTS_PER_CAPACITY: f64 = 3.0;
/// Expected speed of a warming worker, as a multiple of the least that it may have.
const EXPECTED_SPEED: f64 = 1.6;
/// Fraction of the load under which a worker falls over that all nodes together may cause.
const SAFE_LOAD: f64 = 0.5;
/// Fraction of that for nodes of other zones: they draw seldom.
const REMOTE_FRACTION: f64 = 0.25;

/// Fraction of its capacity that a worker surely has: it grows at least evenly while it warms up.
pub(crate) fn capacity_fraction(started: Option<Time>, now: Time, settings: &Settings) -> f64 {
    let warming_since = started.filter(|started| now < *started + settings.warm_up_time);
    let Some(started) = warming_since else { return 1.0 };
    settings.cold_capacity
        + (1.0 - settings.cold_capacity) * seconds(now.since(started)) / seconds(settings.warm_up_time)
}

/// Slots that a worker of so many may fill.
pub(crate) fn usable_slots(slots: f64, capacity_fraction: f64) -> f64 {
    if capacity_fraction < 1.0 {
        (slots * (capacity_fraction * SLOTS_PER_CAPACITY).min(1.0)).ceil().max(1.0)
    } else {
        slots
    }
}

/// Expected speed of a worker, as a fraction of its speed when warm.
pub(crate) fn expected_speed(capacity_fraction: f64) -> f64 {
    (EXPECTED_SPEED * capacity_fraction).min(1.0)
}

/// A worker that warms up, and the nodes that may draw it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WarmingWorker {
    /// Fraction of its capacity that it surely has.
    pub(crate) capacity_fraction: f64,
    /// All its slots.
    pub(crate) slots: f64,
    /// Mean service time there, in seconds.
    pub(crate) service_seconds: f64,
    /// Age that reports may have, in seconds.
    pub(crate) report_lag_seconds: f64,
    /// Whether it is in another zone, where crossing zones is priced.
    pub(crate) is_remote: bool,
    /// Ready workers in the node's own zone.
    pub(crate) local_workers: f64,
    /// Ready workers in other zones.
    pub(crate) remote_workers: f64,
    /// This node's draws a second on its side of the fleet.
    pub(crate) draws_per_second: f64,
}

impl WarmingWorker {
    /// Probability with which this node may use the worker for a job of `cost` mean jobs. `None`: never, as
    /// the job alone is half of what pushes it over.
    pub(crate) fn admission_probability(&self, cost: f64, settings: &Settings) -> Option<f64> {
        // Hints are rough, and many light jobs press as well: none counts as less than a mean one.
        let cost = cost.max(1.0);
        let rate = self.capacity_fraction * self.slots.max(1.0) / self.service_seconds.max(f64::MIN_POSITIVE);
        let budget = (SAFE_LOAD * settings.overload_multiple * rate).max(SAFE_LOAD / self.report_lag_seconds);
        let workers = if self.is_remote { self.remote_workers } else { self.local_workers };
        let draws = self.draws_per_second / workers.max(1.0);
        // Nodes stand where workers stand; local ones have most of the use of a worker.
        let all_nodes = f64::from(settings.nodes.max(1));
        let local_part = self.local_workers / (self.local_workers + self.remote_workers);
        let nodes = all_nodes * if self.is_remote { 1.0 } else { local_part };
        let share = match (self.remote_workers > 0.0, self.is_remote) {
            (true, true) => REMOTE_FRACTION,
            (true, false) => 1.0 - REMOTE_FRACTION,
            (false, _) => 1.0,
        };
        let probability = share * budget / (nodes * draws * cost).max(f64::MIN_POSITIVE);
        let fits = cost <= (budget * seconds(settings.overload_time) / 2.0).max(1.0);
        fits.then(|| probability.clamp(0.0, 1.0))
    }
}
