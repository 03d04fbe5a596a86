//! Measures many dispatchers with little traffic each through a mass restart, a zone that is lost and comes back cold, and a
//! mass replacement of workers, with a discovery that is late and answers few calls.

use crate::checker::rules::Violation;
use crate::clients::Outcome;
use crate::report::p99_ms;
use crate::run::{Played, Run};
use crate::worker::simulated::ConnectionCounts;
use crate::workload::spec::{MassRestart, RunSpec, ScheduledWorkerFault, WorkerFault};
use anyhow::Result;
use serde::Serialize;
use serde_json::json;
use std::path::Path;

/// Calls a second that discovery answers: the middle of what the site states.
const DISCOVERY_RATE: f64 = 4.0;
/// Offered work, as a share of the workers' capacity.
const LOAD: f64 = 0.5;

/// The size of a measurement.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Dispatchers.
    pub dispatchers: usize,
    /// Workers.
    pub workers: usize,
    /// Seconds of arrivals in each run.
    pub seconds: f64,
}

/// The figures of one run, or of all together.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    /// Requests that were served.
    pub served: usize,
    /// Requests that were rejected at each attempt.
    pub refused: usize,
    /// Requests without an answer, those that a killed dispatcher had accepted among them.
    pub lost: usize,
    /// Time from a dispatcher's start until it takes clients, 99th percentile.
    pub ready_p99_ms: f64,
    /// Calls to discovery.
    pub discovery_calls: u64,
    /// New connections at workers for each request served.
    pub handshakes_per_served: f64,
    /// Connections to workers.
    #[serde(flatten)]
    pub counts: ConnectionCounts,
    /// Most work that a cold worker was sent within the window in which it overloads, as a multiple of what it could do, by the
    /// dispatchers that knew of its start when they sent it.
    pub worst_cold_multiple: f64,
    /// The same by all dispatchers.
    #[serde(rename = "worst_cold_multiple_untold")]
    pub worst_cold_multiple_of_all: f64,
    /// Longest time from the notification of a drain to the last attempt sent to that worker.
    pub slowest_drain_ms: f64,
    /// Rules broken.
    pub rules_broken: usize,
}

/// The runs, by name.
pub fn run_specs(size: Size) -> Vec<(&'static str, RunSpec)> {
    let base = RunSpec {
        dispatchers: size.dispatchers,
        workers: size.workers,
        fault_rate: 0.0,
        discovery_rate: Some(DISCOVERY_RATE),
        ..RunSpec::mixed(size.seconds, LOAD)
    };
    let at = |part: f64| part * size.seconds;
    // One in five drains shortly before the restart, so that the lists that the dispatchers start from are old.
    let drains = (0..size.workers).step_by(5);
    let drains = drains
        .map(|worker| ScheduledWorkerFault { at: at(0.2), worker, fault: WorkerFault::Drain(at(0.5)) })
        .collect();
    let zone = (0..size.workers).step_by(3);
    let zone = zone
        .map(|worker| ScheduledWorkerFault { at: at(0.25), worker, fault: WorkerFault::Silent(at(0.25)) })
        .collect();
    // Six in ten drain and are replaced by cold ones, one after another within 7 s.
    let count = size.workers * 6 / 10;
    let replaced = (0..count).flat_map(|worker| {
        let begin = at(0.2) + 7.0_f64.min(at(0.3)) * worker as f64 / count.max(1) as f64;
        [(begin, WorkerFault::Drain(5.0)), (begin + 4.5, WorkerFault::Restart(1.0))]
            .map(|(at, fault)| ScheduledWorkerFault { at, worker, fault })
    });
    let replaced = replaced.collect();
    vec![
        (
            "herd",
            RunSpec {
                mass_restart: Some(MassRestart { at: at(0.4), share: 0.7 }),
                worker_faults: drains,
                ..base.clone()
            },
        ),
        ("zone", RunSpec { worker_faults: zone, ..base.clone() }),
        ("replaced", RunSpec { worker_faults: replaced, ..base }),
    ]
}

fn summary(played: &Played) -> Summary {
    let count = |hit: fn(&Outcome) -> bool| played.results.iter().filter(|f| hit(&f.outcome)).count();
    Summary {
        served: count(|outcome| matches!(outcome, Outcome::Served(_))),
        refused: count(|outcome| *outcome == Outcome::Rejected),
        lost: count(|outcome| *outcome == Outcome::Lost),
        ready_p99_ms: p99_ms(&played.ready),
        discovery_calls: played.discovery_calls,
        counts: played.connections,
        worst_cold_multiple: played.cold_multiples.0,
        worst_cold_multiple_of_all: played.cold_multiples.1,
        slowest_drain_ms: played.slowest_drain_s * 1e3,
        rules_broken: played.violations.len(),
        handshakes_per_served: 0.0,
    }
    .with_handshake_ratio()
}

impl Summary {
    fn with_handshake_ratio(mut self) -> Self {
        self.handshakes_per_served = self.counts.handshakes as f64 / self.served.max(1) as f64;
        self
    }

    /// Sums of the counts, maxima of the others.
    fn with(self, other: &Self) -> Self {
        Self {
            served: self.served + other.served,
            refused: self.refused + other.refused,
            lost: self.lost + other.lost,
            ready_p99_ms: self.ready_p99_ms.max(other.ready_p99_ms),
            discovery_calls: self.discovery_calls + other.discovery_calls,
            counts: self.counts.with(other.counts),
            worst_cold_multiple: self.worst_cold_multiple.max(other.worst_cold_multiple),
            worst_cold_multiple_of_all: self.worst_cold_multiple_of_all.max(other.worst_cold_multiple_of_all),
            slowest_drain_ms: self.slowest_drain_ms.max(other.slowest_drain_ms),
            rules_broken: self.rules_broken + other.rules_broken,
            handshakes_per_served: 0.0,
        }
        .with_handshake_ratio()
    }
}

/// Plays the runs one after another. Returns a line for each with its violations, and the figures of all together.
///
/// # Errors
///
/// If a process does not start.
pub async fn measure(size: Size, seed: u64, program: &Path) -> Result<(Vec<String>, Summary)> {
    let operator = json!({});
    let (mut lines, mut all) = (Vec::new(), Summary::default());
    for (name, run_spec) in &run_specs(size) {
        let played = Run { run_spec, seed, program, operator: &operator, supervisor: None }.play().await?;
        let figures = summary(&played);
        lines.push(format!("{name:<9} {}", serde_json::to_string(&figures)?));
        let line = |violation: &Violation| {
            format!("broken: {:?} at {:.2} s: {}", violation.rule, violation.at, violation.what)
        };
        lines.extend(played.violations.iter().map(line));
        all = all.with(&figures);
    }
    Ok((lines, all))
}
