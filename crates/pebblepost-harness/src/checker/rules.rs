//! The rules, and what of a log breaks them.

use super::availability::LastUpdates;
use super::limits::Limits;
use crate::event_log::{AttemptEnd, Availability, Entry, Event};
use serde::Serialize;
use std::collections::HashMap;

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// One final answer before the client gives up.
    OneAnswer,
    /// What is served was made by a worker for this attempt.
    Genuine,
    /// No more attempts than allowed.
    Attempts,
    /// Nothing runs twice once the repeat is no longer dropped.
    RunsOnce,
    /// Nothing new to a worker that drains or is gone.
    Drains,
    /// No cold worker is overloaded.
    Cold,
    /// Nothing for a client that has disconnected or has its answer.
    Departed,
}

/// A rule was broken.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// Which.
    pub rule: Rule,
    /// When, in seconds from the start.
    pub at: f64,
    /// What was seen.
    pub what: String,
}

/// The body with which a worker answers an attempt.
pub fn result_for(txn: &str) -> String {
    format!("draft of {txn}")
}

/// What is known of a client's attempt.
#[derive(Default)]
struct ClientAttempt {
    sent_at: f64,
    waits: f64,
    worker_attempts: usize,
    over_at: Option<f64>,
    done_at_worker: bool,
}

/// An attempt at a worker that may have run its job.
struct PossibleRun<'log> {
    txn: &'log str,
    worker: usize,
    at: f64,
}

/// The state of a check, event by event.
struct Checker<'log> {
    limits: &'log Limits,
    violations: Vec<Violation>,
    attempts: HashMap<&'log str, ClientAttempt>,
    updates: LastUpdates,
    possible_runs: HashMap<&'log str, Vec<PossibleRun<'log>>>,
    /// The idempotency key of each attempt.
    keys: HashMap<&'log str, &'log str>,
}

impl<'log> Checker<'log> {
    fn new(limits: &'log Limits) -> Self {
        Self {
            limits,
            violations: Vec::new(),
            attempts: HashMap::new(),
            updates: LastUpdates::default(),
            possible_runs: HashMap::new(),
            keys: HashMap::new(),
        }
    }

    fn observe(&mut self, at: f64, event: &'log Event) {
        self.updates.observe(at, event);
        match event {
            Event::Requested { txn, key, waits, .. } => self.requested(at, txn, key, *waits),
            Event::Responded { txn, status, body } => self.responded(at, txn, *status, body),
            Event::ClientCancelled { txn } => {
                if let Some(attempt) = self.attempts.get_mut(txn.as_str()) {
                    attempt.over_at = Some(at);
                }
            }
            Event::ConnectionClosed { txn } => {
                self.report(Rule::OneAnswer, at, format!("{txn}: closed without an answer"));
            }
            Event::TimedOut { txn } => {
                self.report(Rule::OneAnswer, at, format!("{txn}: no answer in its time"));
            }
            Event::UnknownRequest { txn } => {
                self.report(Rule::Genuine, at, format!("a worker got {txn}, never asked for"));
            }
            Event::Overloaded { worker, since, sent } => self.overloaded(at, *worker, *since, sent),
            Event::AttemptArrived { txn, key, dispatcher, worker } => {
                self.check_availability(at, txn, *dispatcher, *worker);
                self.check_client_attempt(at, txn);
                self.check_repeat(at, txn, key, *worker);
            }
            Event::AttemptEnded { txn, worker, end } => self.attempt_ended(txn, *worker, *end),
            Event::Notified { .. } | Event::Published { .. } | Event::ColdLoadPeak { .. } => {}
        }
    }

    fn report(&mut self, rule: Rule, at: f64, what: String) {
        self.violations.push(Violation { rule, at, what });
    }

    fn requested(&mut self, at: f64, txn: &'log str, key: &'log str, waits: f64) {
        self.keys.insert(txn, key);
        let attempt = ClientAttempt { sent_at: at, waits, ..ClientAttempt::default() };
        if self.attempts.insert(txn, attempt).is_some() {
            self.report(Rule::OneAnswer, at, format!("the clients asked twice by the id {txn}"));
        }
    }

    fn responded(&mut self, at: f64, txn: &str, status: u16, body: &str) {
        let Some(attempt) = self.attempts.get_mut(txn) else { return };
        let answered_before = attempt.over_at.replace(at).is_some();
        let gave_up_at = attempt.sent_at + attempt.waits;
        let genuine = body == result_for(txn) && attempt.done_at_worker;
        if answered_before {
            self.report(Rule::OneAnswer, at, format!("{txn} was answered twice"));
        }
        if at > gave_up_at + self.limits.tolerance_s {
            self.report(Rule::OneAnswer, at, format!("{txn} was answered after its client gave up"));
        }
        if status == 200 && !genuine {
            self.report(Rule::Genuine, at, format!("{txn} was served with what no worker made for it"));
        }
    }

    /// The dispatchers are at fault if two thirds of the work came from those notified of the worker's start.
    fn overloaded(&mut self, at: f64, worker: usize, since: f64, sent: &[(usize, f64)]) {
        let knew = |dispatcher: usize| {
            let update = self.updates.sent_to(dispatcher, worker);
            at > since + self.limits.assumed_notified_after_s
                || update.is_some_and(|(when, availability)| {
                    when >= since && availability == Availability::Ready { cold: true }
                })
        };
        let all: f64 = sent.iter().map(|(_, work)| work).sum();
        let knowingly: f64 =
            sent.iter().filter(|(dispatcher, _)| knew(*dispatcher)).map(|(_, work)| work).sum();
        if knowingly * 3.0 >= all * 2.0 {
            self.report(Rule::Cold, at, format!("worker {worker} was pushed over while cold"));
        }
    }

    fn check_availability(&mut self, at: f64, txn: &str, dispatcher: usize, worker: usize) {
        if let Some((since, availability)) = self.updates.closed_since(self.limits, dispatcher, worker)
            && at > since + self.limits.drain_grace_s + self.limits.tolerance_s
        {
            let late_ms = (at - since) * 1e3;
            let what = format!("{txn} to {worker}, {late_ms:.0} ms after {availability:?} was announced");
            self.report(Rule::Drains, at, what);
        }
    }

    fn check_client_attempt(&mut self, at: f64, txn: &str) {
        let Some(attempt) = self.attempts.get_mut(txn) else { return };
        attempt.worker_attempts += 1;
        let (count, over_at) = (attempt.worker_attempts, attempt.over_at);
        if count > self.limits.attempts {
            self.report(Rule::Attempts, at, format!("attempt {count} of {txn}"));
        }
        if over_at.is_some_and(|over| at > over + self.limits.tolerance_s) {
            self.report(Rule::Departed, at, format!("{txn} went out after its client was done"));
        }
    }

    fn check_repeat(&mut self, at: f64, txn: &'log str, key: &'log str, worker: usize) {
        let runs = self.possible_runs.entry(key).or_default();
        let first = runs.iter().map(|run| run.at).fold(f64::INFINITY, f64::min);
        runs.push(PossibleRun { txn, worker, at });
        if at > first + self.limits.idempotency_window_s + self.limits.tolerance_s {
            self.report(Rule::RunsOnce, at, format!("{key} again, {:.1} s after its first", at - first));
        }
    }

    fn attempt_ended(&mut self, txn: &str, worker: usize, end: AttemptEnd) {
        match end {
            AttemptEnd::Done => {
                if let Some(attempt) = self.attempts.get_mut(txn) {
                    attempt.done_at_worker = true;
                }
            }
            // Proved never to have run: it does not count.
            AttemptEnd::NotRun => {
                let runs = self.keys.get(txn).and_then(|key| self.possible_runs.get_mut(key));
                if let Some(runs) = runs
                    && let Some(index) = runs.iter().position(|run| run.txn == txn && run.worker == worker)
                {
                    runs.remove(index);
                }
            }
            AttemptEnd::Failed => {}
        }
    }
}

/// Checks a whole log. The violations are in the order of their times.
pub fn check(log: &[Entry], limits: &Limits) -> Vec<Violation> {
    let mut checker = Checker::new(limits);
    for (at, event) in log {
        checker.observe(*at, event);
    }
    let mut violations = checker.violations;
    violations.sort_by(|left, right| left.at.total_cmp(&right.at));
    violations
}
