//! Measures how the replicated store affects the clients of dispatchers. The same traffic is run in three cases:
//! without a store, with replicas that are killed while many changes are made, and with all replicas dead. The cases
//! take turns over several rounds.

use super::client::{LeaderHint, StoreClient};
use super::cluster::Cluster;
use crate::clients::Outcome;
use crate::fault::schedule::{Fault, FaultKind};
use crate::quantile::{median, quantile};
use crate::run::{Run, RunResult};
use crate::workload::spec::RunSpec;
use anyhow::Result;
use serde::Serialize;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::time::{Instant, interval, sleep};

/// Replicas of the store.
const REPLICA_COUNT: usize = 3;
/// Rate of the changes requested from the store.
const CHANGES_PER_S: u64 = 500;
/// Number of clients that request the changes.
const CHANGE_CLIENTS: u64 = 16;
/// Interval between two kills of a replica.
const KILL_INTERVAL: Duration = Duration::from_secs(5);
/// Time for which a killed replica is down.
const REPLICA_DOWNTIME: Duration = Duration::from_millis(500);

/// Figures of the clients of dispatchers in one run.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ServingFigures {
    /// Share of the requests that were served.
    pub served_share: f64,
    /// Latency of the served requests, 99th percentile.
    pub p99_ms: f64,
    /// CPU time of the dispatchers per request, in microseconds.
    pub cpu_us: f64,
    /// Number of rules broken.
    pub rules_broken: usize,
}

/// Medians over all rounds. Ratios are taken round by round to the case without a store.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ClientImpact {
    /// Case without a store.
    pub without: ServingFigures,
    /// Case in which replicas are killed in turn while changes are made.
    pub killed: ServingFigures,
    /// Case in which all replicas are dead.
    pub dead: ServingFigures,
    /// Ratio of the 99th percentiles: replicas killed in turn to no store.
    pub p99_killed_ratio: f64,
    /// Ratio of the 99th percentiles: all replicas dead to no store.
    pub p99_dead_ratio: f64,
    /// Ratio of the served shares: all replicas dead to no store.
    pub served_dead_ratio: f64,
    /// Changes acknowledged per second while replicas were killed.
    pub changes_per_s: f64,
}

fn serving_figures(played: &RunResult) -> ServingFigures {
    let latencies_ms: Vec<f64> = played
        .results
        .iter()
        .filter_map(
            |result| if let Outcome::Served(after_s) = result.outcome { Some(after_s * 1e3) } else { None },
        )
        .collect();
    let requests = played.results.len().max(1) as f64;
    ServingFigures {
        served_share: latencies_ms.len() as f64 / requests,
        p99_ms: quantile(&latencies_ms, 0.99),
        cpu_us: played.cpu_s * 1e6 / requests,
        rules_broken: played.violations.len(),
    }
}

/// A kill of one replica that lasts until [`Cluster::end_fault`].
fn kill_fault(number: usize, index: usize) -> Fault {
    Fault { number, begins_at_s: 0.0, duration_s: 0.0, kind: FaultKind::Kill(index) }
}

/// Kills replicas in turn, for as long as the future is polled.
async fn kill_replicas_in_turn(cluster: &mut Cluster) -> Result<()> {
    for number in 0.. {
        sleep(KILL_INTERVAL).await;
        cluster.begin_fault(kill_fault(number, number % REPLICA_COUNT));
        sleep(REPLICA_DOWNTIME).await;
        cluster.end_fault(number)?;
    }
    Ok(())
}

/// Clients that change the state at a fixed rate until they are stopped.
#[derive(Default)]
struct ChangeLoad {
    stopping: AtomicBool,
    acknowledged: AtomicUsize,
}

impl ChangeLoad {
    async fn run(self: Arc<Self>, addresses: Vec<SocketAddr>) {
        let leader = LeaderHint::default();
        let start = |number| {
            let client = StoreClient::new(addresses.clone(), leader.clone());
            tokio::spawn(self.clone().run_client(client, number))
        };
        let clients: Vec<_> = (0..CHANGE_CLIENTS).map(start).collect();
        for client in clients {
            let _ = client.await;
        }
    }

    async fn run_client(self: Arc<Self>, mut client: StoreClient, number: u64) {
        let mut ticks = interval(Duration::from_micros(CHANGE_CLIENTS * 1_000_000 / CHANGES_PER_S));
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        for i in 0_u64.. {
            ticks.tick().await;
            if self.stopping.load(Ordering::Relaxed) {
                return;
            }
            // No dispatcher knows this worker: the mark is replicated but does not affect the traffic.
            let change = StoreClient::drain_command((number, i), &format!("none-{number}"), i % 2 == 0, "");
            if client.request(&change, Duration::from_secs(2)).await.is_ok() {
                self.acknowledged.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

/// Figures of each round, by case.
#[derive(Default)]
struct Rounds {
    without: Vec<ServingFigures>,
    killed: Vec<ServingFigures>,
    dead: Vec<ServingFigures>,
    changes_per_s: Vec<f64>,
}

impl Rounds {
    /// Runs all cases once.
    async fn run_round(&mut self, program: &Path, seconds: f64, round: usize, seed: u64) -> Result<()> {
        let run_spec = RunSpec { fault_rate: 0.0, ..RunSpec::mixed(seconds, 0.6) };
        let play = async |operator: &Value| {
            let run = Run { run_spec: &run_spec, seed, program, operator, supervisor: None };
            anyhow::Ok(serving_figures(&run.execute().await?))
        };
        self.without.push(play(&json!({})).await?);
        let folder =
            std::env::temp_dir().join(format!("pebblepost-harness-serving-{}-{round}", std::process::id()));
        let mut cluster = Cluster::start(program, REPLICA_COUNT, folder).await?;
        let operator = json!({"fleet": {"keepers": cluster.client_addresses_by_id()}});
        let changes = Arc::new(ChangeLoad::default());
        let changing = tokio::spawn(changes.clone().run(cluster.client_addresses()));
        let began = Instant::now();
        let killed = tokio::select! {
            killed = play(&operator) => killed?,
            ended = kill_replicas_in_turn(&mut cluster) => {
                anyhow::bail!("kills of replicas ended early: {ended:?}")
            }
        };
        changes.stopping.store(true, Ordering::Relaxed);
        let acknowledged = changes.acknowledged.load(Ordering::Relaxed);
        self.changes_per_s.push(acknowledged as f64 / began.elapsed().as_secs_f64());
        cluster.end_all_faults()?;
        changing.await?;
        self.killed.push(killed);
        (0..REPLICA_COUNT).for_each(|index| cluster.begin_fault(kill_fault(index, index)));
        self.dead.push(play(&operator).await?);
        Ok(())
    }

    fn summarize(&self) -> ClientImpact {
        ClientImpact {
            without: medians(&self.without),
            killed: medians(&self.killed),
            dead: medians(&self.dead),
            p99_killed_ratio: self.ratio(&self.killed, |figures| figures.p99_ms),
            p99_dead_ratio: self.ratio(&self.dead, |figures| figures.p99_ms),
            served_dead_ratio: self.ratio(&self.dead, |figures| figures.served_share),
            changes_per_s: median(&self.changes_per_s),
        }
    }

    /// Median of the ratios of a figure, round by round, to the case without a store.
    fn ratio(&self, rounds: &[ServingFigures], figure: fn(&ServingFigures) -> f64) -> f64 {
        let pairs = rounds.iter().zip(&self.without);
        let ratios = pairs.map(|(figures, without)| figure(figures) / figure(without).max(1e-9));
        median(&ratios.collect::<Vec<_>>())
    }
}

/// Medians of all figures except for `rules_broken`, which is summed.
fn medians(rounds: &[ServingFigures]) -> ServingFigures {
    let median_of =
        |figure: fn(&ServingFigures) -> f64| median(&rounds.iter().map(figure).collect::<Vec<_>>());
    ServingFigures {
        served_share: median_of(|figures| figures.served_share),
        p99_ms: median_of(|figures| figures.p99_ms),
        cpu_us: median_of(|figures| figures.cpu_us),
        rules_broken: rounds.iter().map(|figures| figures.rules_broken).sum(),
    }
}

/// Measures `rounds` rounds, with arrivals for `seconds` in each case.
///
/// # Errors
///
/// Returns an error if a process does not start.
pub async fn measure(program: &Path, seconds: f64, rounds: usize, seed: u64) -> Result<ClientImpact> {
    let mut all = Rounds::default();
    for round in 0..rounds.max(1) {
        all.run_round(program, seconds, round, seed + round as u64).await?;
    }
    Ok(all.summarize())
}
