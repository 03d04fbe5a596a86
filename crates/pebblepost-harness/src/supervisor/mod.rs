//! A simulated supervisor of a site: it starts each dispatcher again whenever it has ended, under its name and address, with
//! the version that its permit names; without a permit, or if no replica of the store answers, with the one it had. It polls
//! each from outside, as a load balancer does, and notes its outages. It also kills, suspends or stops dispatchers on request.

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
use defect::CRASHES_AFTER;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

/// Each dispatcher is polled this often.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The store is asked for so long before a dispatcher is started with the version it had.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(2);

/// A fault of a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProcessFault {
    /// SIGKILL.
    Kill,
    /// SIGSTOP for so many seconds.
    Pause(f64),
    /// SIGTERM.
    Stop,
}

/// The supervisor.
#[derive(Debug, Default)]
pub struct Supervisor {
    initial_version: String,
    replicas: Vec<SocketAddr>,
    pending_faults: Mutex<BTreeMap<usize, ProcessFault>>,
    outages: Mutex<Vec<Outage>>,
    exits: Mutex<Vec<DispatcherExit>>,
    /// Dispatchers that were ever started with each version.
    dispatchers_by_version: Mutex<BTreeMap<String, BTreeSet<usize>>>,
    /// The dispatchers are not needed any more.
    finished: Notify,
    log_began: Mutex<Option<Instant>>,
}

impl Supervisor {
    /// One that asks these replicas; all dispatchers begin with this version.
    pub fn of(version: &str, replicas: Vec<SocketAddr>) -> Self {
        Self { initial_version: version.to_owned(), replicas, ..Self::default() }
    }

    /// The version that the agreed state names for a dispatcher that has ended.
    async fn permitted_version(&self, dispatcher: usize) -> Option<String> {
        let key = format!("permit/dispatcher/n{dispatcher}");
        let mut client = StoreClient::new(self.replicas.clone(), LeaderHint::default());
        let reply = client.request(&json!({"get": [key]}), LOOKUP_TIMEOUT).await.ok()?;
        let permit = reply.pointer("/found/entries")?.get(&key)?.pointer("/value/permit")?.clone();
        let granted = permit["granted"].is_u64();
        permit["want"].as_str().filter(|want| granted && !want.is_empty()).map(str::to_owned)
    }

    /// Injects a fault into a dispatcher at its next poll.
    pub fn inject(&self, dispatcher: usize, fault: ProcessFault) {
        lock(&self.pending_faults).insert(dispatcher, fault);
    }

    /// All outages so far that have ended.
    pub fn outages(&self) -> Vec<Outage> {
        lock(&self.outages).clone()
    }

    /// Exits of dispatchers, for the checker.
    pub fn exits(&self) -> Vec<DispatcherExit> {
        lock(&self.exits).clone()
    }

    /// The most dispatchers that ever ran one version with this defect.
    pub fn max_dispatchers_with(&self, defect: VersionDefect) -> usize {
        let by_version = lock(&self.dispatchers_by_version);
        let defective = by_version.iter().filter(|(version, _)| VersionDefect::of(version) == Some(defect));
        defective.map(|(_, dispatchers)| dispatchers.len()).max().unwrap_or(0)
    }

    /// The dispatchers may end, once their clients have.
    pub fn finish(&self) {
        self.finished.notify_one();
    }

    /// Waits for [`Self::finish`].
    pub async fn until_finished(&self) {
        self.finished.notified().await;
    }

    /// Seconds of the log.
    pub fn now(&self) -> f64 {
        lock(&self.log_began).map_or(0.0, |began| began.elapsed().as_secs_f64())
    }

    /// Keeps one dispatcher running, for as long as it is polled.
    ///
    /// # Errors
    ///
    /// If it does not start again.
    pub async fn supervise(
        &self, dispatcher: usize, process: &mut DispatcherProcess, log: &EventLog, workers: usize,
    ) -> Result<()> {
        lock(&self.log_began)
            .get_or_insert_with(|| Instant::now() - Duration::from_secs_f64(log.now().max(0.0)));
        let mut watched = Watched {
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
            watched.poll().await?;
        }
    }
}

/// One dispatcher under supervision.
struct Watched<'run> {
    supervisor: &'run Supervisor,
    dispatcher: usize,
    process: &'run mut DispatcherProcess,
    log: &'run EventLog,
    workers: usize,
    version: String,
    /// Since when it is out, in seconds of the log.
    out_since: Option<f64>,
    /// The present outage was injected.
    injected: bool,
    paused_until: Option<Instant>,
    /// When its defective version crashes.
    crashes_at: Option<Instant>,
}

impl Watched<'_> {
    async fn poll(&mut self) -> Result<()> {
        self.crash_if_due();
        self.inject_pending();
        self.resume_if_due();
        if let Some(clean) = self.process.ended() {
            return self.restart(clean).await;
        }
        if self.process.is_ready().await {
            self.ready();
        } else {
            self.out_since.get_or_insert_with(|| self.log.now());
        }
        Ok(())
    }

    /// A defective version crashes as a program that fails: from outside that looks like a kill.
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

    /// Starts a dispatcher again that has ended, `clean` or with an error.
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
        self.process.set_version(&self.version, defect == Some(VersionDefect::Refuses))?;
        self.process.start_again().await?;
        self.crashes_at = (defect == Some(VersionDefect::Crashes)).then(|| Instant::now() + CRASHES_AFTER);
        lock(&self.supervisor.dispatchers_by_version)
            .entry(self.version.clone())
            .or_default()
            .insert(self.dispatcher);
        let back = self.log.now();
        self.note_exit(from, back, cause != OutageCause::Voluntary);
        let to = back - self.process.not_ready_at.elapsed().as_secs_f64();
        self.note_outage(from, to, cause);
        (self.out_since, self.injected) = (None, false);
        Ok(())
    }

    /// It runs and is ready: an outage ends, if there was one.
    fn ready(&mut self) {
        let Some(from) = self.out_since.take() else { return };
        let to = self.log.now();
        if self.injected {
            self.note_exit(from, to, true);
        }
        let cause = if self.injected { OutageCause::Injected } else { OutageCause::NotReady };
        self.note_outage(from, to, cause);
        self.injected = false;
    }

    fn note_exit(&self, from: f64, back: f64, abrupt: bool) {
        let exit = DispatcherExit { dispatcher: self.dispatcher, from, back, abrupt };
        lock(&self.supervisor.exits).push(exit);
    }

    fn note_outage(&self, from: f64, to: f64, cause: OutageCause) {
        lock(&self.supervisor.outages).push(Outage { dispatcher: self.dispatcher, from, to, cause });
    }
}
