//! What a request costs a daemon in CPU: many jobs all alike through one process, two programs or settings in turn.

use crate::clients::Outcome;
use crate::run::Run;
use crate::workload::spec::{HintSpec, RunSpec};
use anyhow::Result;
use serde::Serialize;
use serde_json::Value;
use std::path::Path;

/// What is compared: a program with its operator's file.
pub struct Side<'a> {
    /// The program.
    pub program: &'a Path,
    /// Its operator's file.
    pub operator: &'a Value,
}

/// Microseconds of CPU for each request served, by round, and what is told of them.
#[derive(Serialize)]
pub struct Report {
    /// The first side.
    pub a: Vec<f64>,
    /// The second.
    pub b: Vec<f64>,
    /// Medians.
    pub median_a: f64,
    /// See `median_a`.
    pub median_b: f64,
    /// Median of the rounds' ratios, first by second.
    pub ratio: f64,
}

fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().unwrap_or(0.0)
}

/// Jobs of 4 ms, all alike, about 2,000 a second.
fn alike(seconds: f64) -> RunSpec {
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

/// Plays both sides in turn, so many rounds. The first round of each warms up and is left out.
pub async fn measure(a: &Side<'_>, b: &Side<'_>, seconds: f64, rounds: usize, seed: u64) -> Result<Report> {
    let run_spec = alike(seconds);
    let (mut of_a, mut of_b) = (Vec::new(), Vec::new());
    for round in 0..=rounds {
        for (side, list) in [(a, &mut of_a), (b, &mut of_b)] {
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
    let ratios: Vec<f64> = of_a.iter().zip(&of_b).map(|(a, b)| a / b).collect();
    Ok(Report { median_a: median(&of_a), median_b: median(&of_b), ratio: median(&ratios), a: of_a, b: of_b })
}
