//! The simulated workers of a plan: their machines, queues and slow start.

use super::random::{PlanPart, stream};
use super::spec::{QueueOrder, RunSpec};
use rand::RngExt;
use serde::Serialize;

/// One simulated worker.
#[derive(Clone, Debug, Serialize)]
pub struct WorkerSpec {
    /// Name of the worker in discovery.
    pub host: String,
    /// Index of its zone.
    pub zone: usize,
    /// Name of its kind of machine.
    pub kind: &'static str,
    /// Number of cores.
    pub cores: u32,
    /// Number of slots: jobs of one slot that run at the same time.
    pub slots: u32,
    /// Speed of a core: its work per second, in seconds at speed 1.
    pub speed: f64,
    /// Capacity of the queue, in jobs.
    pub queue: usize,
    /// The order in which queued jobs start.
    pub order: QueueOrder,
    /// Share of the full capacity right after a restart.
    pub cold_capacity: f64,
    /// Duration of the slow start, after which the worker has its full capacity, in seconds.
    pub slow_start_s: f64,
    /// Number of affinity keys that fit in the cache.
    pub keys: usize,
    /// Interval between two load reports, in seconds.
    pub refresh_s: f64,
    /// Delay after which a load report becomes visible, in seconds.
    pub delay_s: f64,
    /// Standard deviation of the relative error of the reported free slots.
    pub noise: f64,
}

/// A kind of machine.
struct MachineKind {
    name: &'static str,
    share: f64,
    cores: u32,
    speed: (f64, f64),
}

/// The kinds of machine of the site.
const MACHINE_KINDS: [MachineKind; 3] = [
    MachineKind { name: "small-fast", share: 0.46, cores: 2, speed: (1.1, 1.5) },
    MachineKind { name: "mid-three", share: 0.2, cores: 3, speed: (0.85, 1.1) },
    MachineKind { name: "wide-five", share: 0.34, cores: 5, speed: (0.59, 0.8) },
];

/// Draws the workers. The numbers of machines of each kind follow the kinds' shares; workers that are missing by rounding get the
/// first kind.
pub(super) fn draw_workers(run_spec: &RunSpec, seed: u64, order: QueueOrder) -> Vec<WorkerSpec> {
    let mut rng = stream(seed, PlanPart::Workers);
    let count = run_spec.workers;
    let mut kinds = Vec::new();
    for kind in &MACHINE_KINDS {
        let of_kind = (kind.share * count as f64).round() as usize;
        kinds.extend(std::iter::repeat_n(kind, of_kind));
    }
    kinds.resize(count, &MACHINE_KINDS[0]);
    let mut spec = |(i, kind): (usize, &&MachineKind)| WorkerSpec {
        host: format!("w-{i:03}-{:08x}", rng.random::<u32>()),
        zone: i % 3,
        kind: kind.name,
        cores: kind.cores,
        slots: kind.cores,
        speed: rng.random_range(kind.speed.0..kind.speed.1),
        queue: (f64::from(kind.cores) * rng.random_range(8.1..15.0)) as usize,
        order,
        cold_capacity: rng.random_range(0.12..0.3),
        slow_start_s: rng.random_range(11.0..22.0),
        keys: rng.random_range(4..11),
        refresh_s: rng.random_range(0.0055..0.048),
        delay_s: rng.random_range(0.008..0.025),
        noise: rng.random_range(0.1..0.2),
    };
    kinds.iter().enumerate().map(&mut spec).collect()
}
