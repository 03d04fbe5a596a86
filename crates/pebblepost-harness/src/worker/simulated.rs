//! One simulated worker in time: a [`WorkerModel`] with faults, load reports and the state of its connections. It does no
//! I/O: its connections are served elsewhere.

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

/// What the workers tell discovery: whose availability changed, and to what.
pub type AvailabilityChanges = mpsc::UnboundedSender<(usize, Availability)>;

/// How a worker treats its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Mode {
    /// It serves them.
    Up,
    /// It accepts them and answers nothing.
    Silent,
    /// It closes them.
    Down,
}

/// The state of a worker's connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ConnectionState {
    /// How new ones are treated.
    pub(super) mode: Mode,
    /// How often all were reset.
    pub(super) resets: u32,
}

/// What a worker tells the connection of a job.
#[derive(Clone, Copy, Debug)]
pub(super) enum JobUpdate {
    /// It runs.
    Started,
    /// It is done.
    Done,
    /// It ran and failed.
    Failed,
    /// It goes back unstarted.
    Returned,
}

/// Connections of a pool's workers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ConnectionCounts {
    /// New connections.
    pub handshakes: u64,
    /// Most connections open at one worker at a time.
    pub worst_worker_connections: usize,
}

impl ConnectionCounts {
    /// Sum of the handshakes, maximum of the connections.
    pub fn with(self, other: Self) -> Self {
        Self {
            handshakes: self.handshakes + other.handshakes,
            worst_worker_connections: self.worst_worker_connections.max(other.worst_worker_connections),
        }
    }
}

/// What a worker reports of its load.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadReport {
    pub(super) free_slots: f64,
    /// Share of the cores in use.
    pub(super) utilization: f64,
    pub(super) errors: f64,
}

/// The part of a worker behind its lock.
pub(super) struct WorkerState {
    pub(super) model: WorkerModel,
    /// Where the updates of each job go.
    pub(super) jobs: HashMap<JobId, mpsc::UnboundedSender<JobUpdate>>,
    /// The report that is visible.
    pub(super) report: LoadReport,
    /// Reports that are not visible yet, with the time from which they are.
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
            report: LoadReport { free_slots: f64::from(spec.slots), utilization: 0.0, errors: 0.0 },
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

    /// Tells the connections of the jobs what happened to them.
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

    /// Takes a new report when it is time, and makes visible those whose delay is over.
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
                errors: self.failure_share,
            };
            self.delayed_reports.push_back((now + delay_s, report));
        }
        while let Some((_, report)) = self.delayed_reports.pop_front_if(|(at, _)| *at <= now) {
            self.report = report;
        }
    }

    /// A connection was opened.
    pub(super) fn connection_opened(&mut self) {
        self.handshakes += 1;
        self.open_connections += 1;
        self.most_open_connections = self.most_open_connections.max(self.open_connections);
    }

    /// A connection that was counted as opened is closed.
    pub(super) fn connection_closed(&mut self) {
        self.open_connections -= 1;
    }
}

/// One worker.
pub(super) struct SimulatedWorker {
    /// Its number in the plan.
    pub(super) number: usize,
    pub(super) state: Mutex<WorkerState>,
    pub(super) connections: watch::Sender<ConnectionState>,
}

impl SimulatedWorker {
    /// A worker without work. `fetch_s`: how long it takes to fetch what a job needs.
    pub(super) fn new(number: usize, spec: &WorkerSpec, fetch_s: f64, plan_seed: u64) -> Self {
        let seed = plan_seed ^ (number as u64) << 32;
        Self {
            number,
            state: Mutex::new(WorkerState::new(spec, fetch_s, seed)),
            connections: watch::Sender::new(ConnectionState { mode: Mode::Up, resets: 0 }),
        }
    }

    pub(super) fn mode(&self) -> Mode {
        self.connections.borrow().mode
    }

    pub(super) fn connection_counts(&self) -> ConnectionCounts {
        let state = lock(&self.state);
        ConnectionCounts {
            handshakes: state.handshakes,
            worst_worker_connections: state.most_open_connections,
        }
    }

    /// Lets time pass. `fetch_speed`: part of its full speed at which the shared store serves a fetch.
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

    /// All connections break, and all work is lost.
    fn crash(&self, state: &mut WorkerState, now: f64) {
        state.model.restart(now);
        state.jobs.clear();
        state.delayed_reports.clear();
        self.connections.send_modify(|connections| connections.resets += 1);
    }

    fn set_mode(&self, mode: Mode) {
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
                self.set_mode(Mode::Silent);
                let _ = changes.send((self.number, Availability::Gone));
            }
            WorkerFault::Restart(_) => {
                self.set_mode(Mode::Down);
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
                self.set_mode(Mode::Up);
                let _ = changes.send((self.number, Availability::Ready { cold: true }));
            }
        }
    }
}
