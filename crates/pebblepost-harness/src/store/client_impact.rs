//! What the agreed store does to the clients of dispatchers: the same traffic without a store, with replicas that are killed
//! while many changes are made, and with all replicas dead. In turn, over several rounds.

use super::client::{Leader, StoreClient};
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
const REPLICAS: usize = 3;
/// Changes that are asked for in a second.
const CHANGES_PER_S: u64 = 500;
/// Clients that ask for them.
const CHANGING_CLIENTS: u64 = 16;
/// A replica is killed this often.
const KILL_INTERVAL: Duration = Duration::from_secs(5);
/// A killed replica is down for so long.
const DOWN_TIME: Duration = Duration::from_millis(500);

/// What clients got.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Side {
    /// Share of the requests that were served.
    pub served_share: f64,
    /// Latency of those, 99th percentile.
    pub p99_ms: f64,
    /// CPU of the dispatchers for each request.
    pub cpu_us: f64,
    /// Rules broken.
    pub rules_broken: usize,
}

/// Medians of all rounds, and of the ratios round by round to the side without a store.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ClientImpact {
    /// Without a store.
    pub without: Side,
    /// Replicas killed in turn while changes are made.
    pub killed: Side,
    /// All replicas dead.
    pub dead: Side,
    /// Ratio of the 99th percentiles, replicas killed to none.
    pub p99_killed_ratio: f64,
    /// The same with all replicas dead.
    pub p99_dead_ratio: f64,
    /// Ratio of the shares served, all replicas dead to none.
    pub served_dead_ratio: f64,
    /// Changes acknowledged in a second while replicas were killed.
    pub changes_per_s: f64,
}

fn side(played: &RunResult) -> Side {
    let latencies_ms: Vec<f64> = played
        .results
        .iter()
        .filter_map(|f| if let Outcome::Served(after) = f.outcome { Some(after * 1e3) } else { None })
        .collect();
    let requests = played.results.len().max(1) as f64;
    Side {
        served_share: latencies_ms.len() as f64 / requests,
        p99_ms: quantile(&latencies_ms, 0.99),
        cpu_us: played.cpu_s * 1e6 / requests,
        rules_broken: played.violations.len(),
    }
}

/// A kill of one replica that lasts until it is ended.
fn kill(number: usize, place: usize) -> Fault {
    Fault { number, begins_at_s: 0.0, duration_s: 0.0, kind: FaultKind::Kill(place) }
}

/// Kills replicas in turn, for as long as it is polled.
async fn kill_in_turn(cluster: &mut Cluster) -> Result<()> {
    for number in 0.. {
        sleep(KILL_INTERVAL).await;
        cluster.begin_fault(kill(number, number % REPLICAS));
        sleep(DOWN_TIME).await;
        cluster.end_fault(number)?;
    }
    Ok(())
}

/// Changes that are made at a rate until they are stopped.
#[derive(Default)]
struct Changes {
    stopping: AtomicBool,
    acknowledged: AtomicUsize,
}

impl Changes {
    async fn run(self: Arc<Self>, addresses: Vec<SocketAddr>) {
        let leader = Leader::default();
        let start = |number| {
            let client = StoreClient::new(addresses.clone(), leader.clone());
            tokio::spawn(self.clone().run_client(client, number))
        };
        let clients: Vec<_> = (0..CHANGING_CLIENTS).map(start).collect();
        for client in clients {
            let _ = client.await;
        }
    }

    async fn run_client(self: Arc<Self>, mut client: StoreClient, number: u64) {
        let mut ticks = interval(Duration::from_micros(CHANGING_CLIENTS * 1_000_000 / CHANGES_PER_S));
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        for i in 0_u64.. {
            ticks.tick().await;
            if self.stopping.load(Ordering::Relaxed) {
                return;
            }
            // A worker that no dispatcher knows: the mark is replicated and changes nothing here.
            let change = StoreClient::command((number, i), &format!("none-{number}"), i % 2 == 0, "");
            if client.request(&change, Duration::from_secs(2)).await.is_ok() {
                self.acknowledged.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

/// The sides of all rounds.
#[derive(Default)]
struct Rounds {
    without: Vec<Side>,
    killed: Vec<Side>,
    dead: Vec<Side>,
    changes_per_s: Vec<f64>,
}

impl Rounds {
    /// Plays all sides once.
    async fn play(&mut self, program: &Path, seconds: f64, round: usize, seed: u64) -> Result<()> {
        let run_spec = RunSpec { fault_rate: 0.0, ..RunSpec::mixed(seconds, 0.6) };
        let play = async |operator: &Value| {
            let run = Run { run_spec: &run_spec, seed, program, operator, supervisor: None };
            anyhow::Ok(side(&run.execute().await?))
        };
        self.without.push(play(&json!({})).await?);
        let folder =
            std::env::temp_dir().join(format!("pebblepost-harness-serving-{}-{round}", std::process::id()));
        let mut cluster = Cluster::start(program, REPLICAS, folder).await?;
        let operator = json!({"fleet": {"keepers": cluster.named_addresses()}});
        let changes = Arc::new(Changes::default());
        let changing = tokio::spawn(changes.clone().run(cluster.client_addresses()));
        let began = Instant::now();
        let killed = tokio::select! {
            killed = play(&operator) => killed?,
            ended = kill_in_turn(&mut cluster) => anyhow::bail!("the kills ended: {ended:?}"),
        };
        changes.stopping.store(true, Ordering::Relaxed);
        let acknowledged = changes.acknowledged.load(Ordering::Relaxed);
        self.changes_per_s.push(acknowledged as f64 / began.elapsed().as_secs_f64());
        cluster.end_all_faults()?;
        changing.await?;
        self.killed.push(killed);
        (0..REPLICAS).for_each(|place| cluster.begin_fault(kill(place, place)));
        self.dead.push(play(&operator).await?);
        Ok(())
    }

    fn report(&self) -> ClientImpact {
        ClientImpact {
            without: medians(&self.without),
            killed: medians(&self.killed),
            dead: medians(&self.dead),
            p99_killed_ratio: self.ratio(&self.killed, |side| side.p99_ms),
            p99_dead_ratio: self.ratio(&self.dead, |side| side.p99_ms),
            served_dead_ratio: self.ratio(&self.dead, |side| side.served_share),
            changes_per_s: median(&self.changes_per_s),
        }
    }

    /// Median of a figure's ratios, round by round, to the side without a store.
    fn ratio(&self, sides: &[Side], figure: fn(&Side) -> f64) -> f64 {
        let rounds = sides.iter().zip(&self.without);
        let ratios = rounds.map(|(side, without)| figure(side) / figure(without).max(1e-9));
        median(&ratios.collect::<Vec<_>>())
    }
}

/// The medians of all figures, but the sum of the rules broken.
fn medians(sides: &[Side]) -> Side {
    let of = |figure: fn(&Side) -> f64| median(&sides.iter().map(figure).collect::<Vec<_>>());
    Side {
        served_share: of(|side| side.served_share),
        p99_ms: of(|side| side.p99_ms),
        cpu_us: of(|side| side.cpu_us),
        rules_broken: sides.iter().map(|side| side.rules_broken).sum(),
    }
}

/// Measures so many rounds of `seconds` of arrivals on each side.
///
/// # Errors
///
/// If a process does not start.
pub async fn measure(program: &Path, seconds: f64, rounds: usize, seed: u64) -> Result<ClientImpact> {
    let mut all = Rounds::default();
    for round in 0..rounds.max(1) {
        all.play(program, seconds, round, seed + round as u64).await?;
    }
    Ok(all.report())
}
