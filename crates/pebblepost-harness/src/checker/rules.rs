//! The safety rules, and the check of an event log against them.

use super::availability::LastUpdates;
use super::limits::Limits;
use crate::event_log::{AttemptEnd, Availability, Entry, Event};
use serde::Serialize;
use std::collections::HashMap;

/// A safety rule. Its name is written to the reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// Each attempt of a client gets exactly one answer, before the client gives up.
    OneAnswer,
    /// The body of a successful answer was produced by a worker for this attempt, and workers receive only requests that clients
    /// sent.
    Genuine,
    /// An attempt of a client causes at most [`Limits::max_attempts`] attempts at workers.
    Attempts,
    /// No job is sent again once workers no longer drop repeats of its idempotency key.
    RunsOnce,
    /// No new attempt is sent to a worker that is draining or gone.
    Drains,
    /// No cold worker is overloaded by dispatchers that were notified of its start.
    Cold,
    /// No attempt is sent for a client that has disconnected or has received its answer.
    Departed,
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// The rule that was broken.
    pub rule: Rule,
    /// Time of the violation, in seconds since the start of the log.
    pub at: f64,
    /// Description of what was observed.
    pub what: String,
}

/// Returns the body with which a worker answers an attempt. It contains the attempt's id, so that a body produced for another
/// attempt is detected.
pub fn result_body(txn: &str) -> String {
    format!("draft of {txn}")
}

/// The state of a client's attempt.
#[derive(Default)]
struct ClientAttempt {
    sent_at: f64,
    timeout_s: f64,
    worker_attempts: usize,
    finished_at: Option<f64>,
    completed_by_worker: bool,
}

/// An attempt at a worker that may have run the job.
struct PossibleRun<'log> {
    txn: &'log str,
    worker: usize,
    at: f64,
}

/// The state of a check, updated event by event.
struct Checker<'log> {
    limits: &'log Limits,
    violations: Vec<Violation>,
    attempts: HashMap<&'log str, ClientAttempt>,
    updates: LastUpdates,
    /// Attempts that may have run, by idempotency key.
    possible_runs: HashMap<&'log str, Vec<PossibleRun<'log>>>,
    /// The idempotency key by id of the client's attempt.
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
            Event::Requested { txn, key, timeout_s, .. } => self.record_request(at, txn, key, *timeout_s),
            Event::Responded { txn, status, body } => self.check_response(at, txn, *status, body),
            Event::ClientCancelled { txn } => {
                if let Some(attempt) = self.attempts.get_mut(txn.as_str()) {
                    attempt.finished_at = Some(at);
                }
            }
            Event::ConnectionClosed { txn } => {
                self.report_violation(
                    Rule::OneAnswer,
                    at,
                    format!("{txn}: connection closed without an answer"),
                );
            }
            Event::TimedOut { txn } => {
                self.report_violation(
                    Rule::OneAnswer,
                    at,
                    format!("{txn}: no answer before the client's deadline"),
                );
            }
            Event::UnknownRequest { txn } => {
                self.report_violation(
                    Rule::Genuine,
                    at,
                    format!("a worker received {txn}, which no client sent"),
                );
            }
            Event::Overloaded { worker, since, sent } => self.check_overload(at, *worker, *since, sent),
            Event::AttemptArrived { txn, key, dispatcher, worker } => {
                self.check_availability(at, txn, *dispatcher, *worker);
                self.check_client_attempt(at, txn);
                self.check_repeat(at, txn, key, *worker);
            }
            Event::AttemptEnded { txn, worker, end } => self.record_attempt_end(txn, *worker, *end),
            Event::Notified { .. } | Event::Published { .. } | Event::ColdLoadPeak { .. } => {}
        }
    }

    fn report_violation(&mut self, rule: Rule, at: f64, what: String) {
        self.violations.push(Violation { rule, at, what });
    }

    fn record_request(&mut self, at: f64, txn: &'log str, key: &'log str, timeout_s: f64) {
        self.keys.insert(txn, key);
        let attempt = ClientAttempt { sent_at: at, timeout_s, ..ClientAttempt::default() };
        if self.attempts.insert(txn, attempt).is_some() {
            self.report_violation(
                Rule::OneAnswer,
                at,
                format!("clients sent two attempts with the id {txn}"),
            );
        }
    }

    fn check_response(&mut self, at: f64, txn: &str, status: u16, body: &str) {
        let Some(attempt) = self.attempts.get_mut(txn) else { return };
        let already_finished = attempt.finished_at.replace(at).is_some();
        let gave_up_at = attempt.sent_at + attempt.timeout_s;
        let is_genuine = body == result_body(txn) && attempt.completed_by_worker;
        if already_finished {
            self.report_violation(Rule::OneAnswer, at, format!("{txn} was answered twice"));
        }
        if at > gave_up_at + self.limits.tolerance_s {
            self.report_violation(
                Rule::OneAnswer,
                at,
                format!("{txn} was answered after its client gave up"),
            );
        }
        if status == 200 && !is_genuine {
            self.report_violation(
                Rule::Genuine,
                at,
                format!("{txn} was served a body that no worker produced for it"),
            );
        }
    }

    /// Reports a violation if at least two thirds of the work came from dispatchers that were notified of the worker's start.
    fn check_overload(&mut self, at: f64, worker: usize, since: f64, sent: &[(usize, f64)]) {
        let was_notified = |dispatcher: usize| {
            let update = self.updates.sent_to(dispatcher, worker);
            at > since + self.limits.assumed_notified_after_s
                || update.is_some_and(|(when, availability)| {
                    when >= since && availability == Availability::Ready { cold: true }
                })
        };
        let total_work: f64 = sent.iter().map(|(_, work)| work).sum();
        let work_from_notified: f64 =
            sent.iter().filter(|(dispatcher, _)| was_notified(*dispatcher)).map(|(_, work)| work).sum();
        if work_from_notified * 3.0 >= total_work * 2.0 {
            self.report_violation(Rule::Cold, at, format!("worker {worker} was overloaded while cold"));
        }
    }

    fn check_availability(&mut self, at: f64, txn: &str, dispatcher: usize, worker: usize) {
        if let Some((since, availability)) = self.updates.closed_since(self.limits, dispatcher, worker)
            && at > since + self.limits.drain_grace_s + self.limits.tolerance_s
        {
            let late_ms = (at - since) * 1e3;
            let what = format!(
                "{txn} was sent to worker {worker} {late_ms:.0} ms after {availability:?} was announced"
            );
            self.report_violation(Rule::Drains, at, what);
        }
    }

    fn check_client_attempt(&mut self, at: f64, txn: &str) {
        let Some(attempt) = self.attempts.get_mut(txn) else { return };
        attempt.worker_attempts += 1;
        let (count, finished_at) = (attempt.worker_attempts, attempt.finished_at);
        if count > self.limits.max_attempts {
            self.report_violation(
                Rule::Attempts,
                at,
                format!(
                    "attempt {count} of {txn} exceeds the limit of {} attempts",
                    self.limits.max_attempts
                ),
            );
        }
        if finished_at.is_some_and(|finished| at > finished + self.limits.tolerance_s) {
            self.report_violation(
                Rule::Departed,
                at,
                format!("{txn} was sent to a worker after its client had finished"),
            );
        }
    }

    fn check_repeat(&mut self, at: f64, txn: &'log str, key: &'log str, worker: usize) {
        let runs = self.possible_runs.entry(key).or_default();
        let first_at = runs.iter().map(|run| run.at).fold(f64::INFINITY, f64::min);
        runs.push(PossibleRun { txn, worker, at });
        if at > first_at + self.limits.idempotency_window_s + self.limits.tolerance_s {
            self.report_violation(
                Rule::RunsOnce,
                at,
                format!(
                    "{key} was sent again {:.1} s after the first attempt that may have run",
                    at - first_at
                ),
            );
        }
    }

    fn record_attempt_end(&mut self, txn: &str, worker: usize, end: AttemptEnd) {
        match end {
            AttemptEnd::Done => {
                if let Some(attempt) = self.attempts.get_mut(txn) {
                    attempt.completed_by_worker = true;
                }
            }
            // The worker stated that the job did not run, so a repeat can not run it twice.
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

/// Checks a complete log and returns the violations in the order of their times.
pub fn check(log: &[Entry], limits: &Limits) -> Vec<Violation> {
    let mut checker = Checker::new(limits);
    for (at, event) in log {
        checker.observe(*at, event);
    }
    let mut violations = checker.violations;
    violations.sort_by(|left, right| left.at.total_cmp(&right.at));
    violations
}
