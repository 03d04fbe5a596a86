//! The rules, checked on the record of a run. It knows nothing of the dispatcher but what clients, workers and
//! discovery saw.

use crate::event_log::{AttemptEnd, Availability, Entry, Event};
use serde::Serialize;
use std::collections::HashMap;

/// Figures of the rules, in seconds.
#[derive(Clone, Copy, Debug)]
pub struct Figures {
    /// How much later than stated anything may be seen here.
    pub slack: f64,
    /// Most attempts for a try.
    pub attempts: usize,
    /// A repeat of a key is dropped for so long after the first attempt that may have run.
    pub window: f64,
    /// Nothing new goes to a worker so long after its drain was told.
    pub drain: f64,
    /// A start counts as told so long after it, whether it arrived or not.
    pub assumed_notified_after_s: f64,
}

impl Default for Figures {
    fn default() -> Self {
        Self { slack: 0.05, attempts: 3, window: 10.0, drain: 0.5, assumed_notified_after_s: 6.0 }
    }
}

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// One final answer before the client gives up.
    OneAnswer,
    /// What is served was made by a worker for this try.
    Genuine,
    /// No more attempts than allowed.
    Attempts,
    /// Nothing runs twice where the repeat is no longer dropped.
    RunsOnce,
    /// Nothing new to a worker that drains or is gone.
    Drains,
    /// No cold worker is pushed over.
    Cold,
    /// Nothing for a client that has left or has its answer.
    Departed,
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Broken {
    /// Which.
    pub rule: Rule,
    /// When, in seconds from the start.
    pub at: f64,
    /// What was seen.
    pub what: String,
}

#[derive(Default)]
struct Try {
    asked: f64,
    waits: f64,
    attempts: usize,
    over: Option<f64>,
    done_at_worker: bool,
}

/// What a worker answers for a try.
pub fn result_for(txn: &str) -> String {
    format!("draft of {txn}")
}

fn barred(what: Availability) -> bool {
    matches!(what, Availability::Draining | Availability::Gone)
}

/// The last word on each worker, by dispatcher; `None`: what discovery itself has to tell.
#[derive(Default)]
struct Words(HashMap<(Option<usize>, usize), (f64, Availability)>);

impl Words {
    /// Takes in an entry that is a word. The grace of a drain counts from the first word of it.
    fn take(&mut self, at: f64, event: &Event) {
        let (of, what) = match event {
            Event::Availability { dispatcher, worker, what } => ((Some(*dispatcher), *worker), *what),
            Event::Published { worker, what } => ((None, *worker), *what),
            _ => return,
        };
        let update = self.0.entry(of).or_insert((at, what));
        if !(barred(update.1) && barred(what)) {
            *update = (at, what);
        }
    }

    fn last_sent_to(&self, dispatcher: usize, worker: usize) -> Option<(f64, Availability)> {
        self.0.get(&(Some(dispatcher), worker)).copied()
    }

    /// Since when a dispatcher must know that a worker takes nothing new: since it was told or, if the word did not
    /// reach it, so long after discovery had it to tell (`figures.assumed_notified_after_s`).
    fn barred_since(
        &self, figures: &Figures, dispatcher: usize, worker: usize,
    ) -> Option<(f64, Availability)> {
        let notified = self.last_sent_to(dispatcher, worker);
        if let Some(update) = notified.filter(|(_, what)| barred(*what)) {
            return Some(update);
        }
        let (at, what) = self.0.get(&(None, worker)).copied().filter(|(_, what)| barred(*what))?;
        Some((notified.map_or(at, |(ready, _)| at.max(ready)) + figures.assumed_notified_after_s, what))
    }
}

/// Longest time from when a dispatcher must have known that a worker drains or is gone to an attempt that it sent there,
/// in seconds; 0 if nothing was sent after such a word.
pub fn slowest_drain(log: &[Entry], figures: &Figures) -> f64 {
    let (mut updates, mut slowest) = (Words::default(), 0.0_f64);
    for (at, event) in log {
        updates.take(*at, event);
        if let Event::AttemptArrived { dispatcher, worker, .. } = event
            && let Some((since, _)) = updates.barred_since(figures, *dispatcher, *worker)
        {
            slowest = slowest.max(at - since);
        }
    }
    slowest
}

/// Most work that a cold worker was sent within the time in which it falls, as a multiple of what it could do: by the
/// dispatchers that knew of its start when they sent, whose duty it is, and by all.
pub fn cold_multiples(log: &[Entry], figures: &Figures) -> (f64, f64) {
    // When each dispatcher was told of each start of a worker.
    let mut starts: HashMap<(usize, usize), Vec<f64>> = HashMap::new();
    let (mut knowing, mut all) = (0.0_f64, 0.0_f64);
    for (at, event) in log {
        match event {
            Event::Availability { dispatcher, worker, what: Availability::Ready { cold: true } } => {
                starts.entry((*dispatcher, *worker)).or_default().push(*at);
            }
            Event::ColdLoadPeak { worker, cold_load } => {
                let knew = |when: f64, from: usize| {
                    let notified = starts.get(&(from, *worker)).into_iter().flatten();
                    when > cold_load.since + figures.assumed_notified_after_s
                        || notified.into_iter().any(|t| (cold_load.since..=when).contains(t))
                };
                let of = |hit: &dyn Fn(f64, usize) -> bool| {
                    let sent = cold_load.sent.iter().filter(|(when, _, from)| hit(*when, *from));
                    sent.map(|(_, work, _)| work).sum::<f64>() / cold_load.capacity_in_window
                };
                (knowing, all) = (knowing.max(of(&knew)), all.max(of(&|_, _| true)));
            }
            _ => {}
        }
    }
    (knowing, all)
}

/// A dispatcher that was killed, or ended itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Killed {
    /// Which.
    pub dispatcher: usize,
    /// When.
    pub from: f64,
    /// When it took clients again.
    pub back: f64,
    /// What it had taken before went with it. One that ended itself has to answer that; what comes later finds no door.
    pub abrupt: bool,
}

/// The record without the ends of those tries that a killed dispatcher took with it: asked before it was back, still
/// waited for when it was killed, and ended after that.
pub fn without_killed(log: Vec<Entry>, killed: &[Killed]) -> Vec<Entry> {
    let mut asked: HashMap<String, (usize, f64, f64)> = HashMap::new();
    for (at, event) in &log {
        if let Event::Requested { txn, dispatcher, waits, .. } = event {
            asked.insert(txn.clone(), (*dispatcher, *at, at + waits));
        }
    }
    let lost = |end: f64, txn: &String| {
        asked.get(txn).is_some_and(|&(dispatcher, at, until)| {
            let hit = |k: &Killed| {
                let after = at <= k.back && until.min(end) >= k.from;
                k.dispatcher == dispatcher && after && (k.abrupt || at >= k.from)
            };
            killed.iter().any(hit)
        })
    };
    let kept = |(at, event): &Entry| match event {
        Event::ConnectionClosed { txn } | Event::TimedOut { txn } => !lost(*at, txn),
        _ => true,
    };
    log.into_iter().filter(kept).collect()
}

/// Checks a whole record.
pub fn check(log: &[Entry], figures: &Figures) -> Vec<Broken> {
    let mut broken = Vec::new();
    let mut tries: HashMap<&str, Try> = HashMap::new();
    let mut updates = Words::default();
    // Per key: attempts that may have run, by try and worker, with the time they arrived.
    let mut ran: HashMap<&str, Vec<(&str, usize, f64)>> = HashMap::new();
    let mut keys: HashMap<&str, &str> = HashMap::new();
    let mut report = |rule, at, what: String| broken.push(Broken { rule, at, what });
    for (at, event) in log {
        let at = *at;
        updates.take(at, event);
        match event {
            Event::Requested { txn, key, waits, .. } => {
                keys.insert(txn, key);
                if tries.insert(txn, Try { asked: at, waits: *waits, ..Try::default() }).is_some() {
                    report(Rule::OneAnswer, at, format!("the clients asked twice by the id {txn}"));
                }
            }
            Event::Responded { txn, status, body } => {
                let Some(t) = tries.get_mut(txn.as_str()) else { continue };
                if t.over.replace(at).is_some() {
                    report(Rule::OneAnswer, at, format!("{txn} was answered twice"));
                }
                if at > t.asked + t.waits + figures.slack {
                    report(Rule::OneAnswer, at, format!("{txn} was answered after its client gave up"));
                }
                if *status == 200 && (*body != result_for(txn) || !t.done_at_worker) {
                    report(Rule::Genuine, at, format!("{txn} was served with what no worker made for it"));
                }
            }
            Event::Left { txn } => {
                if let Some(t) = tries.get_mut(txn.as_str()) {
                    t.over = Some(at);
                }
            }
            Event::ConnectionClosed { txn } => {
                report(Rule::OneAnswer, at, format!("{txn}: closed without an answer"))
            }
            Event::TimedOut { txn } => report(Rule::OneAnswer, at, format!("{txn}: no answer in its time")),
            Event::UnknownRequest { txn } => {
                report(Rule::Genuine, at, format!("a worker got {txn}, never asked for"))
            }
            Event::Overloaded { worker, since, sent } => {
                // It is the dispatchers' fault if two thirds came from those told of its start.
                let knew = |from: usize| {
                    let update = updates.last_sent_to(from, *worker);
                    at > since + figures.assumed_notified_after_s
                        || update.is_some_and(|(when, what)| {
                            when >= *since && what == Availability::Ready { cold: true }
                        })
                };
                let all: f64 = sent.iter().map(|(_, work)| work).sum();
                let known: f64 = sent.iter().filter(|(from, _)| knew(*from)).map(|(_, work)| work).sum();
                if known * 3.0 >= all * 2.0 {
                    report(Rule::Cold, at, format!("worker {worker} was pushed over while cold"));
                }
            }
            Event::Availability { .. } | Event::Published { .. } | Event::ColdLoadPeak { .. } => {}
            Event::AttemptArrived { txn, key, dispatcher, worker } => {
                if let Some((since, what)) = updates.barred_since(figures, *dispatcher, *worker)
                    && at > since + figures.drain + figures.slack
                {
                    let late = (at - since) * 1e3;
                    report(
                        Rule::Drains,
                        at,
                        format!("{txn} to {worker}, {late:.0} ms after {what:?} was told"),
                    );
                }
                if let Some(t) = tries.get_mut(txn.as_str()) {
                    t.attempts += 1;
                    if t.attempts > figures.attempts {
                        report(Rule::Attempts, at, format!("attempt {} of {txn}", t.attempts));
                    }
                    if t.over.is_some_and(|over| at > over + figures.slack) {
                        report(Rule::Departed, at, format!("{txn} went out after its client was done"));
                    }
                }
                let runs = ran.entry(key).or_default();
                let first = runs.iter().map(|(.., at)| *at).fold(f64::INFINITY, f64::min);
                if at > first + figures.window + figures.slack {
                    report(Rule::RunsOnce, at, format!("{key} again, {:.1} s after its first", at - first));
                }
                runs.push((txn, *worker, at));
            }
            Event::AttemptEnded { txn, worker, end } => {
                match end {
                    AttemptEnd::Done => {
                        if let Some(t) = tries.get_mut(txn.as_str()) {
                            t.done_at_worker = true;
                        }
                    }
                    AttemptEnd::NotRun => {
                        // Proved never to have run: it does not count.
                        if let Some(runs) = keys.get(txn.as_str()).and_then(|key| ran.get_mut(key))
                            && let Some(i) = runs.iter().position(|(t, w, _)| t == txn && w == worker)
                        {
                            runs.remove(i);
                        }
                    }
                    AttemptEnd::Broken => {}
                }
            }
        }
    }
    broken.sort_by(|a, b| a.at.total_cmp(&b.at));
    broken
}
