//! One simulated worker: a [`WorkerModel`] with faults, load reports and the state of its connections. It does no I/O; the
//! module `http` serves its connections.

use super::model::{JobEvent, JobId, WorkerModel};
use crate::event_log::{Availability, Event, EventLog};
use crate::sync::lock;
use crate::workload::spec::WorkerFault;
use crate::workload::workers::WorkerSpec;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Normal};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use std::collections::{HashMap, VecDeque};
use std::sync::Mutex;
use tokio::sync::{mpsc, watch};

/// The channel on which workers notify discovery of changes: the index of the worker and its new availability.
pub type AvailabilityChanges = mpsc::UnboundedSender<(usize, Availability)>;

/// How a worker treats its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionMode {
    /// Serves connections.
    Up,
    /// Accepts connections and answers no request.
    Silent,
    /// Closes connections.
    Down,
}

/// The state of a worker's connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ConnectionState {
    /// How new connections are treated.
    pub(super) mode: ConnectionMode,
    /// Number of times that all connections were reset.
    pub(super) resets: u32,
}

/// An update of a job, sent to the connection that submitted it.
#[derive(Clone, Copy, Debug)]
pub(super) enum JobUpdate {
    /// The job started to run.
    Started,
    /// The job is completed.
    Done,
    /// The job ran and failed.
    Failed,
    /// The worker returns the job, which has not started.
    Returned,
}

/// Counts of connections to workers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ConnectionCounts {
    /// Number of connections that were opened.
    pub handshakes: u64,
    /// Maximum number of connections that were open at one worker at the same time.
    pub worst_worker_connections: usize,
}

impl ConnectionCounts {
    /// Combines two counts: the sum of the handshakes and the maximum of the open connections.
    pub fn merge(self, other: Self) -> Self {
        Self {
            handshakes: self.handshakes + other.handshakes,
            worst_worker_connections: self.worst_worker_connections.max(other.worst_worker_connections),
        }
    }
}

/// A worker's report of its load.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadReport {
    pub(super) free_slots: f64,
    /// Share of the cores in use.
    pub(super) utilization: f64,
    /// Share of the jobs that fail.
    pub(super) failure_share: f64,
}

/// The state of a worker that its lock protects.
pub(super) struct WorkerState {
    pub(super) model: WorkerModel,
    /// The receiver of the updates of each job.
    pub(super) jobs: HashMap<JobId, mpsc::UnboundedSender<JobUpdate>>,
    /// The report that load queries return.
    pub(super) report: LoadReport,
    /// Reports that load queries do not return yet, each with the time from which they do.
    delayed_reports: VecDeque<(f64, LoadReport)>,
    report_refreshed_at: f64,
    /// Share of the jobs that fail.
    failure_share: f64,
    pub(super) draining: bool,
    handshakes: u64,
    open_connections: usize,
    most_open_connections: usize,
    rng: Pcg64Mcg,
}

impl WorkerState {
    fn new(spec: &WorkerSpec, fetch_s: f64, seed: u64) -> Self {
        Self {
            model: WorkerModel::new(spec.clone(), fetch_s),
            jobs: HashMap::new(),
            report: LoadReport { free_slots: f64::from(spec.slots), utilization: 0.0, failure_share: 0.0 },
            delayed_reports: VecDeque::new(),
            report_refreshed_at: 0.0,
            failure_share: 0.0,
            draining: false,
            handshakes: 0,
            open_connections: 0,
            most_open_connections: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Sends updates to the connections of the jobs. A job that is completed fails instead with the probability
    /// `failure_share`.
    fn send_updates(&mut self, events: Vec<JobEvent>) {
        for event in events {
            match event {
                JobEvent::Started(job_id) => {
                    if let Some(job) = self.jobs.get(&job_id) {
                        let _ = job.send(JobUpdate::Started);
                    }
                }
                JobEvent::Done(job_id) => {
                    let failed = self.failure_share > 0.0 && self.rng.random_bool(self.failure_share);
                    if let Some(job) = self.jobs.remove(&job_id) {
                        let _ = job.send(if failed { JobUpdate::Failed } else { JobUpdate::Done });
                    }
                }
            }
        }
    }

    /// Creates a new report if the refresh interval has passed, and makes the reports visible whose delay has passed.
    fn refresh_report(&mut self, now: f64) {
        let spec = self.model.spec();
        let (refresh_s, delay_s, noise) = (spec.refresh_s, spec.delay_s, spec.noise);
        if now >= self.report_refreshed_at + refresh_s {
            self.report_refreshed_at = now;
            let load = self.model.load();
            let error = Normal::new(1.0, noise).map_or(1.0, |n| n.sample(&mut self.rng));
            let free = if self.draining { 0.0 } else { f64::from(load.free_slots) * error };
            let report = LoadReport {
                free_slots: free.max(0.0),
                utilization: load.utilization,
                failure_share: self.failure_share,
            };
            self.delayed_reports.push_back((now + delay_s, report));
        }
        while let Some((_, report)) = self.delayed_reports.pop_front_if(|(at, _)| *at <= now) {
            self.report = report;
        }
    }

    /// Counts a connection that was opened.
    pub(super) fn connection_opened(&mut self) {
        self.handshakes += 1;
        self.open_connections += 1;
        self.most_open_connections = self.most_open_connections.max(self.open_connections);
    }

    /// Records that a connection is closed. It must have been counted by [`Self::connection_opened`].
    pub(super) fn connection_closed(&mut self) {
        self.open_connections -= 1;
    }
}

/// One simulated worker.
pub(super) struct SimulatedWorker {
    /// Index in the plan.
    pub(super) number: usize,
    pub(super) state: Mutex<WorkerState>,
    pub(super) connections: watch::Sender<ConnectionState>,
}

impl SimulatedWorker {
    /// Creates an idle worker. `fetch_s` is the time of a fetch from the shared store at full speed, in seconds.
    pub(super) fn new(number: usize, spec: &WorkerSpec, fetch_s: f64, plan_seed: u64) -> Self {
        let seed = plan_seed ^ (number as u64) << 32;
        Self {
            number,
            state: Mutex::new(WorkerState::new(spec, fetch_s, seed)),
            connections: watch::Sender::new(ConnectionState { mode: ConnectionMode::Up, resets: 0 }),
        }
    }

    pub(super) fn mode(&self) -> ConnectionMode {
        self.connections.borrow().mode
    }

    pub(super) fn connection_counts(&self) -> ConnectionCounts {
        let state = lock(&self.state);
        ConnectionCounts {
            handshakes: state.handshakes,
            worst_worker_connections: state.most_open_connections,
        }
    }

    /// Advances the worker to the time `now`. `fetch_speed` is the share of the full speed at which the shared store serves a
    /// fetch.
    pub(super) fn advance(&self, now: f64, fetch_speed: f64, log: &EventLog) {
        let mut state = lock(&self.state);
        let mut events = Vec::new();
        state.model.advance(now, fetch_speed, &mut events);
        state.send_updates(events);
        if let Some(load) = state.model.take_cold_load_peak() {
            log.append(Event::ColdLoadPeak { worker: self.number, load });
        }
        if let Some((since, sent)) = state.model.overload() {
            log.append(Event::Overloaded { worker: self.number, since, sent });
            self.crash(&mut state, now);
        }
        state.refresh_report(now);
    }

    /// Crashes the worker: resets all its connections and loses all its jobs and reports.
    fn crash(&self, state: &mut WorkerState, now: f64) {
        state.model.restart(now);
        state.jobs.clear();
        state.delayed_reports.clear();
        self.connections.send_modify(|connections| connections.resets += 1);
    }

    fn set_mode(&self, mode: ConnectionMode) {
        self.connections.send_modify(|connections| connections.mode = mode);
    }

    pub(super) fn begin_fault(&self, fault: WorkerFault, log: &EventLog, changes: &AvailabilityChanges) {
        let mut state = lock(&self.state);
        match fault {
            WorkerFault::Drain(_) => {
                state.draining = true;
                for job_id in state.model.return_queued() {
                    if let Some(job) = state.jobs.remove(&job_id) {
                        let _ = job.send(JobUpdate::Returned);
                    }
                }
                let _ = changes.send((self.number, Availability::Draining));
            }
            WorkerFault::Silent(_) => {
                self.set_mode(ConnectionMode::Silent);
                let _ = changes.send((self.number, Availability::Gone));
            }
            WorkerFault::Restart(_) => {
                self.set_mode(ConnectionMode::Down);
                self.crash(&mut state, log.now());
            }
            WorkerFault::Errors { share, .. } => state.failure_share = share,
        }
    }

    pub(super) fn end_fault(&self, fault: WorkerFault, log: &EventLog, changes: &AvailabilityChanges) {
        let mut state = lock(&self.state);
        match fault {
            WorkerFault::Errors { .. } => state.failure_share = 0.0,
            WorkerFault::Drain(_) => {
                state.draining = false;
                let _ = changes.send((self.number, Availability::Ready { cold: false }));
            }
            WorkerFault::Silent(_) | WorkerFault::Restart(_) => {
                self.crash(&mut state, log.now());
                self.set_mode(ConnectionMode::Up);
                let _ = changes.send((self.number, Availability::Ready { cold: true }));
            }
        }
    }
}
