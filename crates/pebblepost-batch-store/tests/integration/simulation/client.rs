//! Clients of the proxies: they submit jobs, read and end them, and retry until they have an
//! answer.

use super::world::World;
use pebblepost_messages::batch::{
    FromStore, Item, Job, JobResponse, JobTerms, SubmitOutcome, ToStore, store_group_of,
};
use rand::RngExt;
use std::collections::BTreeMap;

/// A call without an answer is made again after this time, in milliseconds.
const RETRY_MS: u64 = 400;

/// A call under way at a proxy.
#[derive(Debug)]
struct Call {
    proxy: usize,
    sent_at: u64,
    request: Request,
}

/// The request of a call.
#[derive(Clone, Debug)]
pub enum Request {
    /// Submits a job.
    Submit(Box<Job>),
    /// Reads results from a position on.
    Read { job: String, start: u64, wait_ms: u64 },
    /// Reads the body of an item.
    Body { job: String, item: String },
    /// Ends a job.
    End { job: String },
}

/// Callers from outside.
#[derive(Debug, Default)]
pub struct Clients {
    calls: BTreeMap<u64, Call>,
    last_call: u64,
    /// Calls that wait for a link to a primary, with the time of the next attempt.
    waiting: Vec<(u64, usize, Request)>,
    /// Jobs that were refused.
    pub refused: Vec<String>,
    /// Results that a read found last, by job.
    pub complete: BTreeMap<String, bool>,
    /// Messages are noted in the transcript.
    pub is_recorded: bool,
}

impl Request {
    fn job(&self) -> &str {
        match self {
            Request::Submit(job) => &job.id,
            Request::Read { job, .. } | Request::Body { job, .. } | Request::End { job } => job,
        }
    }

    fn message(&self, call: u64) -> ToStore {
        let store_group = store_group_of(self.job());
        match self.clone() {
            Request::Submit(job) => ToStore::Submit { call, store_group, job: *job },
            Request::Read { job, start, wait_ms } => ToStore::Read { call, store_group, job, start, wait_ms },
            Request::Body { job, item } => ToStore::ItemBody { call, store_group, job, item },
            Request::End { job } => ToStore::End { call, store_group, job },
        }
    }
}

/// A job of groups of items, due in 3 s.
pub fn job(id: &str, groups: usize, per_group: usize) -> Job {
    let items = (0..groups * per_group).map(|index| Item {
        id: format!("{id}-{index}"),
        path: format!("/run/{index}"),
        body: format!("body of {id}-{index}").into_bytes(),
        group: format!("g{}", index / per_group),
        ..Item::default()
    });
    let terms =
        JobTerms { run_deadline_ms: 3_000, queue_ttl_ms: 600_000, max_attempts: 3, ..JobTerms::default() };
    Job { id: id.to_owned(), terms, items: items.collect(), ..Job::default() }
}

impl World {
    /// Makes a call at a proxy and repeats it until it is answered.
    pub fn call(&mut self, proxy: usize, request: Request) {
        let now = self.now;
        if let Request::End { job } = &request {
            self.checker.end_requested(job);
        }
        self.clients.waiting.push((now, proxy, request));
        self.send_calls(proxy);
    }

    /// Whether no call is under way.
    pub fn is_quiet(&self) -> bool {
        self.clients.waiting.is_empty() && self.clients.calls.is_empty()
    }

    /// Makes calls again that have no answer, and those that wait for a link.
    pub fn tick_clients(&mut self, proxy: usize) {
        let now = self.now;
        let is_late = |call: &Call| call.proxy == proxy && now >= call.sent_at + RETRY_MS;
        let late: Vec<u64> =
            self.clients.calls.iter().filter(|(_, call)| is_late(call)).map(|(number, _)| *number).collect();
        for number in late {
            if let Some(call) = self.clients.calls.remove(&number) {
                self.retry_elsewhere(call.request);
            }
        }
        self.send_calls(proxy);
    }

    /// A client without an answer goes to any proxy.
    fn retry_elsewhere(&mut self, request: Request) {
        let proxy = self.random.random_range(0..self.proxies.len());
        self.clients.waiting.push((self.now + 60, proxy, request));
    }

    fn send_calls(&mut self, proxy: usize) {
        let now = self.now;
        let is_due = |(at, at_proxy, request): &mut (u64, usize, Request)| {
            *at <= now
                && *at_proxy == proxy
                && self.proxies[proxy].link_of(store_group_of(request.job())).is_some()
        };
        let due: Vec<(u64, usize, Request)> = self.clients.waiting.extract_if(.., is_due).collect();
        for (_, _, request) in due {
            let Some(link) = self.proxies[proxy].link_of(store_group_of(request.job())) else { continue };
            self.clients.last_call += 1;
            let number = self.clients.last_call;
            let message = request.message(number);
            self.clients.calls.insert(number, Call { proxy, sent_at: now, request });
            self.send(proxy, vec![(link, message)]);
        }
    }

    /// An answer came to a proxy.
    pub fn answer_client(&mut self, proxy: usize, message: &FromStore) {
        let number = match message {
            FromStore::Submitted { call, .. }
            | FromStore::Results { call, .. }
            | FromStore::Body { call, .. }
            | FromStore::Ended { call, .. } => *call,
            _ => return,
        };
        if self.clients.calls.get(&number).is_none_or(|call| call.proxy != proxy) {
            return;
        }
        let Some(call) = self.clients.calls.remove(&number) else { return };
        if !self.take_answer(&call, message) {
            self.retry_elsewhere(call.request);
        }
    }

    /// Takes an answer in; whether it ends the call.
    fn take_answer(&mut self, call: &Call, message: &FromStore) -> bool {
        let now = self.now;
        match (&call.request, message) {
            (Request::Submit(job), FromStore::Submitted { outcome, .. }) => match outcome {
                SubmitOutcome::Accepted => {
                    self.checker.accepted(job);
                    true
                }
                SubmitOutcome::Rejected { .. } => {
                    self.clients.refused.push(job.id.clone());
                    true
                }
                SubmitOutcome::NotPrimary | SubmitOutcome::Unknown => false,
            },
            (Request::Read { job, .. }, FromStore::Results { answer, .. }) => {
                self.checker.read(now, call.sent_at, job, answer);
                if let JobResponse::Found(page) = answer {
                    let complete = self.checker.seen(job) as u64 == page.total;
                    self.clients.complete.insert(job.clone(), complete);
                }
                *answer != JobResponse::Unavailable
            }
            (Request::Body { job, item }, FromStore::Body { answer, .. }) => {
                self.checker.body(now, job, item, answer);
                if *answer == JobResponse::NotFound {
                    let start = self.checker.seen(job) as u64;
                    self.call(call.proxy, Request::Read { job: job.clone(), start, wait_ms: 0 });
                }
                *answer != JobResponse::Unavailable
            }
            (Request::End { job }, FromStore::Ended { answer, .. }) => {
                self.checker.ended(now, job, answer);
                *answer != JobResponse::Unavailable
            }
            _ => false,
        }
    }
}
