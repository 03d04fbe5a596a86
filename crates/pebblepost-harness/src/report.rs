//! The results of runs: shares of requests in time by job size, work, latencies and violations.

use crate::checker::rules::Violation;
use crate::clients::{Outcome, RequestResult};
use crate::workload::arrivals::Arrival;
use crate::workload::latency_target::latency_target_s;
use crate::workload::plan::Plan;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum of the recorded times, in microseconds. Longer times are recorded as this value.
const MAX_RECORDED_TIME_US: u64 = 60_000_000;
/// The quantile of the normal distribution for a two-sided 95% interval.
const NORMAL_QUANTILE_95: f64 = 1.96;

/// The results of a group of requests.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Group {
    /// Number of requests.
    #[serde(rename = "asked")]
    pub requests: usize,
    /// Number of requests that were served within their latency target.
    pub in_time: usize,
    /// Number of requests that were served after their latency target.
    pub late: usize,
    /// Number of requests of which every attempt was rejected or failed.
    pub refused: usize,
    /// Number of requests without an answer.
    pub lost: usize,
    /// Number of attempts of all requests.
    #[serde(rename = "tries")]
    pub attempts: usize,
    /// Work of all requests, in slot seconds at speed 1.
    pub work: f64,
    /// Work of the requests in time, in slot seconds at speed 1.
    pub work_in_time: f64,
    /// Median latency of the served requests, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency of the served requests, in milliseconds.
    pub p99_ms: f64,
    /// 99th percentile of the time until the first rejection, in milliseconds.
    pub refused_p99_ms: f64,
}

impl Group {
    /// Adds the results of another run. Counts and work are summed; for latencies the maximum is kept, as percentiles can not be
    /// added.
    fn add(&mut self, other: &Group) {
        self.p50_ms = self.p50_ms.max(other.p50_ms);
        self.p99_ms = self.p99_ms.max(other.p99_ms);
        self.refused_p99_ms = self.refused_p99_ms.max(other.refused_p99_ms);
        self.requests += other.requests;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
        self.lost += other.lost;
        self.attempts += other.attempts;
        self.work += other.work;
        self.work_in_time += other.work_in_time;
    }

    /// Returns the share of the requests that were served in time; 1 if there are no requests.
    pub fn in_time_share(&self) -> f64 {
        if self.requests == 0 { 1.0 } else { self.in_time as f64 / self.requests as f64 }
    }
}

/// Returns the Wilson score interval at 95% (E. B. Wilson, 1927) of a share, or `(0.0, 1.0)` if `total` is 0.
pub fn wilson_interval(hits: usize, total: usize) -> (f64, f64) {
    if total == 0 {
        return (0.0, 1.0);
    }
    let (n, quantile) = (total as f64, NORMAL_QUANTILE_95);
    let share = hits as f64 / n;
    let center = share + quantile * quantile / (2.0 * n);
    let half_width = quantile * (share * (1.0 - share) / n + quantile * quantile / (4.0 * n * n)).sqrt();
    (
        (center - half_width) / (1.0 + quantile * quantile / n),
        (center + half_width) / (1.0 + quantile * quantile / n),
    )
}

/// A histogram of times in microseconds, up to one minute, with three significant digits. It is empty if it can not be created.
struct TimeHistogram(Option<Histogram<u64>>);

impl TimeHistogram {
    fn new() -> Self {
        Self(Histogram::new_with_bounds(1, MAX_RECORDED_TIME_US, 3).ok())
    }

    fn record_us(&mut self, time_us: u64) {
        if let Some(histogram) = &mut self.0 {
            histogram.saturating_record(time_us);
        }
    }

    fn quantile_ms(&self, quantile: f64) -> f64 {
        self.0.as_ref().map_or(0.0, |histogram| histogram.value_at_quantile(quantile) as f64 / 1e3)
    }
}

/// Returns the 99th percentile of `times`, in milliseconds.
pub fn p99_ms(times: &[Duration]) -> f64 {
    let mut all = TimeHistogram::new();
    times.iter().for_each(|time| all.record_us(time.as_micros() as u64));
    all.quantile_ms(0.99)
}

/// Summarizes the requests that `which` selects. Requests that the client cancelled are left out.
pub fn summarize_group(plan: &Plan, results: &[RequestResult], which: impl Fn(&Arrival) -> bool) -> Group {
    let mut group = Group::default();
    let (mut latencies, mut rejections) = (TimeHistogram::new(), TimeHistogram::new());
    for result in results {
        let arrival = &plan.arrivals[result.arrival];
        if !which(arrival) || result.outcome == Outcome::Cancelled {
            // A client that cancels does not expect an answer.
            continue;
        }
        let work = arrival.work * f64::from(arrival.slots);
        group.requests += 1;
        group.work += work;
        group.attempts += result.attempts as usize;
        let micros = |seconds: f64| (seconds * 1e6) as u64;
        match result.outcome {
            Outcome::Served(after) => {
                latencies.record_us(micros(after));
                if after <= latency_target_s(arrival.work) {
                    group.in_time += 1;
                    group.work_in_time += work;
                } else {
                    group.late += 1;
                }
            }
            Outcome::Rejected => group.refused += 1,
            Outcome::Lost => group.lost += 1,
            Outcome::Cancelled => {}
        }
        if let Some(after) = result.first_rejection_after_s {
            rejections.record_us(micros(after));
        }
    }
    (group.p50_ms, group.p99_ms) = (latencies.quantile_ms(0.5), latencies.quantile_ms(0.99));
    group.refused_p99_ms = rejections.quantile_ms(0.99);
    group
}

/// The summary of one or more runs.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// Share of the large jobs that were served in time.
    pub large_in_time: f64,
    /// Share of the small jobs that were served in time.
    pub small_in_time: f64,
    /// Number of large jobs.
    pub large_asked: usize,
    /// Number of small jobs.
    pub small_asked: usize,
    /// 95% interval of the share of large jobs served in time.
    pub large_interval: (f64, f64),
    /// 95% interval of the share of small jobs served in time.
    pub small_interval: (f64, f64),
    /// Work of the requests that were served in time, in slot seconds at speed 1.
    pub work_in_time: f64,
    /// Number of violations.
    pub rules_broken: usize,
    /// Results of the large jobs.
    pub large: Group,
    /// Results of the small jobs.
    pub small: Group,
    /// Results of the large jobs, by the number of slots that they take.
    pub large_by_slots: BTreeMap<u32, Group>,
    /// CPU time of the dispatchers per served request, in microseconds.
    pub cpu_us: f64,
    /// The first ten violations.
    pub broken: Vec<Violation>,
}

impl Summary {
    /// Aggregates several runs. `cpu_s` is the CPU time of all dispatchers in these runs, in seconds.
    pub fn aggregate(runs: &[(&Plan, &[RequestResult])], violations: &[Violation], cpu_s: f64) -> Self {
        let mut groups = [Group::default(), Group::default()];
        let mut large_by_slots: BTreeMap<u32, Group> = BTreeMap::new();
        for (plan, results) in runs {
            for (sum, large) in groups.iter_mut().zip([true, false]) {
                sum.add(&summarize_group(plan, results, |arrival| arrival.large == large));
            }
            for slots in [1, 2, 4] {
                let part = summarize_group(plan, results, |arrival| arrival.large && arrival.slots == slots);
                large_by_slots.entry(slots).or_default().add(&part);
            }
        }
        let [large, small] = groups;
        let served = large.in_time + large.late + small.in_time + small.late;
        Self {
            large_in_time: large.in_time_share(),
            small_in_time: small.in_time_share(),
            large_asked: large.requests,
            small_asked: small.requests,
            large_interval: wilson_interval(large.in_time, large.requests),
            small_interval: wilson_interval(small.in_time, small.requests),
            work_in_time: large.work_in_time + small.work_in_time,
            rules_broken: violations.len(),
            large_by_slots,
            cpu_us: cpu_s * 1e6 / served.max(1) as f64,
            broken: violations.iter().take(10).cloned().collect(),
            large,
            small,
        }
    }
}
