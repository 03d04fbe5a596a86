//! A trial of the replicated store as a whole: a cluster under a schedule of faults, clients that change and read the
//! state, a follower and dispatchers that follow the changes, and the final consistency check.

use super::client::StoreClient;
use super::cluster::Cluster;
use super::consistency::{Verdict, check_consistency};
use super::follower::{FollowerState, drain_tags, follow_changes};
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

/// Time limit for the cluster to respond once all faults are over.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(60);
/// Time limit for the follower to catch up after that.
const FOLLOWER_CATCH_UP_TIMEOUT: Duration = Duration::from_secs(30);

/// Figures of a trial.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    /// Result of the consistency check.
    #[serde(flatten)]
    pub verdict: Verdict,
    /// Drains in the replicated state that the follower did not have at the end.
    pub drains_forgotten: usize,
    /// Operations whose outcome is unknown to the clients.
    pub unknown: usize,
    /// Number of kills of replicas.
    pub kills: usize,
    /// Disks that were lost or damaged, and replaced.
    pub disks_replaced: usize,
    /// Damaged disks that a replica refused to start on.
    pub disks_refused: usize,
    /// Share of the requests that the dispatchers served; `None` without dispatchers.
    pub served_share: Option<f64>,
    /// Faults by name.
    pub faults: BTreeMap<&'static str, usize>,
    /// Other violations: a gap at the follower, a replica that exited by itself or served from a truncated disk, or a
    /// rule broken by the dispatchers.
    pub rules_broken: usize,
    /// Latency of an acknowledged change, median.
    pub write_p50_ms: f64,
    /// Latency of an acknowledged change, 99th percentile.
    pub write_p99_ms: f64,
    /// Time from the kill of a leader to the next acknowledged change of any client, median.
    pub leader_gap_p50_ms: f64,
    /// Time from the kill of a leader to the next acknowledged change of any client, 99th percentile.
    pub leader_gap_p99_ms: f64,
    /// Bytes forwarded between replicas per acknowledged change.
    pub bytes_per_change: u64,
}

/// What the clients of dispatchers observed.
struct ServingResult {
    /// Share of their requests that was served.
    served_share: f64,
    /// Descriptions of the rules broken.
    violations: Vec<String>,
}

/// Runs dispatchers that follow the store through the same links as the clients, with simulated workers and clients.
async fn serve_requests(
    plan: Plan, program: PathBuf, replicas: serde_json::Map<String, Value>,
) -> Result<ServingResult> {
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
    Ok(ServingResult {
        served_share: served as f64 / played.results.len().max(1) as f64,
        violations: violations.collect(),
    })
}

/// State of the store at the end of a trial.
struct FinalState {
    revision: u64,
    drains: BTreeMap<String, String>,
}

/// Reads the state once all faults are over. The cluster must respond again by then.
async fn read_final_state(client: &mut StoreClient) -> Result<FinalState> {
    let state = retry_until(RECOVERY_TIMEOUT, async || {
        let reply = client.request(&json!({"get": []}), OPERATION_TIMEOUT).await?;
        let found = reply.get("found").with_context(|| format!("reply without state: {reply}"))?;
        let revision = found["revision"].as_u64().unwrap_or(0);
        Ok(FinalState { revision, drains: drain_tags(&found["entries"]) })
    });
    state.await.context("cluster does not respond after all faults have ended")
}

async fn wait_until_caught_up(follower: &Mutex<FollowerState>, revision: u64) -> Result<()> {
    retry_until(FOLLOWER_CATCH_UP_TIMEOUT, async || {
        let at = lock(follower).revision;
        if at >= revision {
            Ok(())
        } else {
            bail!("follower has not caught up: at revision {at} of {revision}")
        }
    })
    .await
}

/// Runs a trial. Returns its figures and a description of each violation found.
///
/// # Errors
///
/// Returns an error if a process does not start, or the cluster does not respond once all faults are over.
pub async fn run_trial(plan: &Plan, schedule: &Schedule, program: &Path) -> Result<(Summary, Vec<String>)> {
    let folder =
        std::env::temp_dir().join(format!("pebblepost-harness-store-{}-{}", std::process::id(), plan.seed));
    let mut cluster = Cluster::start(program, plan.replicas, folder).await?;
    let load = Arc::new(Load::new(plan.clone())?);
    let state = Arc::new(Mutex::new(FollowerState::default()));
    let follower = tokio::spawn(follow_changes(cluster.client_addresses(), state.clone()));
    let start_client = |number| {
        let (load, addresses) = (load.clone(), cluster.client_addresses());
        tokio::spawn(async move { LoadClient::new(&load, number, addresses).run().await })
    };
    let clients: Vec<_> = (0..plan.clients).map(start_client).collect();
    let serving = (plan.dispatchers > 0).then(|| {
        tokio::spawn(serve_requests(plan.clone(), program.to_owned(), cluster.client_addresses_by_id()))
    });
    let record_kill = |fault: &Fault| {
        if let FaultKind::Kill(index) = fault.kind {
            load.record_replica_kill(index);
        }
    };
    cluster.run_schedule(schedule, record_kill).await?;
    load.request_stop();
    cluster.end_all_faults()?;
    for client in clients {
        client.await?;
    }
    cluster
        .wait_for_replacement()
        .await
        .context("replacement replica did not become a voter after all faults had ended")?;
    let serving = match serving {
        Some(serving) => Some(serving.await??),
        None => None,
    };
    let mut client = StoreClient::new(cluster.client_addresses(), load.leader().clone());
    let final_state = read_final_state(&mut client).await?;
    let caught_up = wait_until_caught_up(&state, final_state.revision).await;
    follower.abort();
    cluster.restart_crashed()?;
    let state = lock(&state);
    let mut violations = state.gaps.clone();
    violations.extend(cluster.violations.clone());
    violations.extend(serving.iter().flat_map(|serving| serving.violations.clone()));
    violations.extend(caught_up.err().map(|error| error.to_string()));
    let drains_forgotten =
        final_state.drains.keys().filter(|worker| !state.drains.contains_key(*worker)).count();
    Ok(summarize(
        &load,
        &cluster,
        schedule,
        &final_state,
        drains_forgotten,
        serving.map(|serving| serving.served_share),
        violations,
    ))
}

/// Computes the figures of a trial and lists its violations. `violations` holds those found apart from the
/// consistency check.
fn summarize(
    load: &Load, cluster: &Cluster, schedule: &Schedule, final_state: &FinalState, drains_forgotten: usize,
    served_share: Option<f64>, violations: Vec<String>,
) -> (Summary, Vec<String>) {
    let operations: Vec<Operation> =
        load.history.take().into_iter().map(|(_, operation)| operation).collect();
    let verdict = check_consistency(&operations, &final_state.drains);
    let faults = schedule.counts_by_name();
    let mut found = verdict.found.clone();
    let rules_broken = violations.len();
    found.extend(violations);
    let summary = Summary {
        drains_forgotten,
        unknown: operations.iter().filter(|operation| operation.answer.is_none()).count(),
        kills: faults.get("kill").copied().unwrap_or(0),
        disks_replaced: cluster.disk_counts.replaced,
        disks_refused: cluster.disk_counts.refused,
        served_share,
        faults,
        rules_broken,
        write_p50_ms: load.change_latency_ms(0.5),
        write_p99_ms: load.change_latency_ms(0.99),
        leader_gap_p50_ms: load.leader_gap_ms(0.5),
        leader_gap_p99_ms: load.leader_gap_ms(0.99),
        bytes_per_change: cluster.bytes_forwarded() / verdict.committed.max(1) as u64,
        verdict,
    };
    (summary, found)
}
