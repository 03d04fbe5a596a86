//! One measured run: a plan, real dispatchers, simulated workers, discovery and clients around them, and the checker after
//! it. Measurements and trials are made of runs.

use crate::checker::availability::slowest_drain;
use crate::checker::exits::{DispatcherExit, without_excused};
use crate::checker::limits::Limits;
use crate::checker::rules::{Rule, Violation, check};
use crate::checker::slow_start::cold_multiples;
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

/// A run that can be played.
#[derive(Clone)]
pub struct Run<'a> {
    /// What it consists of.
    pub run_spec: &'a RunSpec,
    /// The seed of its plan.
    pub seed: u64,
    /// The dispatchers' program.
    pub program: &'a Path,
    /// The dispatchers' operator file.
    pub operator: &'a Value,
    /// Restarts dispatchers whenever they end; `None`: nobody does.
    pub supervisor: Option<&'a Supervisor>,
}

/// A run that was played.
pub struct Played {
    /// All that was seen, without what exits of dispatchers excuse.
    pub log: Vec<Entry>,
    /// What was drawn.
    pub plan: Arc<Plan>,
    /// How each request went.
    pub results: Vec<RequestResult>,
    /// Rules broken.
    pub violations: Vec<Violation>,
    /// CPU of all dispatchers, in seconds.
    pub cpu_s: f64,
    /// Times from a dispatcher's start until it took clients.
    pub ready: Vec<Duration>,
    /// See [`slowest_drain`], in seconds.
    pub slowest_drain_s: f64,
    /// See [`cold_multiples`].
    pub cold_multiples: (f64, f64),
    /// Connections to workers.
    pub connections: ConnectionCounts,
    /// Calls to discovery.
    pub discovery_calls: u64,
}

impl Run<'_> {
    /// Plays it.
    ///
    /// # Errors
    ///
    /// If the spec can not be drawn, or a process does not start.
    pub async fn play(&self) -> Result<Played> {
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
                let restart = self.restart_many(&mut processes, &log);
                let (results, exits) = tokio::join!(clients.play(), restart);
                (results, exits?)
            }
            Some(supervisor) => self.play_supervised(supervisor, clients, &mut processes, &log).await?,
        };
        let cpu_s = processes.iter().map(DispatcherProcess::cpu_s).sum();
        let ready = processes.iter().flat_map(|process| process.ready.iter().copied()).collect();
        let (connections, discovery_calls) = (workers.connection_counts(), discovery.calls());
        let mut violations = crashed(&mut processes, log.now());
        tokio::task::block_in_place(|| drop(processes));
        simulated.iter().for_each(tokio::task::JoinHandle::abort);
        let (log, limits) = (without_excused(log.take(), &exits), Limits::default());
        violations.extend(check(&log, &limits));
        Ok(Played {
            slowest_drain_s: slowest_drain(&log, &limits),
            cold_multiples: cold_multiples(&log, &limits),
            log,
            plan,
            results,
            violations,
            cpu_s,
            ready,
            connections,
            discovery_calls,
        })
    }

    async fn start_dispatchers(
        &self, plan: &Plan, workers: &Arc<WorkerPool>, discovery: &Arc<Discovery>,
    ) -> Result<Vec<DispatcherProcess>> {
        let mut processes = Vec::new();
        for number in 0..self.run_spec.dispatchers {
            let address = discovery.open(listen(workers, number).await?).await?;
            let launch = Launch {
                program: self.program,
                number,
                of: self.run_spec.dispatchers,
                discovery: address,
                known: discovery.known(number),
                seed: self.seed.wrapping_mul(31).wrapping_add(number as u64),
                operator: self.operator,
                queue_order: plan.order.name(),
                folder: &std::env::temp_dir(),
            };
            processes.push(DispatcherProcess::start(&launch).await?);
        }
        Ok(processes)
    }

    /// Plays the clients while a supervisor keeps the dispatchers running.
    async fn play_supervised(
        &self, supervisor: &Supervisor, clients: Arc<Clients>, processes: &mut [DispatcherProcess],
        log: &EventLog,
    ) -> Result<(Vec<RequestResult>, Vec<DispatcherExit>)> {
        let workers = self.run_spec.workers;
        let each = processes.iter_mut().enumerate();
        let supervised = each.map(|(number, process)| supervisor.supervise(number, process, log, workers));
        let played = async {
            let results = clients.play().await;
            // What is being done to the dispatchers may take longer than their clients stay.
            supervisor.until_finished().await;
            results
        };
        let results = tokio::select! {
            results = played => results,
            ended = futures_util::future::try_join_all(supervised) => {
                anyhow::bail!("the supervisor ended: {:?}", ended.err())
            }
        };
        Ok((results, supervisor.exits()))
    }

    /// Kills some dispatchers at once and starts all of them again, each from the list that it had at first.
    async fn restart_many(
        &self, processes: &mut [DispatcherProcess], log: &EventLog,
    ) -> Result<Vec<DispatcherExit>> {
        let Some(MassRestart { at, share }) = self.run_spec.mass_restart else { return Ok(Vec::new()) };
        tokio::time::sleep(Duration::from_secs_f64(at)).await;
        let count = (share * processes.len() as f64).round() as usize;
        let from = log.now();
        processes.iter_mut().take(count).for_each(DispatcherProcess::kill);
        let restarts = processes.iter_mut().take(count).enumerate().map(|(dispatcher, process)| async move {
            for worker in 0..self.run_spec.workers {
                log.append(Event::Notified {
                    dispatcher,
                    worker,
                    availability: Availability::Ready { cold: false },
                });
            }
            process.start_again().await?;
            anyhow::Ok(DispatcherExit { dispatcher, from, back: log.now(), abrupt: true })
        });
        futures_util::future::try_join_all(restarts).await
    }
}

/// Dispatchers that ended by themselves.
fn crashed(processes: &mut [DispatcherProcess], now: f64) -> Vec<Violation> {
    let ended = processes.iter_mut().filter_map(|process| (!process.runs()).then_some(process.address));
    let violation =
        |address| Violation { rule: Rule::OneAnswer, at: now, what: format!("{address} has ended") };
    ended.map(violation).collect()
}
