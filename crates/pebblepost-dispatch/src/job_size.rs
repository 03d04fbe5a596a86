//! Sizes of jobs: which of them count as large, by the distribution of the recent ones.
//!
//! Owns the mean and variance of recent sizes; what follows from a job being large is decided elsewhere.
//!
//! Units: slots as workers report them, work in seconds on a worker of speed 1.

use crate::api::ReservationSettings;

/// Weight of a new job: about the last 100 count, as large ones are rare.
const GAIN: f64 = 0.01;
/// Jobs after which the distribution is believed.
const MIN_JOBS: u32 = 50;
/// A job is wide from this multiple of the mean slots on.
const WIDE_MULTIPLE: f64 = 1.5;
/// A long job counts as large only if it holds a slot for more than so many mean jobs.
const LONG_JOBS: f64 = 2.0;

/// Service times against which the size of a job is judged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TypicalJob {
    /// Mean service time, in seconds.
    pub service_seconds: f64,
    /// Run time of one second of hinted work, in seconds.
    pub seconds_per_hinted_second: f64,
}

/// Distribution of recent job sizes.
#[derive(Clone, Debug)]
pub struct JobSizes {
    settings: ReservationSettings,
    /// Mean and variance of the logarithm of slot-seconds.
    log_mean: f64,
    log_variance: f64,
    mean_slots: f64,
    jobs: u32,
}

impl JobSizes {
    /// No job seen.
    pub fn new(settings: ReservationSettings) -> Self {
        Self { settings, log_mean: 0.0, log_variance: 0.0, mean_slots: 1.0, jobs: 0 }
    }

    /// Takes in a job's hinted work, in seconds, and its slots. Returns whether it is large among those
    /// before it: it takes more slots than they, or by far more slot-seconds. Without a hint no job is
    /// large.
    pub fn record(&mut self, work_seconds: Option<f64>, slots: f64, typical: TypicalJob) -> bool {
        let area = work_seconds.map(|work| work * slots).filter(|area| *area > 0.0 && area.is_finite());
        let Some(area) = area else { return false };
        let log = area.ln();
        let long = log > self.log_mean + self.settings.size_deviations * self.log_variance.sqrt()
            && area * typical.seconds_per_hinted_second > LONG_JOBS * typical.service_seconds;
        let wide = slots > WIDE_MULTIPLE * self.mean_slots;
        let large = self.settings.enabled
            && self.settings.max_reserved_fraction > 0.0
            && self.jobs >= MIN_JOBS
            && (long || wide);
        self.jobs = self.jobs.saturating_add(1);
        let gain = GAIN.max(1.0 / f64::from(self.jobs));
        let deviation = log - self.log_mean;
        self.log_mean += gain * deviation;
        self.log_variance = (1.0 - gain) * (self.log_variance + gain * deviation * deviation);
        self.mean_slots += gain * (slots - self.mean_slots);
        large
    }
}
