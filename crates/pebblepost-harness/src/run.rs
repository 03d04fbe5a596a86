//! A measured run: it draws a plan, runs real dispatchers with simulated workers, discovery and clients around them, and checks
//! the event log at the end. All measurements consist of runs.

use crate::checker::availability::longest_drain_delay_s;
use crate::checker::exits::{DispatcherExit, remove_excused_events};
use crate::checker::limits::Limits;
use crate::checker::rules::{Rule, Violation, check};
use crate::checker::slow_start::cold_load_multiples;
use crate::clients::{Clients, RequestResult};
use crate::discovery::Discovery;
use crate::dispatcher::{DispatcherProcess, Launch};
use crate::event_log::{Availability, Entry, Event, EventLog};
use crate::supervisor::Supervisor;
use crate::worker::http::listen;
use crate::worker::pool::WorkerPool;
use crate::worker::simulated::ConnectionCounts;
use crate::workload::plan::Plan;
use crate::workload::spec::{MassRestart, RunSpec};
use anyhow::Result;
use serde_json::Value;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// The parameters of a run.
#[derive(Clone)]
pub struct Run<'a> {
    /// The parameters from which the plan is drawn.
    pub run_spec: &'a RunSpec,
    /// The seed of the plan.
    pub seed: u64,
    /// Path of the dispatchers' program.
    pub program: &'a Path,
    /// Content of the dispatchers' operator file.
    pub operator: &'a Value,
    /// Restarts dispatchers whenever they exit. With `None` only the mass restart of the spec does.
    pub supervisor: Option<&'a Supervisor>,
}

/// The result of a run.
pub struct RunResult {
    /// The event log, without the missing answers that exits of dispatchers account for.
    pub log: Vec<Entry>,
    /// The plan that was drawn.
    pub plan: Arc<Plan>,
    /// The result of each request, in the order in which the requests ended.
    pub results: Vec<RequestResult>,
    /// Violations of the rules.
    pub violations: Vec<Violation>,
    /// CPU time of all dispatchers, in seconds.
    pub cpu_s: f64,
    /// Times from each start of a dispatcher until it was ready.
    pub startup_times: Vec<Duration>,
    /// See [`longest_drain_delay_s`], in seconds.
    pub longest_drain_delay_s: f64,
    /// See [`cold_load_multiples`].
    pub cold_load_multiples: (f64, f64),
    /// Counts of the connections to workers.
    pub connections: ConnectionCounts,
    /// Number of calls to discovery.
    pub discovery_calls: u64,
}

impl Run<'_> {
    /// Executes the run.
    ///
    /// # Errors
    ///
    /// Returns an error if the plan can not be drawn, a process does not start or the supervisor fails.
    pub async fn execute(&self) -> Result<RunResult> {
        let plan = Arc::new(Plan::draw(self.run_spec, self.seed)?);
        let log = Arc::new(EventLog::default());
        let (changes, changed) = mpsc::unbounded_channel();
        let workers = WorkerPool::new(plan.clone(), log.clone(), changes);
        let discovery = Discovery::new(plan.clone(), log.clone());
        let mut processes = self.start_dispatchers(&plan, &workers, &discovery).await?;
        let simulated = [tokio::spawn(workers.clone().drive()), tokio::spawn(discovery.clone().run(changed))];
        let addresses: Vec<_> = processes.iter().map(|process| process.address).collect();
        let clients = Clients::new(plan.clone(), log.clone(), &addresses);
        let (results, exits) = match self.supervisor {
            None => {
                let restart = self.perform_mass_restart(&mut processes, &log);
                let (results, exits) = tokio::join!(clients.run(), restart);
                (results, exits?)
            }
            Some(supervisor) => self.run_supervised(supervisor, clients, &mut processes, &log).await?,
        };
        let cpu_s = processes.iter().map(DispatcherProcess::cpu_s).sum();
        let startup_times =
            processes.iter().flat_map(|process| process.startup_times.iter().copied()).collect();
        let (connections, discovery_calls) = (workers.connection_counts(), discovery.calls());
        let mut violations = unexpected_exits(&mut processes, log.now());
        tokio::task::block_in_place(|| drop(processes));
        simulated.iter().for_each(tokio::task::JoinHandle::abort);
        let (log, limits) = (remove_excused_events(log.take(), &exits), Limits::default());
        violations.extend(check(&log, &limits));
        Ok(RunResult {
            longest_drain_delay_s: longest_drain_delay_s(&log, &limits),
            cold_load_multiples: cold_load_multiples(&log, &limits),
            log,
            plan,
            results,
            violations,
            cpu_s,
            startup_times,
            connections,
            discovery_calls,
        })
    }

    async fn start_dispatchers(
        &self, plan: &Plan, workers: &Arc<WorkerPool>, discovery: &Arc<Discovery>,
    ) -> Result<Vec<DispatcherProcess>> {
        let mut processes = Vec::new();
        for number in 0..self.run_spec.dispatchers {
            let address = discovery.listen(listen(workers, number).await?).await?;
            let launch = Launch {
                program: self.program,
                number,
                dispatcher_count: self.run_spec.dispatchers,
                discovery: address,
                known_workers: discovery.known_workers(number),
                seed: self.seed.wrapping_mul(31).wrapping_add(number as u64),
                operator: self.operator,
                queue_order: plan.order.name(),
                directory: &std::env::temp_dir(),
            };
            processes.push(DispatcherProcess::start(&launch).await?);
        }
        Ok(processes)
    }

    /// Runs the clients while a supervisor keeps the dispatchers running.
    async fn run_supervised(
        &self, supervisor: &Supervisor, clients: Arc<Clients>, processes: &mut [DispatcherProcess],
        log: &EventLog,
    ) -> Result<(Vec<RequestResult>, Vec<DispatcherExit>)> {
        let workers = self.run_spec.workers;
        let each = processes.iter_mut().enumerate();
        let supervised = each.map(|(number, process)| supervisor.supervise(number, process, log, workers));
        let run_clients = async {
            let results = clients.run().await;
            // Faults and releases may take longer than the arrivals of the clients.
            supervisor.wait_until_finished().await;
            results
        };
        let results = tokio::select! {
            results = run_clients => results,
            ended = futures_util::future::try_join_all(supervised) => {
                anyhow::bail!("the supervisor failed while clients were running: {:?}", ended.err())
            }
        };
        Ok((results, supervisor.exits()))
    }

    /// Performs the mass restart of the spec: kills a share of the dispatchers at once and starts all of them again, each with its
    /// initial list of workers.
    async fn perform_mass_restart(
        &self, processes: &mut [DispatcherProcess], log: &EventLog,
    ) -> Result<Vec<DispatcherExit>> {
        let Some(MassRestart { at, share }) = self.run_spec.mass_restart else { return Ok(Vec::new()) };
        tokio::time::sleep(Duration::from_secs_f64(at)).await;
        let count = (share * processes.len() as f64).round() as usize;
        let ended_at_s = log.now();
        processes.iter_mut().take(count).for_each(DispatcherProcess::kill);
        let restarts = processes.iter_mut().take(count).enumerate().map(|(dispatcher, process)| async move {
            for worker in 0..self.run_spec.workers {
                log.append(Event::Notified {
                    dispatcher,
                    worker,
                    availability: Availability::Ready { cold: false },
                });
            }
            process.restart().await?;
            anyhow::Ok(DispatcherExit { dispatcher, ended_at_s, serving_again_at_s: log.now(), abrupt: true })
        });
        futures_util::future::try_join_all(restarts).await
    }
}

/// Returns a violation for each dispatcher that has exited on its own.
fn unexpected_exits(processes: &mut [DispatcherProcess], now: f64) -> Vec<Violation> {
    let ended = processes.iter_mut().filter_map(|process| (!process.is_running()).then_some(process.address));
    let violation = |address| Violation {
        rule: Rule::OneAnswer,
        at: now,
        what: format!("the dispatcher at {address} exited during the run"),
    };
    ended.map(violation).collect()
}
