//! One measured run: a plan, real dispatchers, stand-ins around them, and the checker after it.

use crate::checker::availability::slowest_drain;
use crate::checker::exits::{DispatcherExit, without_excused};
use crate::checker::rules::{Limits, Rule, Violation, check};
use crate::checker::slow_start::cold_multiples;
use crate::clients::{Clients, Fate};
use crate::discovery::Discovery;
use crate::dispatcher::{Process, Start};
use crate::event_log::{Availability, Entry, Event, EventLog};
use crate::supervisor::Supervisor;
use crate::worker::http::listen;
use crate::worker::pool::WorkerPool;
use crate::worker::simulated::ConnectionCounts;
use crate::workload::plan::Plan;
use crate::workload::spec::{MassRestart, QueueOrder, RunSpec};
use anyhow::Result;
use serde_json::Value;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// What a run is made of.
#[derive(Clone)]
pub struct Run<'a> {
    /// The scenario.
    pub run_spec: &'a RunSpec,
    /// The seed.
    pub seed: u64,
    /// The program.
    pub program: &'a Path,
    /// The dispatchers' operator's file.
    pub operator: &'a Value,
    /// Who starts them again, whenever they end.
    pub supervisor: Option<&'a Supervisor>,
}

/// What came of it.
pub struct Played {
    /// All that was seen.
    pub event: Vec<Entry>,
    /// What was asked.
    pub plan: Arc<Plan>,
    /// How each request went.
    pub fates: Vec<Fate>,
    /// Rules broken.
    pub broken: Vec<Violation>,
    /// CPU of all dispatchers, in seconds.
    pub cpu: f64,
    /// Times from a dispatcher's start until it took clients.
    pub ready: Vec<Duration>,
    /// See [`slowest_drain`], in seconds.
    pub slowest_drain: f64,
    /// See [`cold_multiples`].
    pub cold_multiples: (f64, f64),
    /// What was counted at the workers.
    pub counts: ConnectionCounts,
    /// Calls to discovery.
    pub discovery_calls: u64,
}

impl Run<'_> {
    /// Plays it.
    pub async fn play(&self) -> Result<Played> {
        let plan = Arc::new(Plan::draw(self.run_spec, self.seed)?);
        let log = Arc::new(EventLog::default());
        let (changes, changed) = mpsc::unbounded_channel();
        let fleet = WorkerPool::new(plan.clone(), log.clone(), changes);
        let discovery = Discovery::new(plan.clone(), log.clone());
        let mut processes = Vec::new();
        let order = match plan.order {
            QueueOrder::Fifo => "fifo",
            QueueOrder::Backfill => "backfill",
        };
        for number in 0..self.run_spec.dispatchers {
            let address = discovery.open(listen(&fleet, number).await?).await?;
            let start = Start {
                program: self.program,
                number,
                of: self.run_spec.dispatchers,
                discovery: address,
                known: discovery.known(number),
                seed: self.seed.wrapping_mul(31).wrapping_add(number as u64),
                operator: self.operator,
                queue_order: order,
                folder: &std::env::temp_dir(),
            };
            processes.push(Process::start(&start).await?);
        }
        let behind = [tokio::spawn(fleet.clone().drive()), tokio::spawn(discovery.clone().run(changed))];
        let addresses: Vec<_> = processes.iter().map(|p| p.address).collect();
        let clients = Clients::new(plan.clone(), log.clone(), &addresses);
        let (fates, killed) = match self.supervisor {
            None => {
                let (fates, killed) = tokio::join!(clients.play(), self.mass_restart(&mut processes, &log));
                (fates, killed?)
            }
            Some(supervisor) => {
                let workers = self.run_spec.workers;
                let each = processes.iter_mut().enumerate();
                let kept = each.map(|(n, process)| supervisor.supervise(n, process, &log, workers));
                let course = async {
                    let fates = clients.play().await;
                    // What is being done to the dispatchers may take longer than their clients stay.
                    supervisor.until_finished().await;
                    fates
                };
                let fates = tokio::select! {
                    fates = course => fates,
                    ended = futures_util::future::try_join_all(kept) => {
                        anyhow::bail!("the supervisor ended: {:?}", ended.err())
                    }
                };
                (fates, supervisor.exits())
            }
        };
        let cpu = processes.iter().map(Process::cpu).sum();
        let ready = processes.iter().flat_map(|p| p.ready.iter().copied()).collect();
        let (counts, discovery_calls) = (fleet.connection_counts(), discovery.calls());
        let ended = processes.iter_mut().filter_map(|p| (!p.runs()).then_some(p.address));
        let crash = |a| Violation { rule: Rule::OneAnswer, at: log.now(), what: format!("{a} has ended") };
        let mut broken: Vec<Violation> = ended.map(crash).collect();
        tokio::task::block_in_place(|| drop(processes));
        behind.iter().for_each(tokio::task::JoinHandle::abort);
        let (event, limits) = (without_excused(log.take(), &killed), Limits::default());
        broken.extend(check(&event, &limits));
        let slowest_drain = slowest_drain(&event, &limits);
        let cold_multiples = cold_multiples(&event, &limits);
        Ok(Played {
            event,
            cold_multiples,
            plan,
            fates,
            broken,
            cpu,
            ready,
            slowest_drain,
            counts,
            discovery_calls,
        })
    }

    /// Kills some dispatchers at once and starts all of them anew, each from the list that it had at first.
    async fn mass_restart(&self, processes: &mut [Process], log: &EventLog) -> Result<Vec<DispatcherExit>> {
        let Some(MassRestart { at, share }) = self.run_spec.mass_restart else { return Ok(Vec::new()) };
        tokio::time::sleep(Duration::from_secs_f64(at)).await;
        let count = (share * processes.len() as f64).round() as usize;
        let from = log.now();
        processes.iter_mut().take(count).for_each(Process::kill);
        let again = processes.iter_mut().take(count).enumerate().map(|(dispatcher, process)| async move {
            for worker in 0..self.run_spec.workers {
                log.append(Event::Notified { dispatcher, worker, what: Availability::Ready { cold: false } });
            }
            process.start_again().await?;
            anyhow::Ok(DispatcherExit { dispatcher, from, back: log.now(), abrupt: true })
        });
        futures_util::future::try_join_all(again).await
    }
}
