//! What a run consists of: the fleet, the traffic and what goes wrong. A scenario is a handful of figures; a
//! [`Plan`] is what one seed makes of them, drawn in full before the run so that arrivals do not wait for answers
//! and two settings meet the same work.

use rand::{Rng, RngExt, SeedableRng};
use rand_distr::{Distribution, LogNormal, Zipf};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

/// The order in which a stand-in serves its waiting jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, clap::ValueEnum)]
#[serde(rename_all = "lowercase")]
pub enum QueueOrder {
    /// The first waits until it fits.
    Fifo,
    /// Any that fits starts.
    Backfill,
}

/// One stand-in worker.
#[derive(Clone, Debug, Serialize)]
pub struct WorkerSpec {
    /// Its name in discovery.
    pub host: String,
    /// Its building, by index.
    pub zone: usize,
    /// Its kind of machine.
    pub kind: &'static str,
    /// Cores.
    pub cores: u32,
    /// Slots for jobs in work.
    pub slots: u32,
    /// Work that a core does in a second.
    pub speed: f64,
    /// Waiting room, in jobs.
    pub queue: usize,
    /// How it serves that.
    pub order: QueueOrder,
    /// Part of its capacity with which it starts.
    pub cold_capacity: f64,
    /// Seconds until it is warm.
    pub slow_start_s: f64,
    /// Subjects whose needs it keeps.
    pub keys: usize,
    /// Seconds between two refreshes of its report, and how old a refreshed one is.
    pub refresh_s: f64,
    /// See `refresh_s`.
    pub delay_s: f64,
    /// Relative error of its reports.
    pub noise: f64,
}

/// How wrong the hints are: a factor by which each, or the share of jobs named, is too large or too small.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct HintSpec {
    /// Clients send hints at all.
    pub sent: bool,
    /// Factor of the error; 1: good hints (a tenth off).
    pub factor: f64,
    /// Share of the jobs with that error; the rest have good hints.
    pub share: f64,
}

impl Default for HintSpec {
    fn default() -> Self {
        Self { sent: true, factor: 1.0, share: 0.0 }
    }
}

/// Something that goes wrong, at that second.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ScheduledWorkerFault {
    /// When, in seconds from the start.
    pub at: f64,
    /// At which worker.
    pub worker: usize,
    /// What.
    pub what: Fault,
}

/// What goes wrong at a worker.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub enum Fault {
    /// It drains for so many seconds and hands back what has not started.
    Drain(f64),
    /// It says nothing for so many seconds, then comes back cold.
    Silent(f64),
    /// It dies with resets and starts again, cold, after so many seconds.
    Restart(f64),
    /// It fails this share of its jobs for so many seconds.
    Errors(f64, f64),
}

/// A run before its seed.
#[derive(Clone, Debug, Serialize)]
pub struct RunSpec {
    /// Seconds of arrivals.
    pub seconds: f64,
    /// Offered work as a part of what the fleet can do.
    pub load: f64,
    /// Dispatchers, which share the traffic unevenly.
    pub dispatchers: usize,
    /// Workers.
    pub workers: usize,
    /// The order of their queues; `None`: by the seed.
    pub order: Option<QueueOrder>,
    /// Mean work of a usual job, in seconds at speed 1, and its coefficient of variation.
    pub work_s: f64,
    /// See `work_s`.
    pub work_variation: f64,
    /// Share of large jobs, and by how much they exceed a usual one.
    pub large_share: f64,
    /// See `large_share`.
    pub large_multiples: (f64, f64),
    /// No job is larger: what no worker can end before the client gives up says nothing of the dispatcher.
    pub longest_work_s: f64,
    /// Shares of large jobs that take one slot, two, and four.
    pub large_slots: [f64; 3],
    /// Hints.
    pub hints: HintSpec,
    /// Share of the clients that leave before their time is up.
    pub cancel_share: f64,
    /// Faults to draw: each kind about this often in ten minutes and ten workers.
    pub faults: f64,
    /// Faults as given, beside those drawn.
    pub worker_faults: Vec<ScheduledWorkerFault>,
    /// Calls that discovery answers in a second; `None`: all at once.
    pub discovery_rate: Option<f64>,
    /// Second in which dispatchers are killed and started anew, and which part of them.
    pub mass_restart: Option<(f64, f64)>,
}

impl RunSpec {
    /// The mixed run: a fleet of the site's kinds, and large jobs of 5.2 to 29 times the usual work.
    pub fn mixed(seconds: f64, load: f64) -> Self {
        Self {
            seconds,
            load,
            dispatchers: 3,
            workers: 10,
            order: None,
            work_s: 0.3,
            work_variation: 1.0,
            large_share: 0.03,
            large_multiples: (5.2, 29.0),
            longest_work_s: 3.0,
            large_slots: [0.7, 0.3, 0.0],
            hints: HintSpec::default(),
            cancel_share: 0.0,
            faults: 1.0,
            worker_faults: Vec::new(),
            discovery_rate: None,
            mass_restart: None,
        }
    }
}

/// One client request.
#[derive(Clone, Debug, Serialize)]
pub struct Arrival {
    /// When it comes, in seconds from the start.
    pub at: f64,
    /// To which dispatcher.
    pub dispatcher: usize,
    /// Its work, in seconds at speed 1 while it holds its slots.
    pub work: f64,
    /// Slots it takes.
    pub slots: u32,
    /// It was drawn as a large one.
    pub large: bool,
    /// What the client says of its work.
    pub hint: Option<f64>,
    /// What it is about.
    pub key: u64,
    /// By how much each attempt's work differs from it.
    pub noise: [f64; 12],
    /// How often the client asks again, and how long it waits before, in seconds.
    pub retries: u32,
    /// See `retries`.
    pub backoff: f64,
    /// It leaves after so many seconds, if nothing has come by then.
    pub cancels_after_s: Option<f64>,
}

/// Time in which an answer is wanted: the site's 600 ms and twice the job's own running time.
pub fn latency_target_s(work: f64) -> f64 {
    (BASE_LATENCY_TARGET_S + LATENCY_TARGET_PER_WORK * work).min(DEADLINE_S)
}

/// The class's aim, stretch and give-up time.
pub const BASE_LATENCY_TARGET_S: f64 = 0.6;
/// See [`BASE_LATENCY_TARGET_S`].
pub const LATENCY_TARGET_PER_WORK: f64 = 2.0;
/// See [`BASE_LATENCY_TARGET_S`].
pub const DEADLINE_S: f64 = 6.0;

/// All that one seed makes of a scenario.
#[derive(Clone, Debug, Serialize)]
pub struct Plan {
    /// The seed.
    pub seed: u64,
    /// The order of the workers' queues.
    pub order: QueueOrder,
    /// The workers.
    pub workers: Vec<WorkerSpec>,
    /// The requests, in their order.
    pub arrivals: Vec<Arrival>,
    /// The faults, in their order.
    pub worker_faults: Vec<ScheduledWorkerFault>,
    /// Fetches that the shared store serves at full speed at once, and seconds that one takes.
    pub store: (f64, f64),
    /// Calls that discovery answers in a second.
    pub discovery_rate: Option<f64>,
}

struct KindSpec {
    name: &'static str,
    share: f64,
    cores: u32,
    speed: (f64, f64),
}

/// The site's kinds of machine.
const KINDS: [KindSpec; 3] = [
    KindSpec { name: "small-fast", share: 0.46, cores: 2, speed: (1.1, 1.5) },
    KindSpec { name: "mid-three", share: 0.2, cores: 3, speed: (0.85, 1.1) },
    KindSpec { name: "wide-five", share: 0.34, cores: 5, speed: (0.59, 0.8) },
];

/// Independent draws for each part, so that changing one leaves the others as they were.
fn stream(seed: u64, part: u64) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ part)
}

fn draw_workers(run_spec: &RunSpec, seed: u64, order: QueueOrder) -> Vec<WorkerSpec> {
    let mut rng = stream(seed, 1);
    let n = run_spec.workers;
    let mut kinds = Vec::new();
    for kind in &KINDS {
        let count = (kind.share * n as f64).round() as usize;
        kinds.extend(std::iter::repeat_n(kind, count));
    }
    kinds.resize(n, &KINDS[0]);
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

struct JobSizes {
    usual: LogNormal<f64>,
}

impl JobSizes {
    fn new(run_spec: &RunSpec) -> anyhow::Result<Self> {
        let variance = (1.0 + run_spec.work_variation * run_spec.work_variation).ln();
        let usual = LogNormal::new(run_spec.work_s.ln() - variance / 2.0, variance.sqrt())?;
        Ok(Self { usual })
    }

    /// Work, slots, and whether it is a large one.
    fn draw(&self, run_spec: &RunSpec, rng: &mut impl Rng) -> (f64, u32, bool) {
        let large = rng.random_bool(run_spec.large_share);
        let usual = self.usual.sample(rng).min(run_spec.longest_work_s);
        let times = rng.random_range(run_spec.large_multiples.0..=run_spec.large_multiples.1);
        let pick = rng.random_range(0.0..1.0);
        if !large {
            return (usual, 1, false);
        }
        let [one, two, _] = run_spec.large_slots;
        let slots = if pick < one {
            1
        } else if pick < one + two {
            2
        } else {
            4
        };
        ((run_spec.work_s * times).min(run_spec.longest_work_s), slots, true)
    }
}

fn draw_arrivals(run_spec: &RunSpec, seed: u64, capacity: f64) -> anyhow::Result<Vec<Arrival>> {
    let sizes = JobSizes::new(run_spec)?;
    // The rate follows from the mean of many draws: a closed form would not know the cut at the longest.
    let mut rng = stream(seed, 2);
    let sample = 20_000;
    let area: f64 =
        (0..sample).map(|_| sizes.draw(run_spec, &mut rng)).map(|(w, s, _)| w * f64::from(s)).sum();
    let rate = run_spec.load * capacity / (area / f64::from(sample));
    let shares: Vec<f64> = (0..run_spec.dispatchers).map(|i| 1.0 / (i + 1) as f64).collect();
    let total: f64 = shares.iter().sum();
    let (keys, noise) = (Zipf::new(60.0, 1.0)?, LogNormal::new(0.0, 0.2)?);
    let (mut rng, mut cancel_rng) = (stream(seed, 3), stream(seed, 7));
    let (mut at, mut arrivals) = (0.0, Vec::new());
    loop {
        at += -(1.0 - rng.random_range(0.0..1.0_f64)).ln() / rate;
        if at >= run_spec.seconds {
            return Ok(arrivals);
        }
        let (work, slots, large) = sizes.draw(run_spec, &mut rng);
        let mut pick = rng.random_range(0.0..total);
        let dispatcher = shares.iter().position(|s| {
            pick -= s;
            pick < 0.0
        });
        let wrong = rng.random_bool(run_spec.hints.share);
        let good = (0.1 * (rng.random_range(-1.0..1.0_f64) + rng.random_range(-1.0..1.0))).exp();
        let hint = work * if wrong { run_spec.hints.factor } else { good };
        let cancels_after_s =
            cancel_rng.random_bool(run_spec.cancel_share).then(|| cancel_rng.random_range(0.1..2.0));
        let mut arrival = Arrival {
            at,
            dispatcher: dispatcher.unwrap_or(0),
            work,
            slots,
            large,
            hint: run_spec.hints.sent.then_some(hint),
            key: keys.sample(&mut rng) as u64,
            noise: [1.0; 12],
            retries: rng.random_range(2..4),
            backoff: if rng.random_bool(0.5) { 0.0 } else { rng.random_range(0.03..0.24) },
            cancels_after_s,
        };
        arrival.noise.fill_with(|| noise.sample(&mut rng));
        arrivals.push(arrival);
    }
}

fn draw_worker_faults(run_spec: &RunSpec, seed: u64) -> Vec<ScheduledWorkerFault> {
    let mut rng = stream(seed, 4);
    let mut worker_faults = run_spec.worker_faults.clone();
    let expected = run_spec.faults * run_spec.seconds / 600.0 * run_spec.workers as f64 / 10.0;
    for kind in 0..4 {
        let count = expected.floor() + f64::from(u8::from(rng.random_bool(expected.fract())));
        for _ in 0..count as usize {
            let length = rng.random_range(8.0..28.0_f64);
            let what = match kind {
                0 => Fault::Drain(length),
                1 => Fault::Silent(length),
                2 => Fault::Restart(rng.random_range(0.5..3.0)),
                _ => Fault::Errors(length, rng.random_range(0.33..0.83)),
            };
            let at = rng.random_range(0.0..run_spec.seconds * 0.9);
            worker_faults.push(ScheduledWorkerFault {
                at,
                worker: rng.random_range(0..run_spec.workers),
                what,
            });
        }
    }
    worker_faults.sort_by(|a, b| a.at.total_cmp(&b.at));
    worker_faults
}

impl Plan {
    /// Draws everything.
    pub fn draw(run_spec: &RunSpec, seed: u64) -> anyhow::Result<Self> {
        let coin = if stream(seed, 6).random_bool(0.5) { QueueOrder::Fifo } else { QueueOrder::Backfill };
        let order = run_spec.order.unwrap_or(coin);
        let workers = draw_workers(run_spec, seed, order);
        let capacity = workers.iter().map(|w| f64::from(w.cores) * w.speed).sum();
        let mut rng = stream(seed, 5);
        let fetch_s = rng.random_range(0.19..0.67) * run_spec.work_s;
        let arrivals = draw_arrivals(run_spec, seed, capacity)?;
        // The store has so many times the room that a third of the jobs, which fetch, would fill.
        let fetches = arrivals.len() as f64 / run_spec.seconds / 3.0 * fetch_s;
        let store = ((fetches * rng.random_range(1.8..4.8)).max(1.0), fetch_s);
        let worker_faults = draw_worker_faults(run_spec, seed);
        let discovery_rate = run_spec.discovery_rate;
        Ok(Self { seed, order, workers, arrivals, worker_faults, store, discovery_rate })
    }
}
