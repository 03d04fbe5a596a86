//! Quality of load reports: how old they are, and how sends based on them turned out.
//!
//! Owns what a dispatcher has learned of reports in general. The reports themselves are in the worker table.

use crate::api::Settings;
use crate::estimators::{EWMA_GAIN, from_seconds, seconds, update_mean};
use std::time::Duration;

/// Number of load levels: half of them for free slots, half for queued jobs.
const LOAD_LEVELS: usize = 16;
/// Factors on the age estimate when a report shows a job sent one age ago, and when it misses the job. With
/// this staircase method, two in three jobs show after the estimated age.
const AGE_FACTOR_IF_SHOWN: f64 = 0.8;
const AGE_FACTOR_IF_MISSING: f64 = 1.5;
/// A report may miss own sends made up to this multiple of its age before it arrived.
const LAG_AGE_MULTIPLE: f64 = 1.5;
/// The age is checked with each of the first sends, and after that with one in `CHECK_INTERVAL_SENDS` sends.
const INITIAL_CHECKED_SENDS: u32 = 8;
const CHECK_INTERVAL_SENDS: u32 = 16;

/// Estimated age of load reports on arrival.
#[derive(Clone, Debug)]
pub(crate) struct ReportAge {
    age: Duration,
    sends: u32,
}

impl ReportAge {
    /// Creates an estimate halfway, on a logarithmic scale, between the lowest and the highest age that would
    /// matter. It is used until reports confirm or refute it.
    pub(crate) fn new(settings: &Settings) -> Self {
        let age = (seconds(settings.tick) * seconds(settings.overload_time)).sqrt();
        Self { age: from_seconds(age), sends: 0 }
    }

    /// Returns the estimated age of a report on arrival.
    pub(crate) fn get(&self) -> Duration {
        self.age
    }

    /// Returns how long before the arrival of a report an own send may be missing in it.
    pub(crate) fn lag(&self) -> Duration {
        self.age.mul_f64(LAG_AGE_MULTIPLE)
    }

    /// Records whether a report showed a job that had been sent [`get`](Self::get) ago.
    pub(crate) fn record(&mut self, shown: bool, settings: &Settings) {
        let age = self.age.mul_f64(if shown { AGE_FACTOR_IF_SHOWN } else { AGE_FACTOR_IF_MISSING });
        self.age = age.clamp(settings.tick, settings.warm_up_time.max(settings.tick));
    }

    /// Records that a report showed capacity that was not there. The report was old, so the age is checked
    /// more often again.
    pub(crate) fn record_outdated(&mut self, settings: &Settings) {
        self.record(false, settings);
        self.sends = 0;
    }

    /// Records a send. Returns whether to check the age of reports with it.
    pub(crate) fn record_send(&mut self) -> bool {
        self.sends += 1;
        self.sends <= INITIAL_CHECKED_SENDS || self.sends.is_multiple_of(CHECK_INTERVAL_SENDS)
    }
}

/// Load of a report as a level: free slots below the middle, queued jobs above it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct LoadLevel(usize);

impl LoadLevel {
    pub(crate) fn new(queued_jobs: f64, free_slots: f64) -> Self {
        let level = queued_jobs - free_slots + LOAD_LEVELS as f64 / 2.0;
        Self(level.round().clamp(0.0, LOAD_LEVELS as f64 - 1.0) as usize)
    }
}

/// Outcomes of sends based on stale reports. Where all dispatchers send to workers that look idle, a low
/// reported load can mean a high actual load.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReportReliability {
    /// Fraction of sends that failed (rejected or started late), by level of the report.
    failure_by_level: [f64; LOAD_LEVELS],
    mean_failure: f64,
    /// Fraction of sends based on stale reports of free slots that were rejected.
    rejected: f64,
}

impl ReportReliability {
    /// Records the outcome of a send based on a stale report. The other levels drift back to the mean, so
    /// that a level that is seldom used does not keep an old estimate.
    pub(crate) fn record(&mut self, level: LoadLevel, failed: bool) {
        let failed = f64::from(u8::from(failed));
        update_mean(&mut self.mean_failure, failed, EWMA_GAIN);
        for (i, mean) in self.failure_by_level.iter_mut().enumerate() {
            let (seen, gain) =
                if i == level.0 { (failed, EWMA_GAIN) } else { (self.mean_failure, EWMA_GAIN * EWMA_GAIN) };
            update_mean(mean, seen, gain);
        }
    }

    /// Records whether a send based on a stale report of free slots was rejected.
    pub(crate) fn record_rejection(&mut self, rejected: bool) {
        update_mean(&mut self.rejected, f64::from(u8::from(rejected)), EWMA_GAIN);
    }

    /// Returns whether stale reports mislead. Until many sends are rejected, stale reports still distinguish
    /// busy workers from others.
    pub(crate) fn is_misleading(&self) -> bool {
        self.rejected > EWMA_GAIN
    }

    /// Returns the fraction of sends that failed on a report of this level.
    pub(crate) fn failure_fraction(&self, level: LoadLevel) -> f64 {
        self.failure_by_level[level.0]
    }

    /// Returns whether sends on a report of this level fail no more often than the mean.
    pub(crate) fn is_no_worse_than_mean(&self, level: LoadLevel) -> bool {
        self.failure_fraction(level) <= self.mean_failure
    }
}
