//! The requests of a plan: a Poisson process of jobs whose sizes are drawn by the spec.

use super::error::PlanError;
use super::random::{PlanPart, stream};
use super::spec::RunSpec;
use rand::{Rng, RngExt};
use rand_distr::{Distribution, LogNormal, Zipf};
use serde::Serialize;

/// Number of job sizes that are drawn to estimate their mean.
const JOB_SIZE_SAMPLES: u32 = 20_000;
/// Number of distinct affinity keys.
const AFFINITY_KEYS: f64 = 60.0;
/// Standard deviation of the logarithm of the factor by which the work of an attempt differs from the job's work.
const ATTEMPT_WORK_LOG_STD_DEV: f64 = 0.2;

/// One client request.
#[derive(Clone, Debug, Serialize)]
pub struct Arrival {
    /// Time of the arrival, in seconds since the start of the run.
    pub at: f64,
    /// Index of the dispatcher.
    pub dispatcher: usize,
    /// Work of the job, in seconds at speed 1 during which it holds its slots.
    pub work: f64,
    /// Number of slots that the job takes.
    pub slots: u32,
    /// Whether it was drawn as a large job.
    pub large: bool,
    /// The client's estimate of the work, in seconds; `None` if the client gives none.
    pub hint: Option<f64>,
    /// Affinity key; 0 if it has none.
    pub key: u64,
    /// Factors that the work is multiplied with, one for each attempt at a worker. They are reused from the start if there are
    /// more attempts.
    pub noise: [f64; 12],
    /// Maximum number of retries by the client.
    pub retries: u32,
    /// Pause before a retry, in seconds.
    pub backoff: f64,
    /// Time after which the client disconnects if it has no answer, in seconds; `None` if it waits until its deadline.
    pub cancels_after_s: Option<f64>,
}

/// The capacity that one job takes.
struct JobSize {
    work: f64,
    slots: u32,
    large: bool,
}

/// The distribution of job sizes.
struct JobSizes<'spec> {
    spec: &'spec RunSpec,
    usual: LogNormal<f64>,
}

impl<'spec> JobSizes<'spec> {
    fn new(spec: &'spec RunSpec) -> Result<Self, PlanError> {
        let variance = (1.0 + spec.work_variation * spec.work_variation).ln();
        let usual = LogNormal::new(spec.work_s.ln() - variance / 2.0, variance.sqrt())?;
        Ok(Self { spec, usual })
    }

    /// Draws the size of one job. Every job draws the same number of random values, so that the share of large jobs does not
    /// affect other draws.
    fn draw(&self, rng: &mut impl Rng) -> JobSize {
        let spec = self.spec;
        let large = rng.random_bool(spec.large_share);
        let usual = self.usual.sample(rng).min(spec.longest_work_s);
        let multiple = rng.random_range(spec.large_multiples.0..=spec.large_multiples.1);
        let pick = rng.random_range(0.0..1.0);
        if !large {
            return JobSize { work: usual, slots: 1, large };
        }
        let [one, two, _] = spec.large_slots;
        let slots = if pick < one {
            1
        } else if pick < one + two {
            2
        } else {
            4
        };
        JobSize { work: (spec.work_s * multiple).min(spec.longest_work_s), slots, large }
    }

    /// Returns the mean product of work and slots. It is estimated from a sample, as a closed form would not account for the limit
    /// on the longest job.
    fn mean_area(&self, seed: u64) -> f64 {
        let mut rng = stream(seed, PlanPart::JobSizeSample);
        let sizes = (0..JOB_SIZE_SAMPLES).map(|_| self.draw(&mut rng));
        let area: f64 = sizes.map(|size| size.work * f64::from(size.slots)).sum();
        area / f64::from(JOB_SIZE_SAMPLES)
    }
}

/// The shares of the dispatchers in the traffic. They are uneven: dispatcher `n`, counted from 1, gets a share in proportion to
/// `1 / n`.
struct DispatcherShares {
    weights: Vec<f64>,
    total: f64,
}

impl DispatcherShares {
    fn new(dispatchers: usize) -> Self {
        let weights: Vec<f64> = (0..dispatchers).map(|i| 1.0 / (i + 1) as f64).collect();
        let total = weights.iter().sum();
        Self { weights, total }
    }

    fn draw(&self, rng: &mut impl Rng) -> usize {
        let mut pick = rng.random_range(0.0..self.total);
        let dispatcher = self.weights.iter().position(|weight| {
            pick -= weight;
            pick < 0.0
        });
        dispatcher.unwrap_or(0)
    }
}

/// Draws the hint that a client gives of its job's work. Returns `None` if clients give no hints, but draws the same number of
/// random values.
fn draw_hint(spec: &RunSpec, work: f64, rng: &mut impl Rng) -> Option<f64> {
    let wrong = rng.random_bool(spec.hints.share);
    let usual_error = (0.1 * (rng.random_range(-1.0..1.0_f64) + rng.random_range(-1.0..1.0))).exp();
    let hint = work * if wrong { spec.hints.factor } else { usual_error };
    spec.hints.sent.then_some(hint)
}

/// Draws the requests. `capacity` is the work that all workers can do per second, in seconds at speed 1.
pub(super) fn draw_arrivals(spec: &RunSpec, seed: u64, capacity: f64) -> Result<Vec<Arrival>, PlanError> {
    let sizes = JobSizes::new(spec)?;
    let rate = spec.load * capacity / sizes.mean_area(seed);
    let dispatchers = DispatcherShares::new(spec.dispatchers);
    let (keys, noise) = (Zipf::new(AFFINITY_KEYS, 1.0)?, LogNormal::new(0.0, ATTEMPT_WORK_LOG_STD_DEV)?);
    let (mut rng, mut cancel_rng) = (stream(seed, PlanPart::Arrivals), stream(seed, PlanPart::Cancellations));
    let (mut at, mut arrivals) = (0.0, Vec::new());
    loop {
        at += -(1.0 - rng.random_range(0.0..1.0_f64)).ln() / rate;
        if at >= spec.seconds {
            return Ok(arrivals);
        }
        let size = sizes.draw(&mut rng);
        let dispatcher = dispatchers.draw(&mut rng);
        let hint = draw_hint(spec, size.work, &mut rng);
        let cancels = cancel_rng.random_bool(spec.cancel_share);
        let mut arrival = Arrival {
            at,
            dispatcher,
            work: size.work,
            slots: size.slots,
            large: size.large,
            hint,
            key: keys.sample(&mut rng) as u64,
            noise: [1.0; 12],
            retries: rng.random_range(2..4),
            backoff: if rng.random_bool(0.5) { 0.0 } else { rng.random_range(0.03..0.24) },
            cancels_after_s: cancels.then(|| cancel_rng.random_range(0.1..2.0)),
        };
        arrival.noise.fill_with(|| noise.sample(&mut rng));
        arrivals.push(arrival);
    }
}
