//! A site's supervisor, as a stand-in: it starts each dispatcher again whenever it has ended, under its name and address, with
//! the version that its permit names; without a permit, or if nobody can be asked, with the one it had. It looks at each from outside, as a balancer does, and notes when one
//! was out and how that began. On order it kills, pauses or stops one.

use crate::checker::exits::DispatcherExit;
use crate::dispatcher::DispatcherProcess;
use crate::event_log::{Availability, Event, EventLog};
use crate::store::client::{Leader, StoreClient};
use crate::sync::lock;
use anyhow::Result;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

/// A version that crashes does so this long after each of its starts.
const CRASHES_AFTER: Duration = Duration::from_secs(2);

/// What is wrong with a version, by how its name begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionDefect {
    /// `crashes`: it crashes soon after each of its starts.
    Crashes,
    /// `refuses`: its configuration has it refuse a good part of what it could serve.
    Refuses,
}

impl VersionDefect {
    /// All of them.
    pub const ALL: [Self; 2] = [Self::Crashes, Self::Refuses];

    /// How the names of versions with it begin.
    pub fn name(self) -> &'static str {
        match self {
            Self::Crashes => "crashes",
            Self::Refuses => "refuses",
        }
    }

    /// What is wrong with this version.
    pub fn of(version: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|defect| version.starts_with(defect.name()))
    }
}
/// Each is looked at this often.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The keepers are asked for so long before one is started as it was.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(2);

/// What is done to one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProcessFault {
    /// SIGKILL.
    Kill,
    /// SIGSTOP for so many seconds.
    Pause(f64),
    /// SIGTERM.
    Stop,
}

/// How an outage began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutageCause {
    /// It ended itself, as a program does that is told to: nobody here told it.
    Voluntary,
    /// By an order.
    Injected,
    /// It ran, and was not ready.
    NotReady,
    /// It ended itself by an error.
    Crash,
}

/// One dispatcher was surely out: from its first answer that was none of a ready one to the last look that did not find it
/// ready. When it became ready between that look and the next is not seen; the next one may go by then.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outage {
    /// Which.
    pub dispatcher: usize,
    /// From when, in seconds of the record.
    pub from: f64,
    /// Until when.
    pub to: f64,
    /// How it began.
    pub cause: OutageCause,
}

/// The supervisor.
#[derive(Debug, Default)]
pub struct Supervisor {
    version: String,
    replicas: Vec<SocketAddr>,
    pending_faults: Mutex<BTreeMap<usize, ProcessFault>>,
    outages: Mutex<Vec<Outage>>,
    exits: Mutex<Vec<DispatcherExit>>,
    /// Dispatchers that were ever started with each version.
    dispatchers_by_version: Mutex<BTreeMap<String, BTreeSet<usize>>>,
    /// Nobody needs the dispatchers any more.
    finished: Notify,
    /// When the record began.
    log_began: Mutex<Option<Instant>>,
}

impl Supervisor {
    /// One that asks these keepers; all begin with this version.
    pub fn of(version: &str, replicas: Vec<SocketAddr>) -> Self {
        Self { version: version.to_owned(), replicas, ..Self::default() }
    }

    /// The version that the agreed state names for one that has ended.
    async fn permitted_version(&self, dispatcher: usize) -> Option<String> {
        let key = format!("permit/dispatcher/n{dispatcher}");
        let mut client = StoreClient::new(self.replicas.clone(), Leader::default());
        let reply = client.request(&json!({"get": [key]}), LOOKUP_TIMEOUT).await.ok()?;
        let permit = reply.pointer("/found/entries")?.get(&key)?.pointer("/value/permit")?.clone();
        let granted = permit["granted"].is_u64();
        permit["want"].as_str().filter(|want| granted && !want.is_empty()).map(str::to_owned)
    }

    /// Does this to one, as soon as it is looked at.
    pub fn inject(&self, dispatcher: usize, inject: ProcessFault) {
        lock(&self.pending_faults).insert(dispatcher, inject);
    }

    /// All outages so far that have ended.
    pub fn outages(&self) -> Vec<Outage> {
        lock(&self.outages).clone()
    }

    /// What the checker excuses.
    pub fn exits(&self) -> Vec<DispatcherExit> {
        lock(&self.exits).clone()
    }

    /// The most dispatchers that ever ran one version with this flaw.
    pub fn max_dispatchers_with(&self, defect: VersionDefect) -> usize {
        let dispatchers_by_version = lock(&self.dispatchers_by_version);
        let bad =
            dispatchers_by_version.iter().filter(|(version, _)| VersionDefect::of(version) == Some(defect));
        bad.map(|(_, who)| who.len()).max().unwrap_or(0)
    }

    /// The dispatchers may end, once their clients have.
    pub fn finish(&self) {
        self.finished.notify_one();
    }

    /// Waits for [`Self::finish`].
    pub async fn until_finished(&self) {
        self.finished.notified().await;
    }

    /// Seconds of the record.
    pub fn now(&self) -> f64 {
        lock(&self.log_began).map_or(0.0, |log_began| log_began.elapsed().as_secs_f64())
    }

    /// Keeps one running, for as long as it is polled.
    pub async fn supervise(
        &self, dispatcher: usize, process: &mut DispatcherProcess, log: &EventLog, workers: usize,
    ) -> Result<()> {
        lock(&self.log_began)
            .get_or_insert_with(|| Instant::now() - Duration::from_secs_f64(log.now().max(0.0)));
        let (mut out, mut injected, mut paused): (Option<f64>, bool, Option<Instant>) = (None, false, None);
        let mut crashes: Option<Instant> = None;
        let mut version = self.version.clone();
        loop {
            sleep(POLL_INTERVAL).await;
            if crashes.is_some_and(|at| Instant::now() >= at) && paused.is_none() {
                // As a program that fails: from outside there is no telling it from a kill.
                crashes = None;
                lock(&self.pending_faults).insert(dispatcher, ProcessFault::Kill);
            }
            let inject = lock(&self.pending_faults).remove(&dispatcher);
            if let Some(inject) = inject.filter(|_| paused.is_none()) {
                injected = true;
                out.get_or_insert_with(|| log.now());
                match inject {
                    ProcessFault::Kill => process.kill(),
                    ProcessFault::Stop => process.stop(),
                    ProcessFault::Pause(seconds) => {
                        process.pause();
                        paused = Some(Instant::now() + Duration::from_secs_f64(seconds));
                    }
                }
            }
            if paused.is_some_and(|until| Instant::now() >= until) {
                paused = None;
                process.resume();
            }
            if let Some(clean) = process.ended() {
                let from = *out.get_or_insert_with(|| log.now());
                let cause = match (injected, clean) {
                    (true, _) => OutageCause::Injected,
                    (false, true) => OutageCause::Voluntary,
                    (false, false) => OutageCause::Crash,
                };
                for worker in 0..workers {
                    log.append(Event::Notified {
                        dispatcher,
                        worker,
                        what: Availability::Ready { cold: false },
                    });
                }
                if let Some(permitted_version) = self.permitted_version(dispatcher).await {
                    version = permitted_version;
                }
                let defect = VersionDefect::of(&version);
                process.set_version(&version, defect == Some(VersionDefect::Refuses))?;
                process.start_again().await?;
                crashes = (defect == Some(VersionDefect::Crashes)).then(|| Instant::now() + CRASHES_AFTER);
                lock(&self.dispatchers_by_version).entry(version.clone()).or_default().insert(dispatcher);
                let back = log.now();
                let abrupt = cause != OutageCause::Voluntary;
                lock(&self.exits).push(DispatcherExit { dispatcher, from, back, abrupt });
                let to = back - process.not_ready_at.elapsed().as_secs_f64();
                lock(&self.outages).push(Outage { dispatcher, from, to, cause });
                (out, injected) = (None, false);
            } else if process.is_ready().await {
                if let Some(from) = out.take() {
                    let cause = if injected { OutageCause::Injected } else { OutageCause::NotReady };
                    let to = log.now();
                    if injected {
                        lock(&self.exits).push(DispatcherExit { dispatcher, from, back: to, abrupt: true });
                    }
                    lock(&self.outages).push(Outage { dispatcher, from, to, cause });
                    injected = false;
                }
            } else {
                out.get_or_insert_with(|| log.now());
            }
        }
    }
}
