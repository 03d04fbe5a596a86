//! Quality of load reports: how old they are, and what sends made on them led to.
//!
//! Owns what a node learned of reports in general; the reports themselves are in the worker table.

use crate::api::Settings;
use crate::estimators::{EWMA_GAIN, from_seconds, seconds, update_mean};
use std::time::Duration;

/// Levels of load told apart: up to half as many free slots, or as many waiting jobs.
const LEVELS: usize = 16;
/// Reports are shown to be younger by a job that they show, older by one that they miss. Two in three jobs
/// show after the estimated age (a staircase).
const AGE_IF_SHOWN: f64 = 0.8;
const AGE_IF_MISSING: f64 = 1.5;
/// Own sends of this multiple of the age before a report may be missing in it.
const LAG_MULTIPLE: f64 = 1.5;
/// The age is checked with each of the first sends, then with one in so many.
const FIRST_CHECKS: u32 = 8;
const CHECK_INTERVAL: u32 = 16;

/// Age that load reports have when they arrive.
#[derive(Clone, Debug)]
pub(crate) struct ReportAge {
    age: Duration,
    sends: u32,
}

impl ReportAge {
    /// Between the youngest and the oldest age that would matter, until evidence comes.
    pub(crate) fn new(settings: &Settings) -> Self {
        let age = (seconds(settings.tick) * seconds(settings.overload_time)).sqrt();
        Self { age: from_seconds(age), sends: 0 }
    }

    /// The age of a report.
    pub(crate) fn get(&self) -> Duration {
        self.age
    }

    /// Own sends of this long before a report may be missing in it.
    pub(crate) fn lag(&self) -> Duration {
        self.age.mul_f64(LAG_MULTIPLE)
    }

    /// Takes in whether a report showed a job that had been sent [`get`](Self::get) ago.
    pub(crate) fn record(&mut self, shown: bool, settings: &Settings) {
        let age = self.age.mul_f64(if shown { AGE_IF_SHOWN } else { AGE_IF_MISSING });
        self.age = age.clamp(settings.tick, settings.warm_up_time.max(settings.tick));
    }

    /// A report showed capacity that was not there: it was old, and is checked more often from here on.
    pub(crate) fn record_outdated(&mut self, settings: &Settings) {
        self.record(false, settings);
        self.sends = 0;
    }

    /// Takes in a send; returns whether the age of reports is to be checked by it.
    pub(crate) fn is_checked_by_send(&mut self) -> bool {
        self.sends += 1;
        self.sends <= FIRST_CHECKS || self.sends.is_multiple_of(CHECK_INTERVAL)
    }
}

/// A report's load as a level: free slots below the middle, waiting jobs above it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct LoadLevel(usize);

impl LoadLevel {
    pub(crate) fn new(queued_jobs: f64, free_slots: f64) -> Self {
        let level = queued_jobs - free_slots + LEVELS as f64 / 2.0;
        Self(level.round().clamp(0.0, LEVELS as f64 - 1.0) as usize)
    }
}

/// What sends on stale reports led to: where all nodes send to what looks idle, little load means much.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReportReliability {
    /// Fraction of sends that went badly (rejected, or started late), by level of the report.
    bad_by_level: [f64; LEVELS],
    mean_bad: f64,
    /// Fraction of sends on stale reports of free slots that were rejected.
    rejected: f64,
}

impl ReportReliability {
    /// Takes in how a send on a stale report went. A level that is seldom tried drifts back to the mean.
    pub(crate) fn record(&mut self, level: LoadLevel, bad: bool) {
        let bad = f64::from(u8::from(bad));
        update_mean(&mut self.mean_bad, bad, EWMA_GAIN);
        for (i, mean) in self.bad_by_level.iter_mut().enumerate() {
            let (seen, gain) =
                if i == level.0 { (bad, EWMA_GAIN) } else { (self.mean_bad, EWMA_GAIN * EWMA_GAIN) };
            update_mean(mean, seen, gain);
        }
    }

    /// Takes in whether a send on a stale report of free slots was rejected.
    pub(crate) fn record_rejection(&mut self, rejected: bool) {
        update_mean(&mut self.rejected, f64::from(u8::from(rejected)), EWMA_GAIN);
    }

    /// Whether stale reports mislead: they still tell busy workers from others, until many sends are
    /// rejected.
    pub(crate) fn misleads(&self) -> bool {
        self.rejected > EWMA_GAIN
    }

    /// Fraction of sends that went badly on a report of this level.
    pub(crate) fn bad_fraction(&self, level: LoadLevel) -> f64 {
        self.bad_by_level[level.0]
    }

    /// Whether sends on a report of this level go no worse than the mean.
    pub(crate) fn is_no_worse_than_mean(&self, level: LoadLevel) -> bool {
        self.bad_fraction(level) <= self.mean_bad
    }
}
