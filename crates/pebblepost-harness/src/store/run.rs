//! A trial of the agreed store as a whole: a cluster under a schedule of faults while clients change and read, a follower and
//! dispatchers follow, and the judgement.

use super::client::StoreClient;
use super::cluster::Cluster;
use super::consistency::{Verdict, judge};
use super::follower::{FollowerState, drains, follow};
use super::history::Operation;
use super::load::{Load, LoadClient, OPERATION_TIMEOUT};
use super::plan::Plan;
use super::retry::retry_until;
use crate::clients::Outcome;
use crate::fault::schedule::{Fault, FaultKind, Schedule};
use crate::run::Run;
use crate::sync::lock;
use crate::workload::spec::RunSpec;
use anyhow::{Context, Result, bail};
use serde::Serialize;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The cluster must answer within this once all faults are over.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);
/// The follower must have caught up within this after that.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(30);

/// The figures of a trial.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    /// The judgement.
    #[serde(flatten)]
    pub verdict: Verdict,
    /// Drains in the agreed state that a follower did not have at the end.
    pub drains_forgotten: usize,
    /// Operations whose outcome the clients do not know.
    pub unknown: usize,
    /// Replicas killed.
    pub kills: usize,
    /// Disks that were lost or damaged, and replaced.
    pub disks_replaced: usize,
    /// Those of them that a replica refused to start on, by name.
    pub disks_refused: usize,
    /// Share of the requests that the dispatchers served; `None` without dispatchers.
    pub served_share: Option<f64>,
    /// Faults by kind.
    pub faults: BTreeMap<&'static str, usize>,
    /// What else was wrong: a gap of the follower, a replica that ended by itself or served a truncated disk, a rule of the
    /// dispatchers.
    pub rules_broken: usize,
    /// Time of an acknowledged change, median and 99th percentile.
    pub write_p50_ms: f64,
    /// See `write_p50_ms`.
    pub write_p99_ms: f64,
    /// From the kill of a leader to the next acknowledged change anywhere.
    pub leader_gap_p50_ms: f64,
    /// See `leader_gap_p50_ms`.
    pub leader_gap_p99_ms: f64,
    /// Bytes between replicas for each acknowledged change.
    pub bytes_per_change: u64,
}

/// What the clients of dispatchers saw.
struct Serving {
    /// Share of their requests that was served.
    served_share: f64,
    /// Rules broken, in words.
    violations: Vec<String>,
}

/// Dispatchers that follow the store through the same links as the clients, with simulated workers and clients around them.
async fn serve_requests(
    plan: Plan, program: PathBuf, replicas: serde_json::Map<String, Value>,
) -> Result<Serving> {
    let operator = json!({"fleet": {"keepers": replicas}});
    let run_spec =
        RunSpec { dispatchers: plan.dispatchers, fault_rate: 0.0, ..RunSpec::mixed(plan.seconds, 0.6) };
    let run = Run {
        run_spec: &run_spec,
        seed: plan.seed,
        program: &program,
        operator: &operator,
        supervisor: None,
    };
    let played = run.execute().await?;
    let served = played.results.iter().filter(|result| matches!(result.outcome, Outcome::Served(_))).count();
    let violations =
        played.violations.iter().map(|violation| format!("{:?}: {}", violation.rule, violation.what));
    Ok(Serving {
        served_share: served as f64 / played.results.len().max(1) as f64,
        violations: violations.collect(),
    })
}

/// The state at the end.
struct FinalState {
    revision: u64,
    drains: BTreeMap<String, String>,
}

/// Reads the state once all faults are over: the cluster must answer again.
async fn read_final_state(client: &mut StoreClient) -> Result<FinalState> {
    let state = retry_until(ANSWER_TIMEOUT, async || {
        let reply = client.request(&json!({"get": []}), OPERATION_TIMEOUT).await?;
        let found = reply.get("found").with_context(|| reply.to_string())?;
        let revision = found["revision"].as_u64().unwrap_or(0);
        Ok(FinalState { revision, drains: drains(&found["entries"]) })
    });
    state.await.context("the cluster does not answer after all faults")
}

async fn wait_until_caught_up(follower: &Mutex<FollowerState>, revision: u64) -> Result<()> {
    retry_until(CATCH_UP_TIMEOUT, async || {
        let at = lock(follower).revision;
        if at >= revision { Ok(()) } else { bail!("the follower stays at {at} of {revision}") }
    })
    .await
}

/// Runs a trial. Returns its figures and, in words, what was found to be wrong.
///
/// # Errors
///
/// If a process does not start, or the cluster does not answer once all faults are over.
pub async fn run(plan: &Plan, schedule: &Schedule, program: &Path) -> Result<(Summary, Vec<String>)> {
    let folder =
        std::env::temp_dir().join(format!("pebblepost-harness-store-{}-{}", std::process::id(), plan.seed));
    let mut cluster = Cluster::start(program, plan.replicas, folder).await?;
    let load = Arc::new(Load::new(plan.clone())?);
    let state = Arc::new(Mutex::new(FollowerState::default()));
    let follower = tokio::spawn(follow(cluster.client_addresses(), state.clone()));
    let start_client = |number| {
        let (load, addresses) = (load.clone(), cluster.client_addresses());
        tokio::spawn(async move { LoadClient::new(&load, number, addresses).run().await })
    };
    let clients: Vec<_> = (0..plan.clients).map(start_client).collect();
    let serving = (plan.dispatchers > 0)
        .then(|| tokio::spawn(serve_requests(plan.clone(), program.to_owned(), cluster.named_addresses())));
    let note_kill = |fault: &Fault| {
        if let FaultKind::Kill(place) = fault.kind {
            load.replica_killed(place);
        }
    };
    cluster.play(schedule, note_kill).await?;
    load.stop();
    cluster.end_all_faults()?;
    for client in clients {
        client.await?;
    }
    cluster
        .wait_for_replacement()
        .await
        .context("a replica with a new disk has not joined after all faults")?;
    let serving = match serving {
        Some(serving) => Some(serving.await??),
        None => None,
    };
    let mut client = StoreClient::new(cluster.client_addresses(), load.leader().clone());
    let end = read_final_state(&mut client).await?;
    let caught_up = wait_until_caught_up(&state, end.revision).await;
    follower.abort();
    cluster.restart_crashed()?;
    let state = lock(&state);
    let mut broken = state.gaps.clone();
    broken.extend(cluster.crashed.clone());
    broken.extend(serving.iter().flat_map(|serving| serving.violations.clone()));
    broken.extend(caught_up.err().map(|error| error.to_string()));
    let forgotten = end.drains.keys().filter(|worker| !state.drains.contains_key(*worker)).count();
    Ok(summarize(
        &load,
        &cluster,
        schedule,
        &end,
        forgotten,
        serving.map(|serving| serving.served_share),
        broken,
    ))
}

/// The figures of a trial, and what was found. `broken`: what else was wrong.
fn summarize(
    load: &Load, cluster: &Cluster, schedule: &Schedule, end: &FinalState, drains_forgotten: usize,
    served_share: Option<f64>, broken: Vec<String>,
) -> (Summary, Vec<String>) {
    let operations: Vec<Operation> =
        load.history.take().into_iter().map(|(_, operation)| operation).collect();
    let verdict = judge(&operations, &end.drains);
    let faults = schedule.counts_by_name();
    let mut found = verdict.found.clone();
    let rules_broken = broken.len();
    found.extend(broken);
    let summary = Summary {
        drains_forgotten,
        unknown: operations.iter().filter(|operation| operation.answer.is_none()).count(),
        kills: faults.get("kill").copied().unwrap_or(0),
        disks_replaced: cluster.disks.replaced,
        disks_refused: cluster.disks.refused,
        served_share,
        faults,
        rules_broken,
        write_p50_ms: load.change_ms(0.5),
        write_p99_ms: load.change_ms(0.99),
        leader_gap_p50_ms: load.leader_gap_ms(0.5),
        leader_gap_p99_ms: load.leader_gap_ms(0.99),
        bytes_per_change: cluster.bytes_forwarded() / verdict.committed.max(1) as u64,
        verdict,
    };
    (summary, found)
}
