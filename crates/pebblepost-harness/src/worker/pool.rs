//! All simulated workers of a run, and the clock that drives them.

use super::simulated::{AvailabilityChanges, ConnectionCounts, Mode, SimulatedWorker};
use crate::event_log::EventLog;
use crate::sync::lock;
use crate::workload::plan::Plan;
use crate::workload::spec::WorkerFault;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

/// The workers are advanced this often.
const TICK: Duration = Duration::from_millis(1);

/// All workers of a run.
pub struct WorkerPool {
    pub(super) plan: Arc<Plan>,
    pub(super) log: Arc<EventLog>,
    workers: Vec<Arc<SimulatedWorker>>,
    job_ids: AtomicU64,
    /// Attempts of each arrival so far: the work of each differs a little.
    attempts: Vec<AtomicUsize>,
    /// Where discovery learns of changes, later.
    changes: AvailabilityChanges,
}

impl WorkerPool {
    /// The workers of a plan, not driven yet. Their changes of availability go to `changes`.
    pub fn new(plan: Arc<Plan>, log: Arc<EventLog>, changes: AvailabilityChanges) -> Arc<Self> {
        let specs = plan.workers.iter().enumerate();
        let workers = specs
            .map(|(number, spec)| Arc::new(SimulatedWorker::new(number, spec, plan.store.fetch_s, plan.seed)))
            .collect();
        let attempts = plan.arrivals.iter().map(|_| AtomicUsize::new(0)).collect();
        Arc::new(Self { plan, log, workers, job_ids: AtomicU64::new(0), attempts, changes })
    }

    /// Connections so far.
    pub fn connection_counts(&self) -> ConnectionCounts {
        let counts = self.workers.iter().map(|worker| worker.connection_counts());
        counts.fold(ConnectionCounts::default(), ConnectionCounts::with)
    }

    /// The workers, in the order of the plan.
    pub(super) fn workers(&self) -> &[Arc<SimulatedWorker>] {
        &self.workers
    }

    /// Advances the workers and injects the plan's faults, for as long as it is polled.
    pub async fn drive(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        let mut pending: VecDeque<_> = self.plan.worker_faults.iter().copied().collect();
        // Faults that last, with the time of their end.
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
        for worker in self.workers.iter().filter(|worker| worker.mode() == Mode::Up) {
            worker.advance(now, fetch_speed, &self.log);
        }
    }

    /// An id for a job that was submitted.
    pub(super) fn next_job_id(&self) -> u64 {
        self.job_ids.fetch_add(1, Ordering::Relaxed)
    }

    /// The work of the next attempt of an arrival, in seconds at speed 1.
    pub(super) fn next_attempt_work(&self, arrival: usize) -> f64 {
        let spec = &self.plan.arrivals[arrival];
        let attempt = self.attempts[arrival].fetch_add(1, Ordering::Relaxed);
        spec.work * spec.noise[attempt % spec.noise.len()]
    }
}
