//! A site's supervisor, as a stand-in: it starts each dispatcher again whenever it has ended, under its name and address, with
//! the version that its permit names; without a permit, or if nobody can be asked, with the one it had. It looks at each from outside, as a balancer does, and notes when one
//! was out and how that began. On order it kills, pauses or stops one.

use crate::checker::Killed;
use crate::dispatcher::Process;
use crate::record::{Record, Seen, Told};
use crate::standin::lock;
use crate::store::client::{Leader, StoreClient};
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
pub enum Flaw {
    /// `crashes`: it crashes soon after each of its starts.
    Crashes,
    /// `refuses`: its configuration has it refuse a good part of what it could serve.
    Refuses,
}

impl Flaw {
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
        Self::ALL.into_iter().find(|flaw| version.starts_with(flaw.name()))
    }
}
/// Each is looked at this often.
const LOOK: Duration = Duration::from_millis(20);
/// The keepers are asked for so long before one is started as it was.
const PATIENCE: Duration = Duration::from_secs(2);

/// What is done to one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Order {
    /// SIGKILL.
    Kill,
    /// SIGSTOP for so many seconds.
    Pause(f64),
    /// SIGTERM.
    Stop,
}

/// How an outage began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum How {
    /// It ended itself, as a program does that is told to: nobody here told it.
    Itself,
    /// By an order.
    Ordered,
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
    pub how: How,
}

/// The supervisor.
#[derive(Debug, Default)]
pub struct Supervisor {
    version: String,
    replicas: Vec<SocketAddr>,
    orders: Mutex<BTreeMap<usize, Order>>,
    outages: Mutex<Vec<Outage>>,
    killed: Mutex<Vec<Killed>>,
    /// Dispatchers that were ever started with each version.
    reached: Mutex<BTreeMap<String, BTreeSet<usize>>>,
    /// Nobody needs the dispatchers any more.
    over: Notify,
    /// When the record began.
    began: Mutex<Option<Instant>>,
}

impl Supervisor {
    /// One that asks these keepers; all begin with this version.
    pub fn of(version: &str, replicas: Vec<SocketAddr>) -> Self {
        Self { version: version.to_owned(), replicas, ..Self::default() }
    }

    /// The version that the agreed state names for one that has ended.
    async fn named(&self, dispatcher: usize) -> Option<String> {
        let key = format!("permit/dispatcher/n{dispatcher}");
        let mut client = StoreClient::new(self.replicas.clone(), Leader::default());
        let say = client.ask(&json!({"get": [key]}), PATIENCE).await.ok()?;
        let permit = say.pointer("/found/entries")?.get(&key)?.pointer("/value/permit")?.clone();
        let granted = permit["granted"].is_u64();
        permit["want"].as_str().filter(|want| granted && !want.is_empty()).map(str::to_owned)
    }

    /// Does this to one, as soon as it is looked at.
    pub fn order(&self, dispatcher: usize, order: Order) {
        lock(&self.orders).insert(dispatcher, order);
    }

    /// All outages so far that have ended.
    pub fn outages(&self) -> Vec<Outage> {
        lock(&self.outages).clone()
    }

    /// What the checker excuses.
    pub fn killed(&self) -> Vec<Killed> {
        lock(&self.killed).clone()
    }

    /// The most dispatchers that ever ran one version with this flaw.
    pub fn reached(&self, flaw: Flaw) -> usize {
        let reached = lock(&self.reached);
        let bad = reached.iter().filter(|(version, _)| Flaw::of(version) == Some(flaw));
        bad.map(|(_, who)| who.len()).max().unwrap_or(0)
    }

    /// The dispatchers may end, once their clients have.
    pub fn is_over(&self) {
        self.over.notify_one();
    }

    /// Waits for [`Self::is_over`].
    pub async fn until_over(&self) {
        self.over.notified().await;
    }

    /// Seconds of the record.
    pub fn now(&self) -> f64 {
        lock(&self.began).map_or(0.0, |began| began.elapsed().as_secs_f64())
    }

    /// Keeps one running, for as long as it is polled.
    pub async fn keep(
        &self, dispatcher: usize, process: &mut Process, record: &Record, workers: usize,
    ) -> Result<()> {
        lock(&self.began)
            .get_or_insert_with(|| Instant::now() - Duration::from_secs_f64(record.now().max(0.0)));
        let (mut out, mut ordered, mut paused): (Option<f64>, bool, Option<Instant>) = (None, false, None);
        let mut crashes: Option<Instant> = None;
        let mut version = self.version.clone();
        loop {
            sleep(LOOK).await;
            if crashes.is_some_and(|at| Instant::now() >= at) && paused.is_none() {
                // As a program that fails: from outside there is no telling it from a kill.
                crashes = None;
                lock(&self.orders).insert(dispatcher, Order::Kill);
            }
            let order = lock(&self.orders).remove(&dispatcher);
            if let Some(order) = order.filter(|_| paused.is_none()) {
                ordered = true;
                out.get_or_insert_with(|| record.now());
                match order {
                    Order::Kill => process.kill(),
                    Order::Stop => process.stop(),
                    Order::Pause(seconds) => {
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
                let from = *out.get_or_insert_with(|| record.now());
                let how = match (ordered, clean) {
                    (true, _) => How::Ordered,
                    (false, true) => How::Itself,
                    (false, false) => How::Crash,
                };
                for worker in 0..workers {
                    record.note(Seen::Told { dispatcher, worker, what: Told::Ready { cold: false } });
                }
                if let Some(named) = self.named(dispatcher).await {
                    version = named;
                }
                let flaw = Flaw::of(&version);
                process.set_version(&version, flaw == Some(Flaw::Refuses))?;
                process.start_again().await?;
                crashes = (flaw == Some(Flaw::Crashes)).then(|| Instant::now() + CRASHES_AFTER);
                lock(&self.reached).entry(version.clone()).or_default().insert(dispatcher);
                let back = record.now();
                let abrupt = how != How::Itself;
                lock(&self.killed).push(Killed { dispatcher, from, back, abrupt });
                let to = back - process.not_ready_at.elapsed().as_secs_f64();
                lock(&self.outages).push(Outage { dispatcher, from, to, how });
                (out, ordered) = (None, false);
            } else if process.is_ready().await {
                if let Some(from) = out.take() {
                    let how = if ordered { How::Ordered } else { How::NotReady };
                    let to = record.now();
                    if ordered {
                        lock(&self.killed).push(Killed { dispatcher, from, back: to, abrupt: true });
                    }
                    lock(&self.outages).push(Outage { dispatcher, from, to, how });
                    ordered = false;
                }
            } else {
                out.get_or_insert_with(|| record.now());
            }
        }
    }
}
