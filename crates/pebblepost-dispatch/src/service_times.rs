//! Service times: how long jobs take, by class, by machine kind and by their hints.
//!
//! Owns these estimates of one dispatcher. Values are in seconds.

use crate::api::{KindId, Settings};
use crate::estimators::{EWMA_GAIN, KindEstimate, seconds, update_mean};
use std::collections::BTreeMap;
use std::time::Duration;

/// Learned service times.
#[derive(Clone, Debug)]
pub(crate) struct ServiceTimes {
    mean_by_class: Vec<f64>,
    mean: f64,
    kinds: BTreeMap<KindId, KindEstimate>,
    /// 0 until the first hint.
    mean_hint: f64,
}

impl ServiceTimes {
    /// Creates the estimates. Each class is assumed to need its latency target until jobs of it have ended.
    pub(crate) fn new(settings: &Settings) -> Self {
        let mean_by_class: Vec<f64> =
            settings.classes.iter().map(|class| seconds(class.latency_target)).collect();
        let mean = mean_by_class.iter().sum::<f64>() / mean_by_class.len().max(1) as f64;
        Self { mean_by_class, mean, kinds: BTreeMap::new(), mean_hint: 0.0 }
    }

    /// Adds a class.
    pub(crate) fn add_class(&mut self, latency_target: Duration) {
        self.mean_by_class.push(seconds(latency_target));
    }

    /// Returns the mean over all jobs.
    pub(crate) fn mean_seconds(&self) -> f64 {
        self.mean
    }

    /// Returns the mean of a class.
    pub(crate) fn mean_seconds_of_class(&self, class: usize) -> f64 {
        self.mean_by_class[class]
    }

    /// Returns the mean of jobs on machines of a kind.
    pub(crate) fn mean_seconds_of_kind(&self, kind: KindId) -> f64 {
        self.mean * self.kind_relative_to_mean(kind)
    }

    /// Returns a kind's service time as a multiple of the mean over all kinds.
    pub(crate) fn kind_relative_to_mean(&self, kind: KindId) -> f64 {
        self.kinds.get(&kind).map_or(1.0, |kind| kind.relative_service_time)
    }

    /// Returns the estimates of a kind, or `None` before its first report.
    pub(crate) fn kind(&self, kind: KindId) -> Option<&KindEstimate> {
        self.kinds.get(&kind)
    }

    /// Returns the run time of one second of hinted work on machines of a kind.
    pub(crate) fn seconds_per_hinted_second(&self, kind: KindId) -> f64 {
        self.kinds.get(&kind).map_or(1.0, KindEstimate::seconds_per_hinted_second)
    }

    /// Returns the run time of one second of hinted work on the fastest kind.
    pub(crate) fn fastest_seconds_per_hinted_second(&self) -> f64 {
        let kinds = self.kinds.values().map(KindEstimate::seconds_per_hinted_second);
        kinds.reduce(f64::min).unwrap_or(1.0)
    }

    /// Returns the work of a job as a multiple of a mean job, by its hint where there is one, otherwise by
    /// its class. Records the hint.
    pub(crate) fn record_cost(&mut self, class: usize, hint: Option<f64>) -> f64 {
        let Some(hint) = hint else {
            return self.mean_by_class[class] / self.mean.max(f64::MIN_POSITIVE);
        };
        let mean_hint = if self.mean_hint > 0.0 { self.mean_hint } else { hint };
        self.mean_hint = mean_hint + EWMA_GAIN * (hint - mean_hint);
        hint / self.mean_hint
    }

    /// Records the number of slots of a worker of a kind.
    pub(crate) fn record_slots(&mut self, kind: KindId, slots: f64) {
        let kind = self.kinds.entry(kind).or_insert(KindEstimate::new(slots));
        update_mean(&mut kind.slots, slots, EWMA_GAIN);
    }

    /// Records that a job hinted to take `hint` seconds ran for `run_time`.
    pub(crate) fn record_hinted_run(&mut self, kind: KindId, run_time: Duration, hint: f64) {
        if let Some(kind) = self.kinds.get_mut(&kind) {
            kind.record_hinted_run(run_time, hint);
        }
    }

    /// Records that a job of a class was served in `served_in` seconds.
    pub(crate) fn record(&mut self, kind: KindId, class: usize, served_in: f64) {
        let usual = self.mean_by_class[class].max(f64::MIN_POSITIVE);
        if let Some(kind) = self.kinds.get_mut(&kind) {
            update_mean(&mut kind.relative_service_time, served_in / usual, EWMA_GAIN);
        }
        update_mean(&mut self.mean_by_class[class], served_in, EWMA_GAIN);
        update_mean(&mut self.mean, served_in, EWMA_GAIN);
    }
}
