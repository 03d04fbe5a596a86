//! The clients of a trial: they drain workers, end drains, read drains, and log each operation.

use super::client::{LeaderHint, StoreClient};
use super::history::{Operation, OperationHistory, OperationKind};
use super::plan::Plan;
use crate::quantile::nearest_rank;
use crate::sync::lock;
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Time after which a client gives an operation up. Its outcome is then unknown.
pub(super) const OPERATION_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum number of drains that a client keeps before it ends the oldest.
const MAX_OWN_DRAINS: usize = 200;
/// Maximum number of recent drains that reads choose from.
const MAX_RECENT_DRAINS: usize = 32;
/// Maximum number of operations on one contended worker before the clients move on to the next. It is small enough
/// for the linearizability checker to try all orders.
const MAX_OPERATIONS_PER_CONTENDED_WORKER: u64 = 14;
/// Bit that is set in the ids of requests that end an old drain, to keep them distinct from the ids of other
/// requests.
const UNDRAIN_REQUEST_BIT: u64 = 1 << 60;

/// Times without an acknowledged change after a leader was killed.
#[derive(Debug, Default)]
struct LeaderGaps {
    /// When a leader was killed; `None` once a change requested after that is acknowledged.
    killed_at: Option<Instant>,
    gaps_ms: Vec<f64>,
}

/// State shared by the clients of a trial.
pub(super) struct Load {
    plan: Plan,
    leader: LeaderHint,
    /// Operations of all clients.
    pub(super) history: OperationHistory,
    stopping: AtomicBool,
    contended_operations: AtomicU64,
    /// Workers whose drain was acknowledged recently. Reads of these must see it.
    recently_drained: Mutex<VecDeque<String>>,
    /// Latencies of acknowledged changes, in microseconds.
    change_latencies_us: Mutex<Histogram<u64>>,
    leader_gaps: Mutex<LeaderGaps>,
}

impl Load {
    /// # Errors
    ///
    /// Returns an error if the histogram cannot be created.
    pub(super) fn new(plan: Plan) -> Result<Self, hdrhistogram::CreationError> {
        Ok(Self {
            plan,
            leader: LeaderHint::default(),
            history: OperationHistory::default(),
            stopping: AtomicBool::new(false),
            contended_operations: AtomicU64::new(0),
            recently_drained: Mutex::default(),
            change_latencies_us: Mutex::new(Histogram::new(3)?),
            leader_gaps: Mutex::default(),
        })
    }

    /// Replica that the clients assume to be the leader.
    pub(super) fn leader(&self) -> &LeaderHint {
        &self.leader
    }

    /// Makes the clients stop after their current operation.
    pub(super) fn request_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Records the kill of a replica. If the replica is the assumed leader, a gap starts.
    pub(super) fn record_replica_kill(&self, index: usize) {
        if index == self.leader.load(Ordering::Relaxed) {
            lock(&self.leader_gaps).killed_at.get_or_insert_with(Instant::now);
        }
    }

    /// Quantile of the latency of acknowledged changes, in milliseconds.
    pub(super) fn change_latency_ms(&self, quantile: f64) -> f64 {
        lock(&self.change_latencies_us).value_at_quantile(quantile) as f64 / 1e3
    }

    /// Quantile of the time from the kill of a leader to the next acknowledged change, in milliseconds.
    pub(super) fn leader_gap_ms(&self, quantile: f64) -> f64 {
        nearest_rank(&lock(&self.leader_gaps).gaps_ms, quantile)
    }

    fn record_acknowledged_change(&self, began: Instant) {
        let _ = lock(&self.change_latencies_us).record(began.elapsed().as_micros() as u64);
        let mut gaps = lock(&self.leader_gaps);
        // Only a change that was requested after the kill shows that the cluster makes progress.
        if let Some(killed_at) = gaps.killed_at.filter(|killed_at| began > *killed_at) {
            gaps.killed_at = None;
            gaps.gaps_ms.push(killed_at.elapsed().as_secs_f64() * 1e3);
        }
    }

    fn add_recent_drain(&self, worker: String) {
        let mut recent = lock(&self.recently_drained);
        recent.push_back(worker);
        if recent.len() > MAX_RECENT_DRAINS {
            recent.pop_front();
        }
    }

    fn pick_recent(&self, rng: &mut Pcg64Mcg) -> Option<String> {
        let recent = lock(&self.recently_drained);
        (!recent.is_empty()).then(|| recent[rng.random_range(0..recent.len())].clone())
    }

    /// Worker that all clients currently operate on.
    fn contended_worker(&self) -> String {
        let contended_worker =
            self.contended_operations.fetch_add(1, Ordering::Relaxed) / MAX_OPERATIONS_PER_CONTENDED_WORKER;
        format!("c-{contended_worker}")
    }
}

/// One client of a trial.
pub(super) struct LoadClient<'load> {
    load: &'load Load,
    number: usize,
    client: StoreClient,
    rng: Pcg64Mcg,
    /// Workers that this client has drained, oldest first.
    drained_workers: VecDeque<String>,
}

impl<'load> LoadClient<'load> {
    pub(super) fn new(load: &'load Load, number: usize, addresses: Vec<SocketAddr>) -> Self {
        Self {
            load,
            number,
            client: StoreClient::new(addresses, load.leader.clone()),
            rng: Pcg64Mcg::seed_from_u64(load.plan.seed.wrapping_mul(1_000) ^ number as u64),
            drained_workers: VecDeque::new(),
        }
    }

    /// Runs operations until [`Load::request_stop`] is called.
    pub(super) async fn run(mut self) {
        let mut next = 0_u64;
        while !self.load.stopping.load(Ordering::Relaxed) {
            next += 1;
            if self.rng.random_bool(0.2) {
                // A former leader may still assume that it leads.
                self.client.try_first(self.rng.random_range(0..self.load.plan.replicas));
            }
            match self.rng.random_range(0..10) {
                0..5 => self.drain_own(next).await,
                5..7 => self.read_recent().await,
                7 => {
                    let worker = self.load.contended_worker();
                    let tag = format!("t{}-{next}", self.number);
                    self.change(next, &worker, OperationKind::Drain(tag)).await;
                }
                8 => {
                    let worker = self.load.contended_worker();
                    self.change(next, &worker, OperationKind::Undrain).await;
                }
                _ => {
                    let worker = self.load.contended_worker();
                    self.read(&worker).await;
                }
            }
            sleep(Duration::from_millis(self.load.plan.pause_ms)).await;
        }
    }

    async fn drain_own(&mut self, next: u64) {
        let worker = format!("w-{}-{next}", self.number);
        if self.change(next, &worker, OperationKind::Drain(format!("t{next}"))).await {
            self.drained_workers.push_back(worker.clone());
            self.load.add_recent_drain(worker);
        }
        if self.drained_workers.len() > MAX_OWN_DRAINS
            && let Some(oldest) = self.drained_workers.pop_front()
        {
            self.change(next | UNDRAIN_REQUEST_BIT, &oldest, OperationKind::Undrain).await;
        }
    }

    async fn read_recent(&mut self) {
        if let Some(worker) = self.load.pick_recent(&mut self.rng) {
            self.read(&worker).await;
        }
    }

    /// Changes a worker's drain. Returns whether the change was acknowledged.
    async fn change(&mut self, number: u64, worker: &str, kind: OperationKind) -> bool {
        let (drain, tag) = match &kind {
            OperationKind::Drain(tag) => (true, tag.as_str()),
            _ => (false, ""),
        };
        let command = StoreClient::drain_command((self.number as u64 + 1, number), worker, drain, tag);
        let history = &self.load.history;
        let (requested_at, began) = (history.now(), Instant::now());
        let reply = self.client.request(&command, OPERATION_TIMEOUT).await;
        let done = reply.is_ok_and(|reply| reply.pointer("/answer/Ok").is_some());
        if done {
            self.load.record_acknowledged_change(began);
        }
        let answer = done.then(|| (history.now(), None));
        history.append(Operation { worker: worker.to_owned(), kind, requested_at, answer });
        done
    }

    async fn read(&mut self, worker: &str) {
        let history = &self.load.history;
        let requested_at = history.now();
        if let Ok(found) = self.client.read_drain_tag(worker, OPERATION_TIMEOUT).await {
            let answer = Some((history.now(), found));
            let kind = OperationKind::Read;
            history.append(Operation { worker: worker.to_owned(), kind, requested_at, answer });
        }
    }
}
