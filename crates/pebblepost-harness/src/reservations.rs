//! Measures the effect of reservations of capacity for large jobs: executes the mixed run with reservations on and off, with the
//! same arrivals, at several loads.

use crate::report::Summary;
use crate::run::{Run, RunResult};
use crate::workload::spec::RunSpec;
use anyhow::Result;
use serde::Serialize;
use serde_json::{Value, json};
use std::path::Path;

/// Loads that are measured by default, as shares of the workers' capacity.
pub const DEFAULT_LOADS: [f64; 2] = [0.65, 0.9];

/// The results at one load, with reservations on and off.
#[derive(Serialize)]
pub struct LoadComparison {
    /// The load, as a share of the workers' capacity.
    pub load: f64,
    /// With reservations.
    pub on: Summary,
    /// Without reservations.
    pub off: Summary,
}

/// The results of all loads together and of each load.
#[derive(Serialize)]
pub struct Report {
    /// All loads together, with reservations.
    #[serde(flatten)]
    pub on: Summary,
    /// All loads together, without reservations.
    pub off: Summary,
    /// The results at each load.
    pub loads: Vec<LoadComparison>,
}

/// Returns the content of an operator file that turns reservations on or off.
pub fn operator_file(on: bool) -> Value {
    json!({"settings": {"room": {"enabled": on}}})
}

fn summary(runs: &[&RunResult]) -> Summary {
    let parts: Vec<_> =
        runs.iter().map(|run_result| (&*run_result.plan, run_result.results.as_slice())).collect();
    let broken: Vec<_> = runs.iter().flat_map(|run_result| run_result.violations.iter().cloned()).collect();
    Summary::aggregate(&parts, &broken, runs.iter().map(|run_result| run_result.cpu_s).sum())
}

/// Executes `run_spec` at each load, with reservations on and off.
///
/// All runs are concurrent, each with its own workers, so that other load on the machine affects all of them equally.
///
/// # Errors
///
/// Returns an error if a plan can not be drawn or a process does not start.
pub async fn measure(run_spec: &RunSpec, loads: &[f64], seed: u64, program: &Path) -> Result<Report> {
    let (on_file, off_file) = (operator_file(true), operator_file(false));
    let (mut on, mut off) = (Vec::new(), Vec::new());
    let run_specs: Vec<_> = loads.iter().map(|load| RunSpec { load: *load, ..run_spec.clone() }).collect();
    let run = |run_spec, operator| async move {
        Run { run_spec, seed, program, operator, supervisor: None }.execute().await
    };
    let both =
        run_specs.iter().map(|spec| async { tokio::try_join!(run(spec, &on_file), run(spec, &off_file)) });
    for (with_reservations, without_reservations) in futures_util::future::try_join_all(both).await? {
        on.push(with_reservations);
        off.push(without_reservations);
    }
    let at = |(i, load): (usize, &f64)| LoadComparison {
        load: *load,
        on: summary(&[&on[i]]),
        off: summary(&[&off[i]]),
    };
    let all = |runs: &[RunResult]| summary(&runs.iter().collect::<Vec<_>>());
    Ok(Report { on: all(&on), off: all(&off), loads: loads.iter().enumerate().map(at).collect() })
}

fn row(name: &str, figures: &Summary) -> String {
    let share = |share: f64, (low, high): (f64, f64)| format!("{share:.4} ({low:.3} to {high:.3})");
    format!(
        "{name:<12} {:>24} {:>24} {:>8} {:>8} {:>7} {:>7} {:>7.0} {:>6.1} {:>6}",
        share(figures.large_in_time, figures.large_interval),
        share(figures.small_in_time, figures.small_interval),
        format!("{}/{}", figures.large.late, figures.large.refused),
        format!("{}/{}", figures.small.late, figures.small.refused),
        figures.large_asked,
        figures.small_asked,
        figures.work_in_time,
        figures.cpu_us,
        figures.rules_broken
    )
}

/// Formats the report as a table.
pub fn table(report: &Report) -> String {
    let mut lines = vec![format!(
        "{:<12} {:>24} {:>24} {:>8} {:>8} {:>7} {:>7} {:>7} {:>6} {:>6}",
        "",
        "large in time",
        "small in time",
        "l late/r",
        "s late/r",
        "large",
        "small",
        "work s",
        "us",
        "broken"
    )];
    for at_load in &report.loads {
        lines.push(row(&format!("{:.2} on", at_load.load), &at_load.on));
        lines.push(row(&format!("{:.2} off", at_load.load), &at_load.off));
    }
    lines.push(row("all on", &report.on));
    lines.push(row("all off", &report.off));
    for (name, figures) in [("on", &report.on), ("off", &report.off)] {
        for (slots, group) in &figures.large_by_slots {
            let (share, mean_attempts) =
                (group.in_time_share(), group.attempts as f64 / group.requests.max(1) as f64);
            lines.push(format!(
                "{name}: large of {slots} slots: {share:.3} of {} in time, {mean_attempts:.2} attempts",
                group.requests
            ));
        }
    }
    for violation in report.on.broken.iter().chain(&report.off.broken) {
        lines.push(format!("broken: {:?} at {:.2} s: {}", violation.rule, violation.at, violation.what));
    }
    lines.join("\n")
}
