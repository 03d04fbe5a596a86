//! A site's supervisor, as a stand-in: it starts each dispatcher again whenever it has ended, with the version that the
//! site wants by then, under its name and address. It looks at each from outside, as a balancer does, and notes when one
//! was out and how that began. On order it kills, pauses or stops one.

use crate::checker::Killed;
use crate::dispatcher::Process;
use crate::record::{Record, Seen, Told};
use crate::standin::lock;
use anyhow::Result;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Each is looked at this often.
const LOOK: Duration = Duration::from_millis(20);

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

/// One dispatcher was out: from its first answer that was none of a ready one to its next that was.
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
    version: Mutex<String>,
    orders: Mutex<BTreeMap<usize, Order>>,
    outages: Mutex<Vec<Outage>>,
    killed: Mutex<Vec<Killed>>,
    /// When the record began.
    began: Mutex<Option<Instant>>,
}

impl Supervisor {
    /// One that starts this version.
    pub fn of(version: &str) -> Self {
        Self { version: Mutex::new(version.to_owned()), ..Self::default() }
    }

    /// From now on it starts this one.
    pub fn wants(&self, version: &str) {
        *lock(&self.version) = version.to_owned();
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
        loop {
            sleep(LOOK).await;
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
                process.set_version(&lock(&self.version))?;
                process.start_again().await?;
                let back = record.now();
                let abrupt = how != How::Itself;
                lock(&self.killed).push(Killed { dispatcher, from, back, abrupt });
                lock(&self.outages).push(Outage { dispatcher, from, to: back, how });
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
