//! The figures of runs: shares in time by size, work done, latencies, rules.

use crate::checker::rules::Violation;
use crate::clients::{Outcome, RequestResult};
use crate::workload::arrivals::Arrival;
use crate::workload::latency_target::latency_target_s;
use crate::workload::plan::Plan;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// Longer times count as this, in microseconds.
const LONGEST_TIME_US: u64 = 60_000_000;
/// The quantile of the normal distribution for an interval of 95%.
const NORMAL_QUANTILE: f64 = 1.96;

/// A group of requests.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Group {
    /// Requests.
    #[serde(rename = "asked")]
    pub requests: usize,
    /// Answered within their latency target.
    pub in_time: usize,
    /// Answered later than that.
    pub late: usize,
    /// Rejected or failed at each attempt.
    pub refused: usize,
    /// No answer.
    pub lost: usize,
    /// Attempts of all.
    #[serde(rename = "tries")]
    pub attempts: usize,
    /// Work of all, in seconds of slots.
    pub work: f64,
    /// Work of those in time, in seconds of slots.
    pub work_in_time: f64,
    /// Median latency of those served, in milliseconds.
    pub p50_ms: f64,
    /// The same: 99th percentile.
    pub p99_ms: f64,
    /// Time to the first rejection, in milliseconds: 99th percentile.
    pub refused_p99_ms: f64,
}

impl Group {
    /// Adds those of another run; of the latencies the longer ones stay.
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

    /// Share that was answered in time; 1 if there are none.
    pub fn share(&self) -> f64 {
        if self.requests == 0 { 1.0 } else { self.in_time as f64 / self.requests as f64 }
    }
}

/// Wilson's score interval at 95% (E. B. Wilson, 1927), as shares.
pub fn interval(hits: usize, of: usize) -> (f64, f64) {
    if of == 0 {
        return (0.0, 1.0);
    }
    let (n, quantile) = (of as f64, NORMAL_QUANTILE);
    let share = hits as f64 / n;
    let middle = share + quantile * quantile / (2.0 * n);
    let off = quantile * (share * (1.0 - share) / n + quantile * quantile / (4.0 * n * n)).sqrt();
    ((middle - off) / (1.0 + quantile * quantile / n), (middle + off) / (1.0 + quantile * quantile / n))
}

/// A histogram of times, to the microsecond, up to a minute. Empty if it can not be made.
struct Times(Option<Histogram<u64>>);

impl Times {
    fn new() -> Self {
        Self(Histogram::new_with_bounds(1, LONGEST_TIME_US, 3).ok())
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

/// 99th percentile of some times, in milliseconds.
pub fn p99_ms(times: &[Duration]) -> f64 {
    let mut all = Times::new();
    times.iter().for_each(|time| all.record_us(time.as_micros() as u64));
    all.quantile_ms(0.99)
}

/// The figures of those requests that `which` picks.
pub fn group(plan: &Plan, results: &[RequestResult], which: impl Fn(&Arrival) -> bool) -> Group {
    let mut group = Group::default();
    let (mut latencies, mut rejections) = (Times::new(), Times::new());
    for result in results {
        let arrival = &plan.arrivals[result.arrival];
        if !which(arrival) || result.outcome == Outcome::Cancelled {
            continue; // A client that cancels is owed no answer.
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

/// The figures of one or more runs.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// Share of the large jobs in time.
    pub large_in_time: f64,
    /// The same of the small ones.
    pub small_in_time: f64,
    /// Number of large jobs.
    pub large_asked: usize,
    /// Number of small jobs.
    pub small_asked: usize,
    /// 95% interval of the share of large jobs in time.
    pub large_interval: (f64, f64),
    /// The same of the small ones.
    pub small_interval: (f64, f64),
    /// Work of requests in time, in seconds of slots.
    pub work_in_time: f64,
    /// Rules broken.
    pub rules_broken: usize,
    /// All figures of the large jobs.
    pub large: Group,
    /// All figures of the small jobs.
    pub small: Group,
    /// Large jobs by the slots they take.
    pub large_by_slots: BTreeMap<u32, Group>,
    /// CPU of the dispatchers for each request served, in microseconds.
    pub cpu_us: f64,
    /// The first violations.
    pub broken: Vec<Violation>,
}

impl Summary {
    /// Sums up several runs as one. `cpu`: seconds of the dispatchers.
    pub fn of(runs: &[(&Plan, &[RequestResult])], broken: &[Violation], cpu: f64) -> Self {
        let mut groups = [Group::default(), Group::default()];
        let mut large_by_slots: BTreeMap<u32, Group> = BTreeMap::new();
        for (plan, results) in runs {
            for (sum, large) in groups.iter_mut().zip([true, false]) {
                sum.add(&group(plan, results, |arrival| arrival.large == large));
            }
            for slots in [1, 2, 4] {
                let part = group(plan, results, |arrival| arrival.large && arrival.slots == slots);
                large_by_slots.entry(slots).or_default().add(&part);
            }
        }
        let [large, small] = groups;
        let served = large.in_time + large.late + small.in_time + small.late;
        Self {
            large_in_time: large.share(),
            small_in_time: small.share(),
            large_asked: large.requests,
            small_asked: small.requests,
            large_interval: interval(large.in_time, large.requests),
            small_interval: interval(small.in_time, small.requests),
            work_in_time: large.work_in_time + small.work_in_time,
            rules_broken: broken.len(),
            large_by_slots,
            cpu_us: cpu * 1e6 / served.max(1) as f64,
            broken: broken.iter().take(10).cloned().collect(),
            large,
            small,
        }
    }
}
