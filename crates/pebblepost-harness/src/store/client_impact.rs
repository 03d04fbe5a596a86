//! What the agreed store does to the clients of dispatchers: the same traffic without a part `fleet`, with keepers that
//! are killed while many changes are made, and with all keepers dead. In turn, over several rounds.

use super::client::{Leader, StoreClient};
use super::cluster::Cluster;
use crate::clients::Outcome;
use crate::fault::schedule::{Fault, FaultKind};
use crate::run::{Played, Run};
use crate::workload::spec::RunSpec;
use anyhow::Result;
use serde::Serialize;
use serde_json::{Value, json};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::time::{Instant, interval, sleep};

/// Changes that are asked for in a second.
const CHANGES: u64 = 500;
/// A keeper is killed this often.
const KILLS: Duration = Duration::from_secs(5);

/// How the clients fared.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Side {
    /// Part of the requests that were served.
    pub served_share: f64,
    /// Time until the answer of those, 99th percentile.
    pub p99_ms: f64,
    /// CPU of the dispatchers for each request.
    pub cpu_us: f64,
    /// Rules broken.
    pub rules_broken: usize,
}

/// Medians of all rounds, and of the ratios round by round to the side without a fleet.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ClientImpact {
    /// No part `fleet` in the operator's file.
    pub without: Side,
    /// Keepers killed in turn while changes are made.
    pub killed: Side,
    /// All keepers dead.
    pub dead: Side,
    /// Ratios of the 99th percentile.
    pub p99_killed_ratio: f64,
    /// See `p99_killed_ratio`.
    pub p99_dead_ratio: f64,
    /// Ratio of the share served.
    pub served_dead_ratio: f64,
    /// Changes acknowledged in a second while keepers were killed.
    pub changes_per_s: f64,
}

fn side(played: &Played) -> Side {
    let mut times: Vec<f64> = played
        .results
        .iter()
        .filter_map(|f| if let Outcome::Served(after) = f.outcome { Some(after * 1e3) } else { None })
        .collect();
    times.sort_by(f64::total_cmp);
    let p99 = times.get((times.len() as f64 * 0.99) as usize).copied().unwrap_or(0.0);
    let asked = played.results.len().max(1) as f64;
    Side {
        served_share: times.len() as f64 / asked,
        p99_ms: p99,
        cpu_us: played.cpu_s * 1e6 / asked,
        rules_broken: played.violations.len(),
    }
}

/// Kills keepers in turn, for as long as it is polled.
async fn killing(cluster: &mut Cluster, count: usize) -> Result<()> {
    for number in 0.. {
        sleep(KILLS).await;
        cluster.begin_fault(Fault {
            number,
            begins_at_s: 0.0,
            duration_s: 0.0,
            kind: FaultKind::Kill(number % count),
        });
        sleep(Duration::from_millis(500)).await;
        cluster.end_fault(number)?;
    }
    Ok(())
}

/// Has changes made at a rate, until told to stop; counts those that are acknowledged.
async fn changing(addresses: Vec<std::net::SocketAddr>, stop: Arc<AtomicBool>, done: Arc<AtomicUsize>) {
    let leader = Leader::default();
    let clients: Vec<_> = (0..16_u64)
        .map(|n| {
            let (stop, done) = (stop.clone(), done.clone());
            let mut client = StoreClient::new(addresses.clone(), leader.clone());
            tokio::spawn(async move {
                let mut ticks = interval(Duration::from_micros(16_000_000 / CHANGES));
                ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
                for i in 0_u64.. {
                    ticks.tick().await;
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    // A worker that no dispatcher knows: the mark is carried and changes nothing here.
                    let change = StoreClient::command((n, i), &format!("none-{n}"), i % 2 == 0, "");
                    if client.request(&change, Duration::from_secs(2)).await.is_ok() {
                        done.fetch_add(1, Ordering::Relaxed);
                    }
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.await;
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

/// Plays all sides in turn.
pub async fn measure(program: &Path, seconds: f64, rounds: usize, seed: u64) -> Result<ClientImpact> {
    let run_spec = RunSpec { fault_rate: 0.0, ..RunSpec::mixed(seconds, 0.6) };
    let mut sides: [Vec<Side>; 3] = Default::default();
    let mut changes = Vec::new();
    for round in 0..rounds.max(1) {
        let seed = seed + round as u64;
        let play = async |operator: &Value| {
            let played =
                Run { run_spec: &run_spec, seed, program, operator, supervisor: None }.play().await?;
            anyhow::Ok(side(&played))
        };
        sides[0].push(play(&json!({})).await?);
        let folder =
            std::env::temp_dir().join(format!("pebblepost-harness-serving-{}-{round}", std::process::id()));
        let mut cluster = Cluster::start(program, 3, folder).await?;
        let operator = json!({"fleet": {"keepers": cluster.named_addresses()}});
        let (stop, done) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
        let work = tokio::spawn(changing(cluster.client_addresses(), stop.clone(), done.clone()));
        let began = Instant::now();
        let killed = tokio::select! {
            killed = play(&operator) => killed?,
            ended = killing(&mut cluster, 3) => anyhow::bail!("the kills ended: {ended:?}"),
        };
        stop.store(true, Ordering::Relaxed);
        changes.push(done.load(Ordering::Relaxed) as f64 / began.elapsed().as_secs_f64());
        cluster.end_all_faults()?;
        work.await?;
        sides[1].push(killed);
        (0..3).for_each(|k| {
            cluster.begin_fault(Fault {
                number: k,
                begins_at_s: 0.0,
                duration_s: 0.0,
                kind: FaultKind::Kill(k),
            })
        });
        sides[2].push(play(&operator).await?);
    }
    let of = |i: usize, figure: fn(&Side) -> f64| median(sides[i].iter().map(figure).collect());
    let all = |i: usize| Side {
        served_share: of(i, |s| s.served_share),
        p99_ms: of(i, |s| s.p99_ms),
        cpu_us: of(i, |s| s.cpu_us),
        rules_broken: sides[i].iter().map(|s| s.rules_broken).sum(),
    };
    let ratio = |i: usize, figure: fn(&Side) -> f64| {
        median(sides[i].iter().zip(&sides[0]).map(|(a, b)| figure(a) / figure(b).max(1e-9)).collect())
    };
    Ok(ClientImpact {
        without: all(0),
        killed: all(1),
        dead: all(2),
        p99_killed_ratio: ratio(1, |s| s.p99_ms),
        p99_dead_ratio: ratio(2, |s| s.p99_ms),
        served_dead_ratio: ratio(2, |s| s.served_share),
        changes_per_s: median(changes),
    })
}
