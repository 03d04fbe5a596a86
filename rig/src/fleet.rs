//! The measurement for `docs/fleet.md`: many dispatchers with thin traffic through a herd restart, a zone that is lost
//! and comes back cold, and a mass replacement of workers, each with a discovery that is late and answers few calls.

use crate::clients::Outcome;
use crate::run::{Played, Run};
use crate::scenario::{Fault, Scenario, Trouble};
use anyhow::Result;
use serde::Serialize;
use serde_json::json;
use std::path::Path;
use std::sync::atomic::Ordering;

/// Calls a second that discovery answers: the middle of what the site says.
const DISCOVERY_RATE: f64 = 4.0;
/// Offered work as a part of what the fleet can do.
const LOAD: f64 = 0.5;

/// What is asked for.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Dispatchers.
    pub dispatchers: usize,
    /// Workers.
    pub workers: usize,
    /// Seconds of arrivals in each scenario.
    pub seconds: f64,
}

/// What came of one scenario, or of all together.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    /// Requests served, refused at each try, and lost with no answer.
    pub served: usize,
    /// See `served`.
    pub refused: usize,
    /// See `served`; those that a killed dispatcher took with it among them.
    pub lost: usize,
    /// Time from a dispatcher's start until it takes clients, 99th percentile.
    pub ready_p99_ms: f64,
    /// Calls to discovery.
    pub discovery_calls: u64,
    /// New connections at workers for each request served.
    pub handshakes_per_served: f64,
    /// Most connections open at one worker.
    pub worst_worker_connections: usize,
    /// Most work that a cold worker was sent within 3 s, as a multiple of what it can do.
    pub worst_cold_multiple: f64,
    /// Longest time from the word of a drain to the last attempt sent there on.
    pub slowest_drain_ms: f64,
    /// Rules broken.
    pub rules_broken: usize,
}

/// The scenarios, by name.
pub fn scenarios(size: Size) -> Vec<(&'static str, Scenario)> {
    let base = Scenario {
        dispatchers: size.dispatchers,
        workers: size.workers,
        faults: 0.0,
        discovery_rate: Some(DISCOVERY_RATE),
        ..Scenario::mixed(size.seconds, LOAD)
    };
    let at = |part: f64| part * size.seconds;
    // One in five drains shortly before the restart, so that the lists that the dispatchers start from are old.
    let drains = (0..size.workers).step_by(5);
    let drains = drains.map(|worker| Trouble { at: at(0.2), worker, what: Fault::Drain(at(0.5)) }).collect();
    let zone = (0..size.workers).step_by(3);
    let zone = zone.map(|worker| Trouble { at: at(0.25), worker, what: Fault::Silent(at(0.25)) }).collect();
    // Six in ten drain and are replaced by cold ones, one after another within 7 s.
    let count = size.workers * 6 / 10;
    let replaced = (0..count).flat_map(|worker| {
        let begin = at(0.2) + 7.0_f64.min(at(0.3)) * worker as f64 / count.max(1) as f64;
        [(begin, Fault::Drain(5.0)), (begin + 4.5, Fault::Restart(1.0))].map(|(at, what)| Trouble {
            at,
            worker,
            what,
        })
    });
    let replaced = replaced.collect();
    vec![
        ("herd", Scenario { herd: Some((at(0.4), 0.7)), troubles: drains, ..base.clone() }),
        ("zone", Scenario { troubles: zone, ..base.clone() }),
        ("replaced", Scenario { troubles: replaced, ..base }),
    ]
}

fn summary(played: &Played) -> Summary {
    let count = |hit: fn(&Outcome) -> bool| played.fates.iter().filter(|f| hit(&f.outcome)).count();
    let served = count(|o| matches!(o, Outcome::Served(_)));
    let mut ready = played.ready.clone();
    ready.sort_by(f64::total_cmp);
    let p99 = ready.get((ready.len() * 99).div_ceil(100).saturating_sub(1)).copied().unwrap_or(0.0);
    let counts = &played.record.counts;
    Summary {
        served,
        refused: count(|o| *o == Outcome::Refused),
        lost: count(|o| *o == Outcome::Lost),
        ready_p99_ms: p99 * 1e3,
        discovery_calls: counts.discovery_calls.load(Ordering::Relaxed),
        handshakes_per_served: counts.handshakes.load(Ordering::Relaxed) as f64 / served.max(1) as f64,
        worst_worker_connections: counts.worst_connections.load(Ordering::Relaxed),
        worst_cold_multiple: counts.worst_cold.load(Ordering::Relaxed) as f64 / 1e3,
        slowest_drain_ms: played.slowest_drain * 1e3,
        rules_broken: played.broken.len(),
    }
}

/// Sums where they add up, the worst elsewhere.
fn all(parts: &[(&'static str, Summary)]) -> Summary {
    let mut all = Summary::default();
    let mut handshakes = 0.0;
    for (_, s) in parts {
        handshakes += s.handshakes_per_served * s.served as f64;
        all.served += s.served;
        all.refused += s.refused;
        all.lost += s.lost;
        all.ready_p99_ms = all.ready_p99_ms.max(s.ready_p99_ms);
        all.discovery_calls += s.discovery_calls;
        all.worst_worker_connections = all.worst_worker_connections.max(s.worst_worker_connections);
        all.worst_cold_multiple = all.worst_cold_multiple.max(s.worst_cold_multiple);
        all.slowest_drain_ms = all.slowest_drain_ms.max(s.slowest_drain_ms);
        all.rules_broken += s.rules_broken;
    }
    all.handshakes_per_served = handshakes / all.served.max(1) as f64;
    all
}

/// Plays the scenarios one after another. Returns a line for each, what was broken, and all together last.
pub async fn measure(size: Size, seed: u64, program: &Path) -> Result<(Vec<String>, Summary)> {
    let operator = json!({});
    let (mut lines, mut parts) = (Vec::new(), Vec::new());
    for (name, scenario) in &scenarios(size) {
        let played = Run { scenario, seed, program, operator: &operator }.play().await?;
        let s = summary(&played);
        lines.push(format!("{name:<9} {}", serde_json::to_string(&s)?));
        let told = |b: &crate::checker::Broken| format!("broken: {:?} at {:.2} s: {}", b.rule, b.at, b.what);
        lines.extend(played.broken.iter().map(told));
        parts.push((*name, s));
    }
    Ok((lines, all(&parts)))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_scenario_hits_the_part_of_the_fleet_that_it_speaks_of() {
        let all = scenarios(Size { dispatchers: 20, workers: 15, seconds: 20.0 });
        let hit: Vec<usize> = all.iter().map(|(_, s)| s.troubles.len()).collect();
        assert_eq!(hit, [3, 5, 18]);
        let (begin, end) = (all[2].1.troubles[0].at, all[2].1.troubles[16].at);
        assert!(end - begin <= 7.0, "all are replaced within 7 s: {begin} to {end}");
    }
}
