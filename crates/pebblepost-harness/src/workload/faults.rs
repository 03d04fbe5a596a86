//! The worker faults of a plan.

use super::random::{PlanPart, stream};
use super::spec::{RunSpec, ScheduledWorkerFault, WorkerFault};
use rand::RngExt;

/// Draws the random faults and merges them with those of the spec. The result is in the order of the times.
pub(super) fn draw_worker_faults(run_spec: &RunSpec, seed: u64) -> Vec<ScheduledWorkerFault> {
    let mut rng = stream(seed, PlanPart::WorkerFaults);
    let mut worker_faults = run_spec.worker_faults.clone();
    // The fault rate is stated for ten minutes and ten workers.
    let expected = run_spec.fault_rate * run_spec.seconds / 600.0 * run_spec.workers as f64 / 10.0;
    for kind in 0..4 {
        let count = expected.floor() + f64::from(u8::from(rng.random_bool(expected.fract())));
        for _ in 0..count as usize {
            let length = rng.random_range(8.0..28.0_f64);
            let fault = match kind {
                0 => WorkerFault::Drain(length),
                1 => WorkerFault::Silent(length),
                2 => WorkerFault::Restart(rng.random_range(0.5..3.0)),
                _ => WorkerFault::Errors { seconds: length, share: rng.random_range(0.33..0.83) },
            };
            let at = rng.random_range(0.0..run_spec.seconds * 0.9);
            worker_faults.push(ScheduledWorkerFault {
                at,
                worker: rng.random_range(0..run_spec.workers),
                fault,
            });
        }
    }
    worker_faults.sort_by(|left, right| left.at.total_cmp(&right.at));
    worker_faults
}
