//! Measures the CPU time of a dispatcher per request: one process handles many equal jobs, with two programs or settings in
//! turn.

use crate::clients::Outcome;
use crate::quantile::median;
use crate::run::Run;
use crate::workload::spec::{HintSpec, RunSpec};
use anyhow::Result;
use serde::Serialize;
use serde_json::Value;
use std::path::Path;

/// One of the two programs or settings that are compared.
pub struct Candidate<'a> {
    /// Path of the program.
    pub program: &'a Path,
    /// Content of its operator file.
    pub operator: &'a Value,
}

/// CPU time per served request, in microseconds.
#[derive(Serialize)]
pub struct Report {
    /// Values of the first candidate, by round.
    #[serde(rename = "a")]
    pub first_us: Vec<f64>,
    /// Values of the second candidate, by round.
    #[serde(rename = "b")]
    pub second_us: Vec<f64>,
    /// Median of the first candidate.
    #[serde(rename = "median_a")]
    pub median_first_us: f64,
    /// Median of the second candidate.
    #[serde(rename = "median_b")]
    pub median_second_us: f64,
    /// Median of the ratios of the rounds, first candidate to second.
    pub ratio: f64,
}

/// Returns a run of equal jobs of 4 ms, about 2,000 per second.
fn equal_jobs(seconds: f64) -> RunSpec {
    let hints = HintSpec::default();
    RunSpec {
        dispatchers: 1,
        work_s: 0.004,
        work_variation: 0.0,
        large_share: 0.0,
        hints,
        fault_rate: 0.0,
        ..RunSpec::mixed(seconds, 0.3)
    }
}

/// Executes both candidates in turn, for one round that is not counted and then `rounds` rounds.
///
/// # Errors
///
/// Returns an error if a plan can not be drawn or a process does not start.
pub async fn measure(
    first: &Candidate<'_>, second: &Candidate<'_>, seconds: f64, rounds: usize, seed: u64,
) -> Result<Report> {
    let run_spec = equal_jobs(seconds);
    let (mut of_first, mut of_second) = (Vec::new(), Vec::new());
    for round in 0..=rounds {
        for (candidate, values) in [(first, &mut of_first), (second, &mut of_second)] {
            let run = Run {
                run_spec: &run_spec,
                seed,
                program: candidate.program,
                operator: candidate.operator,
                supervisor: None,
            };
            let run_result = run.execute().await?;
            let served =
                run_result.results.iter().filter(|f| matches!(f.outcome, Outcome::Served(_))).count();
            if round > 0 {
                values.push(run_result.cpu_s * 1e6 / served.max(1) as f64);
            }
        }
    }
    let ratios: Vec<f64> = of_first.iter().zip(&of_second).map(|(first, second)| first / second).collect();
    Ok(Report {
        median_first_us: median(&of_first),
        median_second_us: median(&of_second),
        ratio: median(&ratios),
        first_us: of_first,
        second_us: of_second,
    })
}
