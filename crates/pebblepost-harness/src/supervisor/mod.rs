//! A simulated site supervisor.
//!
//! It restarts each dispatcher whenever it has exited, under the same name and address. The dispatcher gets the version that its
//! permit names. Without a permit, or if no replica of the store answers, it keeps its previous version. The supervisor polls
//! each dispatcher from outside, as a load balancer does, and records its outages. It also kills, suspends or stops dispatchers
//! on request.

mod defect;
mod outage;

pub use defect::VersionDefect;
pub use outage::{Outage, OutageCause};

use crate::checker::exits::DispatcherExit;
use crate::dispatcher::DispatcherProcess;
use crate::event_log::{Availability, Event, EventLog};
use crate::store::client::{LeaderHint, StoreClient};
use crate::sync::lock;
use anyhow::Result;
use defect::CRASH_DELAY;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

/// Pause between two polls of a dispatcher.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time limit for the lookup of a permit. After it the dispatcher is started with its previous version.
const PERMIT_LOOKUP_TIMEOUT: Duration = Duration::from_secs(2);

/// A fault that is injected into a dispatcher's process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProcessFault {
    /// Sends SIGKILL.
    Kill,
    /// Sends SIGSTOP, and SIGCONT after this time in seconds.
    Pause(f64),
    /// Sends SIGTERM.
    Stop,
}

/// A supervisor of all dispatchers of a run.
#[derive(Debug, Default)]
pub struct Supervisor {
    initial_version: String,
    replicas: Vec<SocketAddr>,
    pending_faults: Mutex<BTreeMap<usize, ProcessFault>>,
    outages: Mutex<Vec<Outage>>,
    exits: Mutex<Vec<DispatcherExit>>,
    /// The dispatchers that have been started with each version.
    dispatchers_by_version: Mutex<BTreeMap<String, BTreeSet<usize>>>,
    /// Notified when the dispatchers are no longer needed.
    finished: Notify,
    log_started_at: Mutex<Option<Instant>>,
}

impl Supervisor {
    /// Creates a supervisor that looks up permits at `replicas`. All dispatchers start with `version`.
    pub fn new(version: &str, replicas: Vec<SocketAddr>) -> Self {
        Self { initial_version: version.to_owned(), replicas, ..Self::default() }
    }

    /// Returns the version that the permit of a dispatcher in the store names. Returns `None` if no permit has been granted, or
    /// if the store does not answer within [`PERMIT_LOOKUP_TIMEOUT`].
    async fn permitted_version(&self, dispatcher: usize) -> Option<String> {
        let key = format!("permit/dispatcher/n{dispatcher}");
        let mut client = StoreClient::new(self.replicas.clone(), LeaderHint::default());
        let reply = client.request(&json!({"get": [key]}), PERMIT_LOOKUP_TIMEOUT).await.ok()?;
        let permit = reply.pointer("/found/entries")?.get(&key)?.pointer("/value/permit")?.clone();
        let granted = permit["granted"].is_u64();
        permit["want"].as_str().filter(|want| granted && !want.is_empty()).map(str::to_owned)
    }

    /// Injects a fault into a dispatcher at its next poll. A fault that is still pending is replaced, and a fault of a suspended
    /// dispatcher is dropped.
    pub fn inject(&self, dispatcher: usize, fault: ProcessFault) {
        lock(&self.pending_faults).insert(dispatcher, fault);
    }

    /// Returns all outages that have ended so far.
    pub fn outages(&self) -> Vec<Outage> {
        lock(&self.outages).clone()
    }

    /// Returns the exits of dispatchers so far, for the checker. Injected outages that a dispatcher survived are included.
    pub fn exits(&self) -> Vec<DispatcherExit> {
        lock(&self.exits).clone()
    }

    /// Returns the maximum number of dispatchers that have been started with the same version with this defect.
    pub fn max_dispatchers_with(&self, defect: VersionDefect) -> usize {
        let by_version = lock(&self.dispatchers_by_version);
        let defective = by_version.iter().filter(|(version, _)| VersionDefect::of(version) == Some(defect));
        defective.map(|(_, dispatchers)| dispatchers.len()).max().unwrap_or(0)
    }

    /// Signals that the dispatchers may be shut down as soon as their clients have finished.
    pub fn finish(&self) {
        self.finished.notify_one();
    }

    /// Waits for [`Self::finish`].
    pub async fn wait_until_finished(&self) {
        self.finished.notified().await;
    }

    /// Returns the time since the start of the log, in seconds; 0 before the first call of [`Self::supervise`].
    pub fn now(&self) -> f64 {
        lock(&self.log_started_at).map_or(0.0, |started_at| started_at.elapsed().as_secs_f64())
    }

    /// Keeps one dispatcher running for as long as it is polled. It returns only with an error.
    ///
    /// # Errors
    ///
    /// Returns an error if the dispatcher can not be restarted or does not become ready in time.
    pub async fn supervise(
        &self, dispatcher: usize, process: &mut DispatcherProcess, log: &EventLog, workers: usize,
    ) -> Result<()> {
        lock(&self.log_started_at)
            .get_or_insert_with(|| Instant::now() - Duration::from_secs_f64(log.now().max(0.0)));
        let mut supervised = SupervisedDispatcher {
            supervisor: self,
            dispatcher,
            process,
            log,
            workers,
            version: self.initial_version.clone(),
            out_since: None,
            injected: false,
            paused_until: None,
            crashes_at: None,
        };
        loop {
            sleep(POLL_INTERVAL).await;
            supervised.poll().await?;
        }
    }
}

/// The state of one dispatcher under supervision.
struct SupervisedDispatcher<'run> {
    supervisor: &'run Supervisor,
    dispatcher: usize,
    process: &'run mut DispatcherProcess,
    log: &'run EventLog,
    workers: usize,
    version: String,
    /// Start of the current outage, in seconds since the start of the log.
    out_since: Option<f64>,
    /// Whether a fault was injected in the current outage.
    injected: bool,
    paused_until: Option<Instant>,
    /// Time at which its defective version crashes.
    crashes_at: Option<Instant>,
}

impl SupervisedDispatcher<'_> {
    async fn poll(&mut self) -> Result<()> {
        self.crash_if_due();
        self.inject_pending();
        self.resume_if_due();
        if let Some(clean) = self.process.exited_successfully() {
            return self.restart(clean).await;
        }
        if self.process.is_ready().await {
            self.record_ready();
        } else {
            self.out_since.get_or_insert_with(|| self.log.now());
        }
        Ok(())
    }

    /// Simulates the crash of a defective version by a kill, which looks the same from outside.
    fn crash_if_due(&mut self) {
        if self.crashes_at.is_some_and(|at| Instant::now() >= at) && self.paused_until.is_none() {
            self.crashes_at = None;
            self.supervisor.inject(self.dispatcher, ProcessFault::Kill);
        }
    }

    fn inject_pending(&mut self) {
        let fault = lock(&self.supervisor.pending_faults).remove(&self.dispatcher);
        let Some(fault) = fault.filter(|_| self.paused_until.is_none()) else { return };
        self.injected = true;
        self.out_since.get_or_insert_with(|| self.log.now());
        match fault {
            ProcessFault::Kill => self.process.kill(),
            ProcessFault::Stop => self.process.stop(),
            ProcessFault::Pause(seconds) => {
                self.process.pause();
                self.paused_until = Some(Instant::now() + Duration::from_secs_f64(seconds));
            }
        }
    }

    fn resume_if_due(&mut self) {
        if self.paused_until.is_some_and(|until| Instant::now() >= until) {
            self.paused_until = None;
            self.process.resume();
        }
    }

    /// Restarts the dispatcher after its exit, which was without an error if `clean` is set, and records the outage.
    async fn restart(&mut self, clean: bool) -> Result<()> {
        let from = *self.out_since.get_or_insert_with(|| self.log.now());
        let cause = match (self.injected, clean) {
            (true, _) => OutageCause::Injected,
            (false, true) => OutageCause::Voluntary,
            (false, false) => OutageCause::Crash,
        };
        for worker in 0..self.workers {
            let availability = Availability::Ready { cold: false };
            self.log.append(Event::Notified { dispatcher: self.dispatcher, worker, availability });
        }
        if let Some(permitted) = self.supervisor.permitted_version(self.dispatcher).await {
            self.version = permitted;
        }
        let defect = VersionDefect::of(&self.version);
        self.process.set_version(&self.version, defect == Some(VersionDefect::RejectsRequests))?;
        self.process.restart().await?;
        self.crashes_at = (defect == Some(VersionDefect::Crashes)).then(|| Instant::now() + CRASH_DELAY);
        lock(&self.supervisor.dispatchers_by_version)
            .entry(self.version.clone())
            .or_default()
            .insert(self.dispatcher);
        let back = self.log.now();
        self.record_exit(from, back, cause != OutageCause::Voluntary);
        // The outage ends with the last probe that failed.
        let to = back - self.process.not_ready_at.elapsed().as_secs_f64();
        self.record_outage(from, to, cause);
        (self.out_since, self.injected) = (None, false);
        Ok(())
    }

    /// Records that the dispatcher is ready, which ends its current outage, if any.
    fn record_ready(&mut self) {
        let Some(from) = self.out_since.take() else { return };
        let to = self.log.now();
        if self.injected {
            self.record_exit(from, to, true);
        }
        let cause = if self.injected { OutageCause::Injected } else { OutageCause::NotReady };
        self.record_outage(from, to, cause);
        self.injected = false;
    }

    fn record_exit(&self, ended_at_s: f64, serving_again_at_s: f64, abrupt: bool) {
        let exit = DispatcherExit { dispatcher: self.dispatcher, ended_at_s, serving_again_at_s, abrupt };
        lock(&self.supervisor.exits).push(exit);
    }

    fn record_outage(&self, from: f64, to: f64, cause: OutageCause) {
        lock(&self.supervisor.outages).push(Outage { dispatcher: self.dispatcher, from, to, cause });
    }
}
