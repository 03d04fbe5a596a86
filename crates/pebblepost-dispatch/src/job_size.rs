//! Job sizes: which jobs count as large, by the distribution of the recent ones.
//!
//! Owns the mean and variance of recent sizes. What follows from a job being large is decided elsewhere.
//!
//! Units: slots as workers report them, work in seconds on a worker of speed 1.

use crate::api::ReservationSettings;

/// Weight of a new job: about the last 100 jobs count, because large ones are rare.
const DISTRIBUTION_GAIN: f64 = 0.01;
/// Number of jobs after which the distribution is used.
const MIN_DISTRIBUTION_JOBS: u32 = 50;
/// A job is wide from this multiple of the mean slots on.
const WIDE_JOB_SLOTS_MULTIPLE: f64 = 1.5;
/// A long job counts as large only if its slot-seconds exceed this many mean service times.
const MIN_LONG_JOB_SERVICE_TIMES: f64 = 2.0;

/// Service times against which the size of a job is judged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TypicalJob {
    /// Mean service time, in seconds.
    pub service_seconds: f64,
    /// Run time, in seconds, of one second of hinted work.
    pub seconds_per_hinted_second: f64,
}

/// Distribution of recent job sizes.
#[derive(Clone, Debug)]
pub struct JobSizes {
    settings: ReservationSettings,
    /// Mean and variance of the logarithm of the slot-seconds.
    log_mean: f64,
    log_variance: f64,
    mean_slots: f64,
    jobs: u32,
}

impl JobSizes {
    /// Creates an empty distribution.
    pub fn new(settings: ReservationSettings) -> Self {
        Self { settings, log_mean: 0.0, log_variance: 0.0, mean_slots: 1.0, jobs: 0 }
    }

    /// Records a job's hinted work, in seconds, and its slots. Returns whether the job is large among those
    /// before it: it takes more slots than they, or by far more slot-seconds. A job without a hint is never
    /// large.
    pub fn record(&mut self, work_seconds: Option<f64>, slots: f64, typical: TypicalJob) -> bool {
        let slot_seconds =
            work_seconds.map(|work| work * slots).filter(|product| *product > 0.0 && product.is_finite());
        let Some(slot_seconds) = slot_seconds else { return false };
        let log = slot_seconds.ln();
        let is_long = log > self.log_mean + self.settings.size_deviations * self.log_variance.sqrt()
            && slot_seconds * typical.seconds_per_hinted_second
                > MIN_LONG_JOB_SERVICE_TIMES * typical.service_seconds;
        let is_wide = slots > WIDE_JOB_SLOTS_MULTIPLE * self.mean_slots;
        let is_large = self.settings.enabled
            && self.settings.max_reserved_fraction > 0.0
            && self.jobs >= MIN_DISTRIBUTION_JOBS
            && (is_long || is_wide);
        self.jobs = self.jobs.saturating_add(1);
        let gain = DISTRIBUTION_GAIN.max(1.0 / f64::from(self.jobs));
        let deviation = log - self.log_mean;
        self.log_mean += gain * deviation;
        self.log_variance = (1.0 - gain) * (self.log_variance + gain * deviation * deviation);
        self.mean_slots += gain * (slots - self.mean_slots);
        is_large
    }
}
