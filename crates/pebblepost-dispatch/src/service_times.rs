//! Service times: how long jobs take, by class, by machine kind and by their hints.
//!
//! Owns these estimates of one node. Figures in seconds.

use crate::api::{KindId, Settings};
use crate::estimators::{EWMA_GAIN, KindEstimate, seconds, update_mean};
use std::collections::BTreeMap;
use std::time::Duration;

/// Learned service times.
#[derive(Clone, Debug)]
pub(crate) struct ServiceTimes {
    by_class: Vec<f64>,
    mean: f64,
    kinds: BTreeMap<KindId, KindEstimate>,
    /// 0 until a hint comes.
    mean_hint: f64,
}

impl ServiceTimes {
    /// Each class is taken to need its latency target, until jobs of it have ended.
    pub(crate) fn new(settings: &Settings) -> Self {
        let by_class: Vec<f64> = settings.classes.iter().map(|class| seconds(class.latency_target)).collect();
        let mean = by_class.iter().sum::<f64>() / by_class.len().max(1) as f64;
        Self { by_class, mean, kinds: BTreeMap::new(), mean_hint: 0.0 }
    }

    /// A class became known.
    pub(crate) fn add_class(&mut self, latency_target: Duration) {
        self.by_class.push(seconds(latency_target));
    }

    /// Mean over all jobs.
    pub(crate) fn mean(&self) -> f64 {
        self.mean
    }

    /// Mean of a class.
    pub(crate) fn of_class(&self, class: usize) -> f64 {
        self.by_class[class]
    }

    /// Mean of jobs on machines of a kind.
    pub(crate) fn on_kind(&self, kind: KindId) -> f64 {
        self.mean * self.relative_to_mean(kind)
    }

    /// A kind's times as a multiple of the mean over all kinds.
    pub(crate) fn relative_to_mean(&self, kind: KindId) -> f64 {
        self.kinds.get(&kind).map_or(1.0, |kind| kind.relative_service_time)
    }

    /// What was learned of a kind; `None` before its first report.
    pub(crate) fn kind(&self, kind: KindId) -> Option<&KindEstimate> {
        self.kinds.get(&kind)
    }

    /// Run time of one second of hinted work on machines of a kind.
    pub(crate) fn seconds_per_hinted_second(&self, kind: KindId) -> f64 {
        self.kinds.get(&kind).map_or(1.0, KindEstimate::seconds_per_hinted_second)
    }

    /// The same on the fastest kind.
    pub(crate) fn fastest_seconds_per_hinted_second(&self) -> f64 {
        let kinds = self.kinds.values().map(KindEstimate::seconds_per_hinted_second);
        kinds.reduce(f64::min).unwrap_or(1.0)
    }

    /// Work of a job in mean jobs: by its hint where there is one, else by its class.
    pub(crate) fn record_cost(&mut self, class: usize, hint: Option<f64>) -> f64 {
        let Some(hint) = hint else {
            return self.by_class[class] / self.mean.max(f64::MIN_POSITIVE);
        };
        let mean_hint = if self.mean_hint > 0.0 { self.mean_hint } else { hint };
        self.mean_hint = mean_hint + EWMA_GAIN * (hint - mean_hint);
        hint / self.mean_hint
    }

    /// A worker of a kind has so many slots.
    pub(crate) fn record_slots(&mut self, kind: KindId, slots: f64) {
        let kind = self.kinds.entry(kind).or_insert(KindEstimate::new(slots));
        update_mean(&mut kind.slots, slots, EWMA_GAIN);
    }

    /// A job that was hinted to take `hint` seconds ran for `run_time`.
    pub(crate) fn record_hinted_run(&mut self, kind: KindId, run_time: Duration, hint: f64) {
        if let Some(kind) = self.kinds.get_mut(&kind) {
            kind.record_hinted_run(run_time, hint);
        }
    }

    /// A job of a class was served in so many seconds.
    pub(crate) fn record(&mut self, kind: KindId, class: usize, served_in: f64) {
        let usual = self.by_class[class].max(f64::MIN_POSITIVE);
        if let Some(kind) = self.kinds.get_mut(&kind) {
            update_mean(&mut kind.relative_service_time, served_in / usual, EWMA_GAIN);
        }
        update_mean(&mut self.by_class[class], served_in, EWMA_GAIN);
        update_mean(&mut self.mean, served_in, EWMA_GAIN);
    }
}
