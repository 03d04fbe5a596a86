//! All simulated workers of a run, and the clock that advances them.

use super::simulated::{AvailabilityChanges, ConnectionCounts, ConnectionMode, SimulatedWorker};
use crate::event_log::EventLog;
use crate::sync::lock;
use crate::workload::plan::Plan;
use crate::workload::spec::WorkerFault;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

/// Interval at which the workers are advanced.
const TICK_INTERVAL: Duration = Duration::from_millis(1);

/// All simulated workers of a run.
pub struct WorkerPool {
    pub(super) plan: Arc<Plan>,
    pub(super) log: Arc<EventLog>,
    workers: Vec<Arc<SimulatedWorker>>,
    job_ids: AtomicU64,
    /// Number of attempts of each arrival so far. It selects the factor by which the work of the next attempt differs.
    attempts: Vec<AtomicUsize>,
    /// Sends changes of availability to discovery, which publishes them with a delay.
    changes: AvailabilityChanges,
}

impl WorkerPool {
    /// Creates the workers of a plan, which send changes of their availability to `changes`. They make no progress until
    /// [`Self::drive`] is polled.
    pub fn new(plan: Arc<Plan>, log: Arc<EventLog>, changes: AvailabilityChanges) -> Arc<Self> {
        let specs = plan.workers.iter().enumerate();
        let workers = specs
            .map(|(number, spec)| Arc::new(SimulatedWorker::new(number, spec, plan.store.fetch_s, plan.seed)))
            .collect();
        let attempts = plan.arrivals.iter().map(|_| AtomicUsize::new(0)).collect();
        Arc::new(Self { plan, log, workers, job_ids: AtomicU64::new(0), attempts, changes })
    }

    /// Returns the counts of the connections to all workers so far.
    pub fn connection_counts(&self) -> ConnectionCounts {
        let counts = self.workers.iter().map(|worker| worker.connection_counts());
        counts.fold(ConnectionCounts::default(), ConnectionCounts::merge)
    }

    /// Returns the workers, in the order of the plan.
    pub(super) fn workers(&self) -> &[Arc<SimulatedWorker>] {
        &self.workers
    }

    /// Advances the workers and injects the faults of the plan for as long as it is polled. It never returns.
    pub async fn drive(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        let mut pending: VecDeque<_> = self.plan.worker_faults.iter().copied().collect();
        // Active faults: the time of their end, the worker and the fault.
        let mut active: Vec<(f64, usize, WorkerFault)> = Vec::new();
        loop {
            ticks.tick().await;
            let now = self.log.now();
            while let Some(next) = pending.pop_front_if(|next| next.at <= now) {
                if let Some(worker) = self.workers.get(next.worker) {
                    worker.begin_fault(next.fault, &self.log, &self.changes);
                }
                active.push((now + next.fault.duration_s(), next.worker, next.fault));
            }
            for (_, worker, fault) in active.extract_if(.., |(ends_at, ..)| *ends_at <= now) {
                if let Some(worker) = self.workers.get(worker) {
                    worker.end_fault(fault, &self.log, &self.changes);
                }
            }
            self.advance(now);
        }
    }

    fn advance(&self, now: f64) {
        let fetching: usize = self.workers.iter().map(|worker| lock(&worker.state).model.fetching()).sum();
        let fetch_speed = (self.plan.store.full_speed_fetches / fetching.max(1) as f64).min(1.0);
        for worker in self.workers.iter().filter(|worker| worker.mode() == ConnectionMode::Up) {
            worker.advance(now, fetch_speed, &self.log);
        }
    }

    /// Returns an id for a job that is submitted, unique in the run.
    pub(super) fn next_job_id(&self) -> u64 {
        self.job_ids.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the work of the next attempt of an arrival, in seconds at speed 1.
    pub(super) fn next_attempt_work(&self, arrival: usize) -> f64 {
        let spec = &self.plan.arrivals[arrival];
        let attempt = self.attempts[arrival].fetch_add(1, Ordering::Relaxed);
        spec.work * spec.noise[attempt % spec.noise.len()]
    }
}
