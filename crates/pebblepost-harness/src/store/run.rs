//! `rig store`: a group under a schedule of faults while desks change and read, and the judgement.

use super::client::{Connection, Leader, StoreClient, tag};
use super::cluster::{Cluster, retry_until};
use super::consistency::{Verdict, judge};
use super::history::{Operation, OperationHistory, OperationKind};
use crate::clients::Outcome;
use crate::fault::schedule::{Fault, FaultKind, Schedule, ScheduleParameters};
use crate::run::Run;
use crate::sync::lock;
use crate::workload::spec::RunSpec;
use anyhow::{Context, Result};
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};

/// An operation is given up after this; it is then not known whether it was done.
const PATIENCE: Duration = Duration::from_secs(4);
/// A desk holds so many marks of its own before it takes the oldest back.
const HELD: usize = 200;
/// Operations on one contended mark before the desks go on to the next: few enough that all orders can be tried.
const CONTENDED: u64 = 14;

/// What is asked for.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Keepers.
    pub replicas: usize,
    /// Desks at work at the same time.
    pub clients: usize,
    /// Seconds of work under faults.
    pub seconds: f64,
    /// The seed.
    pub seed: u64,
    /// Pause between two operations of a desk, in milliseconds.
    pub pause_ms: u64,
    /// Dispatchers that follow the group while clients ask them for work; 0: none.
    pub dispatchers: usize,
}

/// What came of it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    /// The judgement.
    #[serde(flatten)]
    pub verdict: Verdict,
    /// Drains in the agreed state that a follower did not have at the end.
    pub drains_forgotten: usize,
    /// Operations whose outcome the desks do not know.
    pub unknown: usize,
    /// Keepers killed.
    pub kills: usize,
    /// Disks of keepers that were lost and replaced, and those of them that were damaged and refused by name before.
    pub disks_replaced: usize,
    /// See `disks_replaced`.
    pub disks_refused: usize,
    /// Part of the clients' requests that the dispatchers served; `None` without dispatchers.
    pub served_share: Option<f64>,
    /// Faults by kind.
    pub faults: BTreeMap<&'static str, usize>,
    /// What else broke: a follower's gap, a keeper that ended by itself or served a torn disk, a rule of the dispatchers.
    pub rules_broken: usize,
    /// Time of an acknowledged change, median and 99th percentile.
    pub write_p50_ms: f64,
    /// See `write_p50_ms`.
    pub write_p99_ms: f64,
    /// From the kill of a leader to the next acknowledged change anywhere.
    pub leader_gap_p50_ms: f64,
    /// See `leader_gap_p50_ms`.
    pub leader_gap_p99_ms: f64,
    /// Bytes between keepers for each acknowledged change.
    pub bytes_per_change: u64,
}

struct Shared {
    plan: Plan,
    history: OperationHistory,
    leader: Leader,
    stop: AtomicBool,
    contended: AtomicU64,
    /// Marks acknowledged lately, for reads that must see them.
    fresh: Mutex<VecDeque<String>>,
    writes: Mutex<Histogram<u64>>,
    /// When a leader was killed, until a change is acknowledged; and the gaps so far, in milliseconds.
    gap: Mutex<(Option<Instant>, Vec<f64>)>,
}

async fn change(
    shared: &Shared, client: &mut StoreClient, id: (u64, u64), worker: &str, kind: OperationKind,
) -> bool {
    let (drain, name) = match &kind {
        OperationKind::Drain(tag) => (true, tag.as_str()),
        _ => (false, ""),
    };
    let command = StoreClient::command(id, worker, drain, name);
    let (asked, began) = (shared.history.now(), Instant::now());
    let reply = client.ask(&command, PATIENCE).await;
    let done = reply.is_ok_and(|reply| reply.pointer("/answer/Ok").is_some());
    if done {
        let _ = lock(&shared.writes).record(began.elapsed().as_micros() as u64);
        let mut gap = lock(&shared.gap);
        // Only what was asked after the kill tells that the group goes on.
        if let Some(killed) = gap.0.filter(|killed| began > *killed) {
            gap.0 = None;
            gap.1.push(killed.elapsed().as_secs_f64() * 1e3);
        }
    }
    let answered = done.then(|| (shared.history.now(), None));
    shared.history.append(Operation { worker: worker.to_owned(), kind, asked, answered });
    done
}

async fn read(shared: &Shared, client: &mut StoreClient, worker: &str) {
    let asked = shared.history.now();
    if let Ok(found) = client.read(worker, PATIENCE).await {
        let answered = Some((shared.history.now(), found));
        shared.history.append(Operation {
            worker: worker.to_owned(),
            kind: OperationKind::Read,
            asked,
            answered,
        });
    }
}

/// One desk at work until it is told to stop.
async fn work(shared: Arc<Shared>, number: usize, addresses: Vec<SocketAddr>) {
    let mut rng = Pcg64Mcg::seed_from_u64(shared.plan.seed.wrapping_mul(1_000) ^ number as u64);
    let mut client = StoreClient::new(addresses, shared.leader.clone());
    let mut own: VecDeque<String> = VecDeque::new();
    let mut next = 0_u64;
    while !shared.stop.load(Ordering::Relaxed) {
        next += 1;
        if rng.random_bool(0.2) {
            client.turn_to(rng.random_range(0..shared.plan.replicas)); // One that led may still think that it does.
        }
        let id = (number as u64 + 1, next);
        match rng.random_range(0..10) {
            0..5 => {
                let worker = format!("w-{number}-{next}");
                if change(&shared, &mut client, id, &worker, OperationKind::Drain(format!("t{next}"))).await {
                    own.push_back(worker.clone());
                    let mut fresh = lock(&shared.fresh);
                    fresh.push_back(worker);
                    if fresh.len() > 32 {
                        fresh.pop_front();
                    }
                }
                if own.len() > HELD
                    && let Some(oldest) = own.pop_front()
                {
                    change(&shared, &mut client, (id.0, id.1 | 1 << 60), &oldest, OperationKind::Undrain)
                        .await;
                }
            }
            5..7 => {
                let some = {
                    let fresh = lock(&shared.fresh);
                    (!fresh.is_empty()).then(|| fresh[rng.random_range(0..fresh.len())].clone())
                };
                if let Some(worker) = some {
                    read(&shared, &mut client, &worker).await;
                }
            }
            what => {
                let turn = shared.contended.fetch_add(1, Ordering::Relaxed) / CONTENDED;
                let worker = format!("c-{turn}");
                match what {
                    7 => drop(
                        change(
                            &shared,
                            &mut client,
                            id,
                            &worker,
                            OperationKind::Drain(format!("t{number}-{next}")),
                        )
                        .await,
                    ),
                    8 => drop(change(&shared, &mut client, id, &worker, OperationKind::Undrain).await),
                    _ => read(&shared, &mut client, &worker).await,
                }
            }
        }
        sleep(Duration::from_millis(shared.plan.pause_ms)).await;
    }
}

/// A follower's copy of the drains, and what was wrong with the news it got.
#[derive(Default)]
struct Copy {
    revision: u64,
    drains: BTreeMap<String, String>,
    wrong: Vec<String>,
}

impl Copy {
    fn take(&mut self, reply: &Value) {
        if let Some(snapshot) = reply.get("snapshot") {
            let revision = snapshot["revision"].as_u64().unwrap_or(0);
            if revision >= self.revision {
                self.revision = revision;
                self.drains = drains(&snapshot["entries"]);
            }
        }
        for change in reply.get("changes").and_then(Value::as_array).into_iter().flatten() {
            let revision = change["revision"].as_u64().unwrap_or(0);
            if revision <= self.revision {
                continue; // From a keeper that is behind.
            }
            if revision != self.revision + 1 {
                self.wrong.push(format!("change {revision} came after {}", self.revision));
            }
            self.revision = revision;
            for item in change["items"].as_array().into_iter().flatten() {
                let Some(worker) = item[0].as_str().and_then(|k| k.strip_prefix("drain/")) else { continue };
                match tag(Some(&json!({"value": item[1]}))) {
                    Some(tag) => drop(self.drains.insert(worker.to_owned(), tag)),
                    None => drop(self.drains.remove(worker)),
                }
            }
        }
    }
}

fn drains(entries: &Value) -> BTreeMap<String, String> {
    let entries = entries.as_object().into_iter().flatten();
    let drain = |(key, entry): (&String, &Value)| {
        Some((key.strip_prefix("drain/")?.to_owned(), tag(Some(entry)).unwrap_or_default()))
    };
    entries.filter_map(drain).collect()
}

/// Follows all changes at one keeper after another, resuming at its own revision, until told to stop.
async fn follow(addresses: Vec<SocketAddr>, copy: Arc<Mutex<Copy>>) {
    for address in addresses.iter().cycle() {
        let from = lock(&copy).revision;
        let session = async {
            let mut frames = timeout(Duration::from_secs(1), Connection::open(*address)).await??;
            frames.send(&json!({"watch": from})).await?;
            loop {
                let reply = timeout(Duration::from_millis(1_500), frames.next()).await??;
                lock(&copy).take(&reply);
            }
        };
        let _: Result<()> = session.await;
        sleep(Duration::from_millis(50)).await;
    }
}

/// What the clients of dispatchers saw: the part of their requests that was served, and the rules broken.
type Served = (f64, Vec<String>);

/// Dispatchers that follow the group through the same wires as the desks, with stand-in workers and clients around them.
async fn serving(plan: Plan, program: PathBuf, replicas: Vec<SocketAddr>) -> Result<Served> {
    let named = |(i, at): (usize, &SocketAddr)| ((i + 1).to_string(), json!(at));
    let replicas: serde_json::Map<_, _> = replicas.iter().enumerate().map(named).collect();
    let operator = json!({"fleet": {"keepers": replicas}});
    let dispatchers = plan.dispatchers;
    let run_spec = RunSpec { dispatchers, fault_rate: 0.0, ..RunSpec::mixed(plan.seconds, 0.6) };
    let run = Run {
        run_spec: &run_spec,
        seed: plan.seed,
        program: &program,
        operator: &operator,
        supervisor: None,
    };
    let played = run.play().await?;
    let served = played.results.iter().filter(|f| matches!(f.outcome, Outcome::Served(_))).count();
    let broken = played.violations.iter().map(|b| format!("{:?}: {}", b.rule, b.what)).collect();
    Ok((served as f64 / played.results.len().max(1) as f64, broken))
}

/// Draws the schedule of a plan.
pub fn schedule(plan: &Plan) -> Schedule {
    let mean_interval_s = 0.85;
    Schedule::draw(
        ScheduleParameters {
            processes: plan.replicas,
            seconds: plan.seconds,
            mean_interval_s,
            longest_s: 2.0,
        },
        plan.seed,
    )
}

/// Runs it. Returns the figures and what was found, in words.
pub async fn run(plan: &Plan, schedule: &Schedule, program: &Path) -> Result<(Summary, Vec<String>)> {
    let folder =
        std::env::temp_dir().join(format!("pebblepost-harness-store-{}-{}", std::process::id(), plan.seed));
    let mut cluster = Cluster::start(program, plan.replicas, folder).await?;
    let shared = Arc::new(Shared {
        plan: plan.clone(),
        history: OperationHistory::default(),
        leader: Leader::default(),
        stop: AtomicBool::new(false),
        contended: AtomicU64::new(0),
        fresh: Mutex::default(),
        writes: Mutex::new(Histogram::new(3)?),
        gap: Mutex::default(),
    });
    let copy = Arc::new(Mutex::new(Copy::default()));
    let follower = tokio::spawn(follow(cluster.client_addresses(), copy.clone()));
    let clients: Vec<_> = (0..plan.clients)
        .map(|n| tokio::spawn(work(shared.clone(), n, cluster.client_addresses())))
        .collect();
    let serving = (plan.dispatchers > 0)
        .then(|| tokio::spawn(serving(plan.clone(), program.to_owned(), cluster.client_addresses())));
    let leader_killed = |fault: &Fault| {
        if fault.kind == FaultKind::Kill(shared.leader.load(Ordering::Relaxed)) {
            lock(&shared.gap).0.get_or_insert_with(Instant::now);
        }
    };
    cluster.play(schedule, leader_killed).await?;
    shared.stop.store(true, Ordering::Relaxed);
    cluster.end_all_faults()?;
    for client in clients {
        client.await?;
    }
    cluster
        .wait_for_replacement()
        .await
        .context("a keeper with a new disk is not taken in after all faults")?;
    let served = match serving {
        Some(serving) => Some(serving.await??),
        None => None,
    };
    // All faults are over: the group must answer again, and the follower must come to the same.
    let mut client = StoreClient::new(cluster.client_addresses(), shared.leader.clone());
    let (revision, end) = retry_until(Duration::from_secs(60), async || {
        let reply = client.ask(&json!({"get": []}), PATIENCE).await?;
        let found = reply.get("found").with_context(|| reply.to_string())?;
        Ok((found["revision"].as_u64().unwrap_or(0), drains(&found["entries"])))
    })
    .await
    .context("the group does not answer after all faults")?;
    let caught_up = retry_until(Duration::from_secs(30), async || {
        let at = lock(&copy).revision;
        if at >= revision { Ok(()) } else { anyhow::bail!("the follower stays at {at} of {revision}") }
    });
    let caught_up = caught_up.await;
    follower.abort();
    cluster.restart_crashed()?;
    let copy = lock(&copy);
    let seen: Vec<Operation> = shared.history.take().into_iter().map(|(_, seen)| seen).collect();
    let verdict = judge(&seen, &end);
    let mut broken = copy.wrong.clone();
    broken.extend(cluster.crashed.clone());
    broken.extend(served.iter().flat_map(|(_, rules)| rules.clone()));
    broken.extend(caught_up.err().map(|e| e.to_string()));
    let forgotten: Vec<&String> = end.keys().filter(|w| !copy.drains.contains_key(*w)).collect();
    let (writes, gaps) = (lock(&shared.writes), lock(&shared.gap).1.clone());
    let ms = |part: f64| writes.value_at_quantile(part) as f64 / 1e3;
    let gap = |part: f64| {
        let mut sorted = gaps.clone();
        sorted.sort_by(f64::total_cmp);
        sorted.get(((sorted.len() as f64 * part).ceil() as usize).saturating_sub(1)).copied().unwrap_or(0.0)
    };
    let faults = schedule.counts_by_name();
    let mut found = verdict.found.clone();
    found.extend(broken.iter().cloned());
    let summary = Summary {
        drains_forgotten: forgotten.len(),
        unknown: seen.iter().filter(|s| s.answered.is_none()).count(),
        kills: faults.get("kill").copied().unwrap_or(0),
        disks_replaced: cluster.disks.0,
        disks_refused: cluster.disks.1,
        served_share: served.map(|(share, _)| share),
        faults,
        rules_broken: broken.len(),
        write_p50_ms: ms(0.5),
        write_p99_ms: ms(0.99),
        leader_gap_p50_ms: gap(0.5),
        leader_gap_p99_ms: gap(0.99),
        bytes_per_change: cluster.bytes_forwarded() / verdict.committed.max(1) as u64,
        verdict,
    };
    Ok((summary, found))
}
