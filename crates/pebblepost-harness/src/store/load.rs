//! The clients of a trial: they drain workers, end drains and read, and log each operation.

use super::client::{Leader, StoreClient};
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

/// An operation is given up after this; it is then not known whether it was done.
pub(super) const OPERATION_TIMEOUT: Duration = Duration::from_secs(4);
/// Drains that a client keeps before it ends the oldest.
const OWN_DRAINS: usize = 200;
/// Recent drains that reads choose from.
const RECENT_DRAINS: usize = 32;
/// Operations on one contended worker before the clients go on to the next: few enough that all orders can be tried.
const CONTENDED_OPERATIONS: u64 = 14;
/// Set in the ids of operations that end an old drain.
const END_OF_OLD_DRAIN: u64 = 1 << 60;

/// How long no change was acknowledged after a leader was killed.
#[derive(Debug, Default)]
struct LeaderGaps {
    /// When a leader was killed, until a change is acknowledged.
    killed_at: Option<Instant>,
    gaps_ms: Vec<f64>,
}

/// What the clients of a trial share.
pub(super) struct Load {
    plan: Plan,
    leader: Leader,
    /// What was asked and answered.
    pub(super) history: OperationHistory,
    stopping: AtomicBool,
    contended: AtomicU64,
    /// Workers whose drain was acknowledged lately, for reads that must see it.
    recent: Mutex<VecDeque<String>>,
    /// Times of acknowledged changes, in microseconds.
    change_times: Mutex<Histogram<u64>>,
    leader_gaps: Mutex<LeaderGaps>,
}

impl Load {
    /// # Errors
    ///
    /// If the histogram can not be made.
    pub(super) fn new(plan: Plan) -> Result<Self, hdrhistogram::CreationError> {
        Ok(Self {
            plan,
            leader: Leader::default(),
            history: OperationHistory::default(),
            stopping: AtomicBool::new(false),
            contended: AtomicU64::new(0),
            recent: Mutex::default(),
            change_times: Mutex::new(Histogram::new(3)?),
            leader_gaps: Mutex::default(),
        })
    }

    /// The replica that the clients think leads.
    pub(super) fn leader(&self) -> &Leader {
        &self.leader
    }

    /// Has the clients end after their present operation.
    pub(super) fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// A replica is killed; if it leads, a gap begins.
    pub(super) fn replica_killed(&self, place: usize) {
        if place == self.leader.load(Ordering::Relaxed) {
            lock(&self.leader_gaps).killed_at.get_or_insert_with(Instant::now);
        }
    }

    /// Time of an acknowledged change, in milliseconds.
    pub(super) fn change_ms(&self, quantile: f64) -> f64 {
        lock(&self.change_times).value_at_quantile(quantile) as f64 / 1e3
    }

    /// Time from the kill of a leader to the next acknowledged change, in milliseconds.
    pub(super) fn leader_gap_ms(&self, quantile: f64) -> f64 {
        nearest_rank(&lock(&self.leader_gaps).gaps_ms, quantile)
    }

    fn change_acknowledged(&self, began: Instant) {
        let _ = lock(&self.change_times).record(began.elapsed().as_micros() as u64);
        let mut gaps = lock(&self.leader_gaps);
        // Only what was asked after the kill shows that the cluster goes on.
        if let Some(killed_at) = gaps.killed_at.filter(|killed_at| began > *killed_at) {
            gaps.killed_at = None;
            gaps.gaps_ms.push(killed_at.elapsed().as_secs_f64() * 1e3);
        }
    }

    fn remember(&self, worker: String) {
        let mut recent = lock(&self.recent);
        recent.push_back(worker);
        if recent.len() > RECENT_DRAINS {
            recent.pop_front();
        }
    }

    fn pick_recent(&self, rng: &mut Pcg64Mcg) -> Option<String> {
        let recent = lock(&self.recent);
        (!recent.is_empty()).then(|| recent[rng.random_range(0..recent.len())].clone())
    }

    /// A worker that all clients operate on at present.
    fn contended_worker(&self) -> String {
        let turn = self.contended.fetch_add(1, Ordering::Relaxed) / CONTENDED_OPERATIONS;
        format!("c-{turn}")
    }
}

/// One client at work.
pub(super) struct LoadClient<'load> {
    load: &'load Load,
    number: usize,
    client: StoreClient,
    rng: Pcg64Mcg,
    /// Workers that it has drained, the oldest first.
    own: VecDeque<String>,
}

impl<'load> LoadClient<'load> {
    pub(super) fn new(load: &'load Load, number: usize, addresses: Vec<SocketAddr>) -> Self {
        Self {
            load,
            number,
            client: StoreClient::new(addresses, load.leader.clone()),
            rng: Pcg64Mcg::seed_from_u64(load.plan.seed.wrapping_mul(1_000) ^ number as u64),
            own: VecDeque::new(),
        }
    }

    /// Works until [`Load::stop`].
    pub(super) async fn run(mut self) {
        let mut next = 0_u64;
        while !self.load.stopping.load(Ordering::Relaxed) {
            next += 1;
            if self.rng.random_bool(0.2) {
                // One that has led may still think that it does.
                self.client.start_with(self.rng.random_range(0..self.load.plan.replicas));
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
            self.own.push_back(worker.clone());
            self.load.remember(worker);
        }
        if self.own.len() > OWN_DRAINS
            && let Some(oldest) = self.own.pop_front()
        {
            self.change(next | END_OF_OLD_DRAIN, &oldest, OperationKind::Undrain).await;
        }
    }

    async fn read_recent(&mut self) {
        if let Some(worker) = self.load.pick_recent(&mut self.rng) {
            self.read(&worker).await;
        }
    }

    /// Changes a worker's drain. Returns whether that was acknowledged.
    async fn change(&mut self, number: u64, worker: &str, kind: OperationKind) -> bool {
        let (drain, tag) = match &kind {
            OperationKind::Drain(tag) => (true, tag.as_str()),
            _ => (false, ""),
        };
        let command = StoreClient::command((self.number as u64 + 1, number), worker, drain, tag);
        let history = &self.load.history;
        let (requested_at, began) = (history.now(), Instant::now());
        let reply = self.client.request(&command, OPERATION_TIMEOUT).await;
        let done = reply.is_ok_and(|reply| reply.pointer("/answer/Ok").is_some());
        if done {
            self.load.change_acknowledged(began);
        }
        let answer = done.then(|| (history.now(), None));
        history.append(Operation { worker: worker.to_owned(), kind, requested_at, answer });
        done
    }

    async fn read(&mut self, worker: &str) {
        let history = &self.load.history;
        let requested_at = history.now();
        if let Ok(found) = self.client.read(worker, OPERATION_TIMEOUT).await {
            let answer = Some((history.now(), found));
            let kind = OperationKind::Read;
            history.append(Operation { worker: worker.to_owned(), kind, requested_at, answer });
        }
    }
}
