//! Maintenance of workers. Crews switch workers off and on again. Each needs a permit, and waits until the store
//! reports that the worker may be switched off. The simulated worker keeps accepting jobs during its maintenance, so
//! that the event log shows which dispatcher sent it any.

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

/// Interval between two queries whether a worker may be switched off.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A period during which a worker was switched off.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MaintenanceWindow {
    /// Index of the worker.
    pub worker: usize,
    /// Start, in seconds of the event log.
    pub from: f64,
    /// End, in seconds of the event log.
    pub to: f64,
    /// Time from the request of the permit to the start, in seconds.
    pub waited_s: f64,
}

/// Record of the maintenance of workers by all crews.
#[derive(Debug, Default)]
pub struct WorkerMaintenance {
    /// All maintenance windows so far.
    pub windows: Mutex<Vec<MaintenanceWindow>>,
}

impl WorkerMaintenance {
    /// Runs one crew: switches randomly chosen workers of `hosts` off and on, one at a time, until the trial stops.
    ///
    /// # Errors
    ///
    /// Returns an error if a worker may not be switched off within [`COMPLETION_TIMEOUT`], or the store refuses a
    /// request.
    pub async fn run_crew(
        &self, operators: &Operators, supervisor: &Supervisor, hosts: &[(usize, String)], seed: u64,
        stopping: &AtomicBool,
    ) -> Result<()> {
        let (mut rng, mut client) = (Pcg64Mcg::seed_from_u64(seed), operators.client());
        let mut number = 0;
        while !stopping.load(Ordering::Relaxed) {
            let (worker, host) = &hosts[rng.random_range(0..hosts.len())];
            let subject = format!("worker/{host}");
            let requested_at = supervisor.now();
            operators.run(&["permit", "ask", &subject, "--why", "new fans"], rng.random()).await?;
            let granted = wait_until_granted(&mut client, host).await?;
            let from = supervisor.now();
            sleep(Duration::from_millis(rng.random_range(300..2_000))).await;
            lock(&self.windows).push(MaintenanceWindow {
                worker: *worker,
                from,
                to: supervisor.now(),
                waited_s: from - requested_at,
            });
            number += 1;
            let release_permit: Value = json!({"back": [subject, granted]});
            apply(&mut client, (seed, number), &release_permit).await?;
            sleep(Duration::from_millis(rng.random_range(100..1_500))).await;
        }
        Ok(())
    }
}

/// Waits until a worker may be switched off: its permit is granted and the store no longer waits for any dispatcher.
/// Returns the revision of the grant.
async fn wait_until_granted(client: &mut StoreClient, host: &str) -> Result<u64> {
    let deadline = Instant::now() + COMPLETION_TIMEOUT;
    loop {
        if let Ok(reply) = client.request(&json!({"off": host}), REQUEST_TIMEOUT).await {
            let status = &reply["off"];
            let pending_dispatchers = status["waits_for"].as_object().map_or(1, serde_json::Map::len);
            if let (Some(granted), 0) = (status["granted"].as_u64(), pending_dispatchers) {
                return Ok(granted);
            }
            if Instant::now() >= deadline {
                bail!("worker/{host} could not be switched off within {COMPLETION_TIMEOUT:?}: {status}");
            }
        } else if Instant::now() >= deadline {
            bail!("no replica responded whether worker/{host} may be switched off");
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Maximum number of workers that were switched off at the same time.
pub fn max_concurrent_windows(windows: &[MaintenanceWindow]) -> usize {
    let at = |time: f64| windows.iter().filter(|window| (window.from..window.to).contains(&time)).count();
    windows.iter().map(|window| at(window.from)).max().unwrap_or(0)
}

/// Finds work at workers that were switched off: attempts that arrived there, and jobs that kept running there and
/// were then served. The attempts that a dispatcher had in flight when it was killed or suspended are excused; new
/// ones are not.
pub fn find_work_during_maintenance(
    log: &[Entry], windows: &[MaintenanceWindow], exits: &[DispatcherExit],
) -> Vec<String> {
    let (mut found, mut attempts) = (Vec::new(), HashMap::<&str, usize>::new());
    let mut open_attempts: HashMap<(&str, usize), (f64, usize)> = HashMap::new();
    let mut ran_into_window: HashSet<&str> = HashSet::new();
    for (at, event) in log {
        match event {
            Event::AttemptArrived { txn, dispatcher, worker, .. } => {
                *attempts.entry(txn).or_insert(0) += 1;
                open_attempts.insert((txn, *worker), (*at, *dispatcher));
                if let Some(window) = windows
                    .iter()
                    .find(|window| window.worker == *worker && (window.from..window.to).contains(at))
                {
                    found.push(format!(
                        "dispatcher {dispatcher} sent {txn} to worker {worker} at {at:.3}, off since {:.3}",
                        window.from
                    ));
                }
            }
            Event::AttemptEnded { txn, worker, .. } => {
                let Some((began, by)) = open_attempts.remove(&(txn.as_str(), *worker)) else { continue };
                let overlaps = |window: &&MaintenanceWindow| {
                    window.worker == *worker && began < window.from && *at >= window.from
                };
                let excused = |window: &MaintenanceWindow| {
                    exits.iter().any(|exit| exit.dispatcher == by && exit.ended_at_s <= window.from)
                };
                if windows.iter().find(overlaps).is_some_and(|window| !excused(window)) {
                    ran_into_window.insert(txn);
                }
            }
            // With several attempts, another one may have produced the response.
            Event::Responded { txn, status: 200, .. }
                if ran_into_window.contains(txn.as_str()) && attempts.get(txn.as_str()) == Some(&1) =>
            {
                found
                    .push(format!("{txn} was served at {at:.3} by a worker that was switched off meanwhile"));
            }
            _ => {}
        }
    }
    found
}
