//! Maintenance of workers: crews switch workers off and on again, each by a permit, and only once the store says that a worker
//! may be switched off. A worker goes on accepting jobs meanwhile, so that the event log shows who sent it any.

use super::operators::{COMPLETION_TIMEOUT, Operators, REQUEST_TIMEOUT, apply};
use crate::checker::exits::DispatcherExit;
use crate::event_log::{Entry, Event};
use crate::store::client::StoreClient;
use crate::supervisor::Supervisor;
use crate::sync::lock;
use anyhow::{Result, bail};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use std::collections::{HashMap, HashSet};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The store is asked this often whether a worker may be switched off.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A worker was switched off.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SwitchedOff {
    /// Which.
    pub worker: usize,
    /// From when, in seconds of the log.
    pub from: f64,
    /// Until when.
    pub to: f64,
    /// Seconds from the request of its permit until then.
    pub waited_s: f64,
}

/// What the crews have done.
#[derive(Debug, Default)]
pub struct WorkerMaintenance {
    /// Which workers were off when.
    pub switched_off: Mutex<Vec<SwitchedOff>>,
}

impl WorkerMaintenance {
    /// One crew: switches one of these workers after another off and on, until the trial stops.
    ///
    /// # Errors
    ///
    /// If a worker may not be switched off within [`COMPLETION_TIMEOUT`].
    pub async fn work(
        &self, operators: &Operators, supervisor: &Supervisor, hosts: &[(usize, String)], seed: u64,
        stopping: &AtomicBool,
    ) -> Result<()> {
        let (mut rng, mut client) = (Pcg64Mcg::seed_from_u64(seed), operators.client());
        let mut number = 0;
        while !stopping.load(Ordering::Relaxed) {
            let (worker, host) = &hosts[rng.random_range(0..hosts.len())];
            let subject = format!("worker/{host}");
            let asked = supervisor.now();
            operators.run(&["permit", "ask", &subject, "--why", "new fans"], rng.random()).await?;
            let granted = wait_until_granted(&mut client, host).await?;
            let from = supervisor.now();
            sleep(Duration::from_millis(rng.random_range(300..2_000))).await;
            lock(&self.switched_off).push(SwitchedOff {
                worker: *worker,
                from,
                to: supervisor.now(),
                waited_s: from - asked,
            });
            number += 1;
            let back: Value = json!({"back": [subject, granted]});
            apply(&mut client, (seed, number), &back).await?;
            sleep(Duration::from_millis(rng.random_range(100..1_500))).await;
        }
        Ok(())
    }
}

/// Waits until a worker may be switched off: its permit is granted, and no dispatcher is waited for. Returns the revision of
/// the grant.
async fn wait_until_granted(client: &mut StoreClient, host: &str) -> Result<u64> {
    let end = Instant::now() + COMPLETION_TIMEOUT;
    loop {
        if let Ok(reply) = client.request(&json!({"off": host}), REQUEST_TIMEOUT).await {
            let off = &reply["off"];
            let missing = off["waits_for"].as_object().map_or(1, serde_json::Map::len);
            if let (Some(granted), 0) = (off["granted"].as_u64(), missing) {
                return Ok(granted);
            }
            if Instant::now() >= end {
                bail!("worker/{host} may not be switched off: {off}");
            }
        } else if Instant::now() >= end {
            bail!("no replica answers whether worker/{host} may be switched off");
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// The most workers that were off at once.
pub fn most_off(switched_off: &[SwitchedOff]) -> usize {
    let at =
        |time: f64| switched_off.iter().filter(|window| (window.from..window.to).contains(&time)).count();
    switched_off.iter().map(|window| at(window.from)).max().unwrap_or(0)
}

/// Work at workers that were off: attempts that arrived, and jobs that ran on and were served from there. A dispatcher that was
/// killed or suspended is excused from what it had in flight by then, and from nothing new.
pub fn work_while_off(log: &[Entry], switched_off: &[SwitchedOff], killed: &[DispatcherExit]) -> Vec<String> {
    let (mut found, mut attempts) = (Vec::new(), HashMap::<&str, usize>::new());
    let mut open: HashMap<(&str, usize), (f64, usize)> = HashMap::new();
    let mut ran_on: HashSet<&str> = HashSet::new();
    for (at, event) in log {
        match event {
            Event::AttemptArrived { txn, dispatcher, worker, .. } => {
                *attempts.entry(txn).or_insert(0) += 1;
                open.insert((txn, *worker), (*at, *dispatcher));
                if let Some(off) = switched_off
                    .iter()
                    .find(|window| window.worker == *worker && (window.from..window.to).contains(at))
                {
                    found.push(format!(
                        "dispatcher {dispatcher} sent {txn} to worker {worker} at {at:.3}, off since {:.3}",
                        off.from
                    ));
                }
            }
            Event::AttemptEnded { txn, worker, .. } => {
                let Some((began, by)) = open.remove(&(txn.as_str(), *worker)) else { continue };
                let ran = |window: &&SwitchedOff| {
                    window.worker == *worker && began < window.from && *at >= window.from
                };
                let excused = |window: &SwitchedOff| {
                    killed.iter().any(|exit| exit.dispatcher == by && exit.ended_at_s <= window.from)
                };
                if switched_off.iter().find(ran).is_some_and(|window| !excused(window)) {
                    ran_on.insert(txn);
                }
            }
            // Of several attempts another one may have given the answer.
            Event::Responded { txn, status: 200, .. }
                if ran_on.contains(txn.as_str()) && attempts.get(txn.as_str()) == Some(&1) =>
            {
                found
                    .push(format!("{txn} was served at {at:.3} by a worker that was switched off meanwhile"));
            }
            _ => {}
        }
    }
    found
}
