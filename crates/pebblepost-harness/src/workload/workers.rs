//! The simulated workers of a plan: their machines, queues and slow start.

use super::random::{Part, stream};
use super::spec::{QueueOrder, RunSpec};
use rand::RngExt;
use serde::Serialize;

/// One simulated worker.
#[derive(Clone, Debug, Serialize)]
pub struct WorkerSpec {
    /// Its name in discovery.
    pub host: String,
    /// Its zone, by index.
    pub zone: usize,
    /// Its kind of machine.
    pub kind: &'static str,
    /// Cores.
    pub cores: u32,
    /// Jobs of one slot that run at once.
    pub slots: u32,
    /// Work that a core does in a second.
    pub speed: f64,
    /// Capacity of its queue, in jobs.
    pub queue: usize,
    /// The order of its queue.
    pub order: QueueOrder,
    /// Share of its capacity that it starts with.
    pub cold_capacity: f64,
    /// Seconds from its start until it has its full capacity.
    pub slow_start_s: f64,
    /// Affinity keys that fit in its cache.
    pub keys: usize,
    /// Seconds between two load reports.
    pub refresh_s: f64,
    /// Seconds after which a load report becomes visible.
    pub delay_s: f64,
    /// Relative error of the free slots that it reports.
    pub noise: f64,
}

/// A kind of machine.
struct KindSpec {
    name: &'static str,
    share: f64,
    cores: u32,
    speed: (f64, f64),
}

/// The kinds of machine of the site.
const KINDS: [KindSpec; 3] = [
    KindSpec { name: "small-fast", share: 0.46, cores: 2, speed: (1.1, 1.5) },
    KindSpec { name: "mid-three", share: 0.2, cores: 3, speed: (0.85, 1.1) },
    KindSpec { name: "wide-five", share: 0.34, cores: 5, speed: (0.59, 0.8) },
];

/// Draws the workers: kinds by their shares, the rest of the first kind.
pub(super) fn draw_workers(run_spec: &RunSpec, seed: u64, order: QueueOrder) -> Vec<WorkerSpec> {
    let mut rng = stream(seed, Part::Workers);
    let count = run_spec.workers;
    let mut kinds = Vec::new();
    for kind in &KINDS {
        let of_kind = (kind.share * count as f64).round() as usize;
        kinds.extend(std::iter::repeat_n(kind, of_kind));
    }
    kinds.resize(count, &KINDS[0]);
    let mut spec = |(i, kind): (usize, &&KindSpec)| WorkerSpec {
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
