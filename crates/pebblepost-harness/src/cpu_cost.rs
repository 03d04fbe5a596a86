//! Measures the CPU time that a request costs a dispatcher: many equal jobs through one process, two programs or settings in
//! turn.

use crate::clients::Outcome;
use crate::quantile::median;
use crate::run::Run;
use crate::workload::spec::{HintSpec, RunSpec};
use anyhow::Result;
use serde::Serialize;
use serde_json::Value;
use std::path::Path;

/// One of the two that are compared.
pub struct Side<'a> {
    /// The program.
    pub program: &'a Path,
    /// Its operator file.
    pub operator: &'a Value,
}

/// CPU time for each request served, in microseconds, by round.
#[derive(Serialize)]
pub struct Report {
    /// The first side.
    #[serde(rename = "a")]
    pub first_us: Vec<f64>,
    /// The second.
    #[serde(rename = "b")]
    pub second_us: Vec<f64>,
    /// Median of the first side.
    #[serde(rename = "median_a")]
    pub median_first_us: f64,
    /// Median of the second side.
    #[serde(rename = "median_b")]
    pub median_second_us: f64,
    /// Median of the rounds' ratios, first by second.
    pub ratio: f64,
}

/// Equal jobs of 4 ms, about 2,000 a second.
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

/// Plays both sides in turn, so many rounds after one that is not counted.
///
/// # Errors
///
/// If a process does not start.
pub async fn measure(
    first: &Side<'_>, second: &Side<'_>, seconds: f64, rounds: usize, seed: u64,
) -> Result<Report> {
    let run_spec = equal_jobs(seconds);
    let (mut of_first, mut of_second) = (Vec::new(), Vec::new());
    for round in 0..=rounds {
        for (side, list) in [(first, &mut of_first), (second, &mut of_second)] {
            let run = Run {
                run_spec: &run_spec,
                seed,
                program: side.program,
                operator: side.operator,
                supervisor: None,
            };
            let played = run.play().await?;
            let served = played.results.iter().filter(|f| matches!(f.outcome, Outcome::Served(_))).count();
            if round > 0 {
                list.push(played.cpu_s * 1e6 / served.max(1) as f64);
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
