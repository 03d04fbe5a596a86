//! The complete plan of a run.

use super::arrivals::{Arrival, draw_arrivals};
use super::error::PlanError;
use super::faults::draw_worker_faults;
use super::random::{PlanPart, stream};
use super::spec::{QueueOrder, RunSpec, ScheduledWorkerFault};
use super::workers::{WorkerSpec, draw_workers};
use rand::RngExt;
use serde::Serialize;

/// The shared store that workers fetch data from.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct SharedStore {
    /// Number of concurrent fetches that it serves at full speed. More fetches share this throughput.
    pub full_speed_fetches: f64,
    /// Duration of a fetch at full speed, in seconds.
    pub fetch_s: f64,
}

/// Everything that is drawn from a [`RunSpec`] by one seed.
#[derive(Clone, Debug, Serialize)]
pub struct Plan {
    /// The seed.
    pub seed: u64,
    /// The order of the workers' queues.
    pub order: QueueOrder,
    /// The workers.
    pub workers: Vec<WorkerSpec>,
    /// The requests, in the order of their times.
    pub arrivals: Vec<Arrival>,
    /// The faults, in the order of their times.
    pub worker_faults: Vec<ScheduledWorkerFault>,
    /// The store that the workers share.
    pub store: SharedStore,
    /// Maximum number of calls that discovery answers per second; `None` if unlimited.
    pub discovery_rate: Option<f64>,
}

impl Plan {
    /// Draws a plan. The same spec and seed give the same plan.
    ///
    /// # Errors
    ///
    /// Returns an error if the spec does not describe a distribution of job sizes.
    pub fn draw(run_spec: &RunSpec, seed: u64) -> Result<Self, PlanError> {
        let drawn_order = if stream(seed, PlanPart::QueueOrder).random_bool(0.5) {
            QueueOrder::Fifo
        } else {
            QueueOrder::Backfill
        };
        let order = run_spec.order.unwrap_or(drawn_order);
        let workers = draw_workers(run_spec, seed, order);
        let capacity = workers.iter().map(|worker| f64::from(worker.cores) * worker.speed).sum();
        let mut rng = stream(seed, PlanPart::SharedStore);
        let fetch_s = rng.random_range(0.19..0.67) * run_spec.work_s;
        let arrivals = draw_arrivals(run_spec, seed, capacity)?;
        // A third of the jobs is expected to fetch. The store has 1.8 to 4.8 times the capacity that these fetches need.
        let fetches = arrivals.len() as f64 / run_spec.seconds / 3.0 * fetch_s;
        let full_speed_fetches = (fetches * rng.random_range(1.8..4.8)).max(1.0);
        let store = SharedStore { full_speed_fetches, fetch_s };
        let worker_faults = draw_worker_faults(run_spec, seed);
        let discovery_rate = run_spec.discovery_rate;
        Ok(Self { seed, order, workers, arrivals, worker_faults, store, discovery_rate })
    }
}
