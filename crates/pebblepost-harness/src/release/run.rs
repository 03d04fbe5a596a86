//! A release trial as a whole: replicas of the store, dispatchers with their clients and workers, releases,
//! maintenance and faults.

use super::dispatcher_faults::inject_faults;
use super::grant_audit::{self, GrantAudit};
use super::maintenance::WorkerMaintenance;
use super::operators::{Operators, apply};
use super::plan::{INITIAL_VERSION, Plan};
use super::progress::{DISPATCHER_PERMITS, Progress};
use super::rollout::run_releases;
use super::summary::{Summary, summarize};
use super::trial::Trial;
use crate::fault::schedule::Schedule;
use crate::run::{Run, RunResult};
use crate::store::client::StoreClient;
use crate::store::cluster::Cluster;
use crate::store::retry::retry_until;
use crate::supervisor::Supervisor;
use crate::sync::lock;
use anyhow::{Result, bail};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// First part of the ids of the requests that set budgets.
const BUDGET_REQUEST_ID_PREFIX: u64 = 30;
/// Time limit for all dispatchers to join the store.
const JOIN_TIMEOUT: Duration = Duration::from_secs(60);
/// No release is started in this many seconds before the end of the trial.
const RELEASE_STOP_BEFORE_END_S: f64 = 20.0;

/// Runs the maintenance crews until the trial stops. No two crews share a worker.
async fn maintain_workers(trial: Arc<Trial>) -> Result<()> {
    let drawn = crate::workload::plan::Plan::draw(&trial.plan.run_spec(), trial.plan.seed)?;
    let count = trial.plan.worker_budget as usize + 1;
    let crews = (0..count).map(|crew| {
        let of_crew = drawn.workers.iter().enumerate().skip(crew).step_by(count);
        let hosts: Vec<(usize, String)> =
            of_crew.map(|(number, worker)| (number, worker.host.clone())).collect();
        let (trial, seed) = (&trial, trial.plan.seed.wrapping_mul(65_537) ^ (crew as u64 + 1) << 32);
        async move {
            if hosts.is_empty() {
                return Ok(());
            }
            trial
                .maintenance
                .run_crew(&trial.operators, &trial.supervisor, &hosts, seed, &trial.stopping)
                .await
        }
    });
    futures_util::future::try_join_all(crews).await.map(drop)
}

/// Runs dispatchers, workers and clients.
async fn run_clients(
    plan: Plan, program: PathBuf, operator: Value, supervisor: Arc<Supervisor>,
) -> Result<RunResult> {
    let run_spec = plan.run_spec();
    let (run_spec, operator, supervisor) = (&run_spec, &operator, Some(supervisor.as_ref()));
    Run { run_spec, seed: plan.seed, program: &program, operator, supervisor }.execute().await
}

/// Sets the budgets that apply to releases and maintenance.
async fn set_budgets(client: &mut StoreClient, plan: &Plan) -> Result<()> {
    let dispatchers =
        json!({"most": {"count": plan.budget.total}, "most_in_zone": {"count": plan.budget.per_zone}});
    apply(client, (BUDGET_REQUEST_ID_PREFIX, 0), &json!({"budget": ["dispatcher", dispatchers]})).await?;
    let workers = json!({"most": {"count": plan.worker_budget}});
    apply(client, (BUDGET_REQUEST_ID_PREFIX, 1), &json!({"budget": ["worker", workers]})).await
}

async fn wait_until_joined(client: &mut StoreClient, dispatchers: usize) -> Result<()> {
    retry_until(JOIN_TIMEOUT, async || {
        let ready = Progress::read(client, "", DISPATCHER_PERMITS).await?.ready_members;
        if ready >= dispatchers {
            return Ok(());
        }
        bail!("{ready} of {dispatchers} dispatchers have joined and are ready")
    })
    .await
}

/// Injects faults until releases and maintenance must stop. Adds the faults of dispatchers to `counts`.
async fn run_faults(
    trial: &Trial, cluster: &mut Cluster, schedule: &Schedule, counts: &Mutex<BTreeMap<&'static str, usize>>,
) -> Result<()> {
    let stops_at =
        Instant::now() + Duration::from_secs_f64((trial.plan.seconds - RELEASE_STOP_BEFORE_END_S).max(5.0));
    let until_end = async {
        cluster.run_schedule(schedule, |_| {}).await?;
        sleep_until(stops_at).await;
        anyhow::Ok(())
    };
    if !trial.plan.faults {
        return until_end.await;
    }
    tokio::select! {
        ended = until_end => ended,
        () = inject_faults(trial, counts) => Ok(()),
    }
}

/// Runs a trial. Returns its figures and a description of each violation found.
///
/// # Errors
///
/// Returns an error if a process does not start, or does not respond once all faults are over.
pub async fn run_trial(plan: &Plan, program: &Path) -> Result<(Summary, Vec<String>)> {
    let folder =
        std::env::temp_dir().join(format!("pebblepost-harness-release-{}-{}", std::process::id(), plan.seed));
    let schedule = plan.schedule();
    let mut cluster = Cluster::start(program, plan.replicas, folder.clone()).await?;
    // Each dispatcher keeps its own copy of the state, so that a restart does not lose what it has confirmed.
    let copies = folder.join("copies");
    std::fs::create_dir_all(&copies)?;
    let operator = json!({
        "fleet": {"keepers": cluster.client_addresses_by_id(), "version": INITIAL_VERSION, "copy": copies},
    });
    let replicas = cluster.client_addresses();
    let supervisor = Arc::new(Supervisor::new(INITIAL_VERSION, replicas.clone()));
    let trial = Arc::new(Trial {
        plan: plan.clone(),
        operators: Operators { program: program.to_owned(), replicas, killed: Mutex::default() },
        supervisor: supervisor.clone(),
        stopping: AtomicBool::new(false),
        halts: Mutex::default(),
        maintenance: WorkerMaintenance::default(),
        audit: Mutex::new(GrantAudit::default()),
    });
    let mut client = trial.operators.client();
    set_budgets(&mut client, plan).await?;
    let played = tokio::spawn(run_clients(plan.clone(), program.to_owned(), operator, supervisor.clone()));
    wait_until_joined(&mut client, plan.dispatchers).await?;
    let releases = tokio::spawn(run_releases(trial.clone()));
    let maintenance = tokio::spawn(maintain_workers(trial.clone()));
    let auditor = tokio::spawn({
        let trial = trial.clone();
        async move { grant_audit::follow_changes(&trial.operators.replicas, &trial.audit).await }
    });
    let counts = Mutex::new(schedule.counts_by_name());
    run_faults(&trial, &mut cluster, &schedule, &counts).await?;
    trial.stopping.store(true, Ordering::Relaxed);
    cluster.end_all_faults()?;
    cluster.wait_for_replacement().await?;
    let mut found = Vec::new();
    let (releases, ended) = releases.await?;
    found.extend(ended.err().map(|error| error.to_string()));
    found.extend(maintenance.await?.err().map(|error| error.to_string()));
    auditor.abort();
    let stuck_permits = Progress::read(&mut client, "", "permit/").await?.permits;
    supervisor.finish();
    let played = played.await??;
    let faults = lock(&counts).clone();
    Ok(summarize(&trial, &played, releases, stuck_permits, faults, found))
}
