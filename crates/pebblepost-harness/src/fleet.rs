//! Measures many dispatchers with little traffic each during a mass restart, the loss of a zone that returns cold, and a mass
//! replacement of workers. Discovery publishes changes with a delay and answers few calls per second.

use crate::checker::rules::Violation;
use crate::clients::Outcome;
use crate::report::p99_ms;
use crate::run::{Run, RunResult};
use crate::worker::simulated::ConnectionCounts;
use crate::workload::spec::{MassRestart, RunSpec, ScheduledWorkerFault, WorkerFault};
use anyhow::Result;
use serde::Serialize;
use serde_json::json;
use std::path::Path;

/// Number of calls that discovery answers per second: the middle of the range that the site specifies.
const DISCOVERY_CALLS_PER_S: f64 = 4.0;
/// Offered work, as a share of the workers' capacity.
const OFFERED_LOAD: f64 = 0.5;

/// The size of a fleet and the duration of its runs.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    /// Number of dispatchers.
    pub dispatchers: usize,
    /// Number of workers.
    pub workers: usize,
    /// Time in which requests arrive in each run, in seconds.
    pub seconds: f64,
}

/// The summary of one run or of all runs.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    /// Number of requests that were served.
    pub served: usize,
    /// Number of requests of which every attempt was rejected or failed.
    pub refused: usize,
    /// Number of requests without an answer, including those that a killed dispatcher had accepted.
    pub lost: usize,
    /// 99th percentile of the time from a dispatcher's start until it is ready, in milliseconds.
    pub ready_p99_ms: f64,
    /// Number of calls to discovery.
    pub discovery_calls: u64,
    /// Number of new connections to workers per served request.
    pub handshakes_per_served: f64,
    /// Counts of the connections to workers.
    #[serde(flatten)]
    pub counts: ConnectionCounts,
    /// Highest load on a cold worker within the overload window, as a multiple of its capacity. Counts only the work of
    /// dispatchers that had been notified of its start when they sent it.
    pub worst_cold_multiple: f64,
    /// Highest load on a cold worker within the overload window, as a multiple of its capacity. Counts the work of all
    /// dispatchers.
    #[serde(rename = "worst_cold_multiple_untold")]
    pub worst_cold_multiple_of_all: f64,
    /// Longest time from the notification of a drain to an attempt sent to that worker, in milliseconds.
    pub slowest_drain_ms: f64,
    /// Number of violations.
    pub rules_broken: usize,
}

/// Returns the runs of a measurement with their names.
pub fn run_specs(size: FleetSize) -> Vec<(&'static str, RunSpec)> {
    let base = RunSpec {
        dispatchers: size.dispatchers,
        workers: size.workers,
        fault_rate: 0.0,
        discovery_rate: Some(DISCOVERY_CALLS_PER_S),
        ..RunSpec::mixed(size.seconds, OFFERED_LOAD)
    };
    let at = |part: f64| part * size.seconds;
    // One worker in five drains shortly before the restart, so that the lists that the dispatchers start with are outdated.
    let drains = (0..size.workers).step_by(5);
    let drains = drains
        .map(|worker| ScheduledWorkerFault { at: at(0.2), worker, fault: WorkerFault::Drain(at(0.5)) })
        .collect();
    let zone = (0..size.workers).step_by(3);
    let zone = zone
        .map(|worker| ScheduledWorkerFault { at: at(0.25), worker, fault: WorkerFault::Silent(at(0.25)) })
        .collect();
    // Six in ten workers drain and are replaced by cold ones, one after another within 7 s.
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

fn summary(run_result: &RunResult) -> Summary {
    let count = |matches: fn(&Outcome) -> bool| {
        run_result.results.iter().filter(|result| matches(&result.outcome)).count()
    };
    Summary {
        served: count(|outcome| matches!(outcome, Outcome::Served(_))),
        refused: count(|outcome| *outcome == Outcome::Rejected),
        lost: count(|outcome| *outcome == Outcome::Lost),
        ready_p99_ms: p99_ms(&run_result.startup_times),
        discovery_calls: run_result.discovery_calls,
        counts: run_result.connections,
        worst_cold_multiple: run_result.cold_load_multiples.0,
        worst_cold_multiple_of_all: run_result.cold_load_multiples.1,
        slowest_drain_ms: run_result.longest_drain_delay_s * 1e3,
        rules_broken: run_result.violations.len(),
        handshakes_per_served: 0.0,
    }
    .with_handshake_ratio()
}

impl Summary {
    fn with_handshake_ratio(mut self) -> Self {
        self.handshakes_per_served = self.counts.handshakes as f64 / self.served.max(1) as f64;
        self
    }

    /// Combines two summaries: sums of the counts and maxima of the other values.
    fn merge(self, other: &Self) -> Self {
        Self {
            served: self.served + other.served,
            refused: self.refused + other.refused,
            lost: self.lost + other.lost,
            ready_p99_ms: self.ready_p99_ms.max(other.ready_p99_ms),
            discovery_calls: self.discovery_calls + other.discovery_calls,
            counts: self.counts.merge(other.counts),
            worst_cold_multiple: self.worst_cold_multiple.max(other.worst_cold_multiple),
            worst_cold_multiple_of_all: self.worst_cold_multiple_of_all.max(other.worst_cold_multiple_of_all),
            slowest_drain_ms: self.slowest_drain_ms.max(other.slowest_drain_ms),
            rules_broken: self.rules_broken + other.rules_broken,
            handshakes_per_served: 0.0,
        }
        .with_handshake_ratio()
    }
}

/// Executes the runs one after another. Returns a line for each run, followed by its violations, and the summary of all runs.
///
/// # Errors
///
/// Returns an error if a plan can not be drawn or a process does not start.
pub async fn measure(size: FleetSize, seed: u64, program: &Path) -> Result<(Vec<String>, Summary)> {
    let operator = json!({});
    let (mut lines, mut all) = (Vec::new(), Summary::default());
    for (name, run_spec) in &run_specs(size) {
        let run_result =
            Run { run_spec, seed, program, operator: &operator, supervisor: None }.execute().await?;
        let figures = summary(&run_result);
        lines.push(format!("{name:<9} {}", serde_json::to_string(&figures)?));
        let line = |violation: &Violation| {
            format!("broken: {:?} at {:.2} s: {}", violation.rule, violation.at, violation.what)
        };
        lines.extend(run_result.violations.iter().map(line));
        all = all.merge(&figures);
    }
    Ok((lines, all))
}
