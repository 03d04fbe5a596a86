//! One measured run: a plan, real dispatchers, stand-ins around them, and the checker after it.

use crate::checker::{Broken, Figures, Rule, check, slowest_drain, without_killed};
use crate::clients::{Clients, Fate};
use crate::discovery::Discovery;
use crate::dispatcher::{Process, Start};
use crate::record::{Record, Seen, Told};
use crate::scenario::{Order, Plan, Scenario};
use crate::standin::Fleet;
use anyhow::Result;
use serde_json::Value;
use std::path::Path;
use std::sync::Arc;
use tokio::sync::mpsc;

/// What a run is made of.
#[derive(Clone)]
pub struct Run<'a> {
    /// The scenario.
    pub scenario: &'a Scenario,
    /// The seed.
    pub seed: u64,
    /// The program.
    pub program: &'a Path,
    /// The dispatchers' operator's file.
    pub operator: &'a Value,
}

/// What came of it.
pub struct Played {
    /// What was asked.
    pub plan: Arc<Plan>,
    /// How each request went.
    pub fates: Vec<Fate>,
    /// Rules broken.
    pub broken: Vec<Broken>,
    /// CPU of all dispatchers, in seconds.
    pub cpu: f64,
    /// Times from a dispatcher's start until it took clients, in seconds.
    pub ready: Vec<f64>,
    /// Longest time from the word of a drain to the last attempt sent there on, in seconds.
    pub slowest_drain: f64,
    /// What was counted; its list has been taken out.
    pub record: Arc<Record>,
}

impl Run<'_> {
    /// Plays it.
    pub async fn play(&self) -> Result<Played> {
        let plan = Arc::new(Plan::draw(self.scenario, self.seed)?);
        let record = Arc::new(Record::default());
        let (changes, changed) = mpsc::unbounded_channel();
        let fleet = Fleet::new(plan.clone(), record.clone(), changes);
        let discovery = Discovery::new(plan.clone(), record.clone());
        let (mut processes, mut known, mut ready) = (Vec::new(), Vec::new(), Vec::new());
        let order = match plan.order {
            Order::Fifo => "fifo",
            Order::Backfill => "backfill",
        };
        for number in 0..self.scenario.dispatchers {
            let address = discovery.open(fleet.open(number).await?).await?;
            known.push((address, discovery.known(number)));
        }
        let folder = std::env::temp_dir();
        // Waits for the process to take clients, which must not stop the stand-ins.
        let begin = |number: usize, life: u64, address| {
            let start = Start {
                program: self.program,
                number,
                of: self.scenario.dispatchers,
                discovery: known[number].0,
                known: known[number].1.clone(),
                seed: self.seed.wrapping_mul(31).wrapping_add(number as u64 + life * 1000),
                operator: self.operator,
                queue_order: order,
                folder: &folder,
                address,
            };
            tokio::task::block_in_place(|| {
                let from = std::time::Instant::now();
                let process = Process::start(&start)?;
                process.wait_until_ready();
                anyhow::Ok((process, from.elapsed().as_secs_f64()))
            })
        };
        for number in 0..self.scenario.dispatchers {
            let (process, took) = begin(number, 0, None)?;
            processes.push(process);
            ready.push(took);
        }
        let behind = [tokio::spawn(fleet.drive()), tokio::spawn(discovery.run(changed))];
        let addresses: Vec<_> = processes.iter().map(|p| p.address).collect();
        let mut killed: Vec<(usize, f64, f64)> = Vec::new();
        // Kills some at once, then starts them anew: each from the list that it had at first.
        let herd = async {
            let Some((at, part)) = self.scenario.herd else { return Ok(()) };
            tokio::time::sleep(std::time::Duration::from_secs_f64(at)).await;
            let count = (part * processes.len() as f64).round() as usize;
            for (number, process) in processes.iter_mut().enumerate().take(count) {
                killed.push((number, record.now(), f64::INFINITY));
                process.kill();
            }
            for number in 0..count {
                for worker in 0..plan.workers.len() {
                    let what = Told::Ready { cold: false };
                    record.note(Seen::Told { dispatcher: number, worker, what });
                }
                let (process, took) = begin(number, 1, Some(processes[number].address))?;
                processes[number] = process;
                killed[number].2 = record.now();
                ready.push(took);
            }
            anyhow::Ok(())
        };
        let (fates, herded) =
            tokio::join!(Clients::new(plan.clone(), record.clone(), &addresses).play(), herd);
        herded?;
        let cpu = processes.iter().map(Process::cpu).sum();
        let ended = processes.iter_mut().filter_map(|p| (!p.runs()).then_some(p.address));
        let crash = |a| Broken { rule: Rule::OneAnswer, at: record.now(), what: format!("{a} has ended") };
        let mut broken: Vec<Broken> = ended.map(crash).collect();
        tokio::task::block_in_place(|| drop(processes));
        behind.iter().for_each(tokio::task::JoinHandle::abort);
        let seen = without_killed(record.take(), &killed);
        broken.extend(check(&seen, &Figures::default()));
        let slowest_drain = slowest_drain(&seen);
        Ok(Played { plan, fates, broken, cpu, ready, slowest_drain, record })
    }
}
