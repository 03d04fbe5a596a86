//! Measures the reservation of capacity for large jobs: the mixed run with reservations on and off, on the same arrivals, at
//! several loads.

use crate::report::Summary;
use crate::run::{Played, Run};
use crate::workload::spec::RunSpec;
use anyhow::Result;
use serde::Serialize;
use serde_json::{Value, json};
use std::path::Path;

/// Loads that are played by default, as shares of the workers' capacity.
pub const LOADS: [f64; 2] = [0.65, 0.9];

/// One load, with reservations on and off.
#[derive(Serialize)]
pub struct AtLoad {
    /// The load.
    pub load: f64,
    /// With reservations.
    pub on: Summary,
    /// Without them.
    pub off: Summary,
}

/// All loads: their sum with reservations on, the same with them off, and each by itself.
#[derive(Serialize)]
pub struct Report {
    /// The sum, with reservations.
    #[serde(flatten)]
    pub on: Summary,
    /// The sum, without them.
    pub off: Summary,
    /// Each load.
    pub loads: Vec<AtLoad>,
}

/// The operator file that turns reservations on or off.
pub fn operator(on: bool) -> Value {
    json!({"settings": {"room": {"enabled": on}}})
}

fn summary(runs: &[&Played]) -> Summary {
    let parts: Vec<_> = runs.iter().map(|played| (&*played.plan, played.results.as_slice())).collect();
    let broken: Vec<_> = runs.iter().flat_map(|played| played.violations.iter().cloned()).collect();
    Summary::of(&parts, &broken, runs.iter().map(|played| played.cpu_s).sum())
}

/// Plays `run_spec` at each load, with reservations on and off. All run at the same time, each with workers of its own, so that
/// whatever else the machine does affects all.
///
/// # Errors
///
/// If the spec can not be drawn, or a process does not start.
pub async fn measure(run_spec: &RunSpec, loads: &[f64], seed: u64, program: &Path) -> Result<Report> {
    let (on_file, off_file) = (operator(true), operator(false));
    let (mut on, mut off) = (Vec::new(), Vec::new());
    let run_specs: Vec<_> = loads.iter().map(|load| RunSpec { load: *load, ..run_spec.clone() }).collect();
    let run = |run_spec, operator| async move {
        Run { run_spec, seed, program, operator, supervisor: None }.play().await
    };
    let both =
        run_specs.iter().map(|spec| async { tokio::try_join!(run(spec, &on_file), run(spec, &off_file)) });
    for played in futures_util::future::try_join_all(both).await? {
        on.push(played.0);
        off.push(played.1);
    }
    let at =
        |(i, load): (usize, &f64)| AtLoad { load: *load, on: summary(&[&on[i]]), off: summary(&[&off[i]]) };
    let all = |runs: &[Played]| summary(&runs.iter().collect::<Vec<_>>());
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

/// The report as a table.
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
            let (share, retried) = (group.share(), group.attempts as f64 / group.requests.max(1) as f64);
            lines.push(format!(
                "{name}: large of {slots} slots: {share:.3} of {} in time, {retried:.2} attempts",
                group.requests
            ));
        }
    }
    for violation in report.on.broken.iter().chain(&report.off.broken) {
        lines.push(format!("broken: {:?} at {:.2} s: {}", violation.rule, violation.at, violation.what));
    }
    lines.join("\n")
}
