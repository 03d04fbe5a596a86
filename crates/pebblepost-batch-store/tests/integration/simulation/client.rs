//! Clients of the proxies. They submit, read and end jobs and retry each request until it is answered.

use super::deployment::Deployment;
use pebblepost_messages::batch::{
    EncodedJob, FromStore, Item, Job, JobResponse, JobTerms, SubmitOutcome, ToStore, store_group_of,
};
use rand::RngExt;
use std::collections::BTreeMap;

/// Time after which an unanswered call is retried, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 400;

/// A call in flight at a proxy.
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
    /// Announces a job, and submits it once memory is reserved.
    Announce(Box<Job>),
    /// Reads results from a position on.
    Read { job: String, start: u64, wait_ms: u64 },
    /// Reads the body of an item.
    Body { job: String, item: String },
    /// Ends a job.
    End { job: String },
}

/// State of all clients.
#[derive(Debug, Default)]
pub struct Clients {
    calls: BTreeMap<u64, Call>,
    last_call: u64,
    /// Calls that are not sent, with the time of the next attempt and the proxy. They wait for that time and for a
    /// link to the primary.
    pending: Vec<(u64, usize, Request)>,
    /// Ids of the jobs that were rejected.
    pub rejected: Vec<String>,
    /// Ids of the announced jobs for which memory was reserved, once for each time.
    pub reserved: Vec<String>,
    /// Time between a reservation and the submission, in milliseconds.
    pub send_ms: u64,
    /// Whether the newest read of a job found it complete, by job.
    pub complete: BTreeMap<String, bool>,
    /// Whether messages are recorded in the transcript.
    pub is_recorded: bool,
}

impl Request {
    fn job(&self) -> &str {
        match self {
            Request::Submit(job) | Request::Announce(job) => &job.id,
            Request::Read { job, .. } | Request::Body { job, .. } | Request::End { job } => job,
        }
    }

    fn message(&self, call: u64) -> ToStore {
        let store_group = store_group_of(self.job());
        match self.clone() {
            Request::Submit(job) => ToStore::Submit { call, store_group, job: EncodedJob::new(&job) },
            Request::Announce(job) => {
                let bytes = EncodedJob::new(&job).estimated_bytes();
                ToStore::AnnounceJob { call, store_group, job: job.id, bytes }
            }
            Request::Read { job, start, wait_ms } => ToStore::Read { call, store_group, job, start, wait_ms },
            Request::Body { job, item } => ToStore::ItemBody { call, store_group, job, item },
            Request::End { job } => ToStore::End { call, store_group, job },
        }
    }
}

/// Creates a job with groups of items and a run deadline of 3 s.
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

impl Deployment {
    /// Sends a request through a proxy and retries it until it is answered.
    pub fn call(&mut self, proxy: usize, request: Request) {
        let now = self.now;
        match &request {
            Request::Submit(job) | Request::Announce(job) => {
                self.checker.record_submission(now, &job.id);
            }
            Request::End { job } => self.checker.record_end_request(job),
            Request::Read { .. } | Request::Body { .. } => {}
        }
        self.clients.pending.push((now, proxy, request));
        self.send_calls(proxy);
    }

    /// Whether all calls are answered.
    pub fn are_all_calls_answered(&self) -> bool {
        self.clients.pending.is_empty() && self.clients.calls.is_empty()
    }

    /// Retries calls that have timed out and sends pending calls that are due.
    pub fn tick_clients(&mut self, proxy: usize) {
        let now = self.now;
        let has_timed_out = |call: &Call| call.proxy == proxy && now >= call.sent_at + CALL_TIMEOUT_MS;
        let timed_out: Vec<u64> = self
            .clients
            .calls
            .iter()
            .filter(|(_, call)| has_timed_out(call))
            .map(|(number, _)| *number)
            .collect();
        for number in timed_out {
            if let Some(call) = self.clients.calls.remove(&number) {
                self.retry_elsewhere(call.request);
            }
        }
        self.send_calls(proxy);
    }

    /// Retries a request at a random proxy after 60 ms.
    fn retry_elsewhere(&mut self, request: Request) {
        let proxy = self.random.random_range(0..self.proxies.len());
        self.clients.pending.push((self.now + 60, proxy, request));
    }

    fn send_calls(&mut self, proxy: usize) {
        let now = self.now;
        let is_due = |(at, at_proxy, request): &mut (u64, usize, Request)| {
            *at <= now
                && *at_proxy == proxy
                && self.proxies[proxy].link_of(store_group_of(request.job())).is_some()
        };
        let due: Vec<(u64, usize, Request)> = self.clients.pending.extract_if(.., is_due).collect();
        for (_, _, request) in due {
            let Some(link) = self.proxies[proxy].link_of(store_group_of(request.job())) else { continue };
            self.clients.last_call += 1;
            let number = self.clients.last_call;
            let message = request.message(number);
            self.clients.calls.insert(number, Call { proxy, sent_at: now, request });
            self.send_from_proxy(proxy, vec![(link, message)]);
        }
    }

    /// Handles a message that answers a call in flight at a proxy.
    pub fn handle_answer(&mut self, proxy: usize, message: &FromStore) {
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
        if !self.check_answer(&call, message) {
            self.retry_elsewhere(call.request);
        }
    }

    /// Checks an answer. Returns whether it ends the call.
    fn check_answer(&mut self, call: &Call, message: &FromStore) -> bool {
        let now = self.now;
        match (&call.request, message) {
            (Request::Announce(job), FromStore::Submitted { outcome: SubmitOutcome::Reserved, .. }) => {
                self.clients.reserved.push(job.id.clone());
                self.clients.pending.push((
                    now + self.clients.send_ms,
                    call.proxy,
                    Request::Submit(job.clone()),
                ));
                true
            }
            (Request::Submit(job) | Request::Announce(job), FromStore::Submitted { outcome, .. }) => {
                match outcome {
                    SubmitOutcome::Accepted => {
                        self.checker.record_accepted_job(job);
                        true
                    }
                    SubmitOutcome::Rejected { .. } => {
                        self.clients.rejected.push(job.id.clone());
                        true
                    }
                    SubmitOutcome::NotPrimary | SubmitOutcome::Unknown | SubmitOutcome::Reserved => false,
                }
            }
            (Request::Read { job, .. }, FromStore::Results { answer, .. }) => {
                self.checker.check_read_answer(now, call.sent_at, job, answer);
                if let JobResponse::Found(page) = answer {
                    let complete = self.checker.read_result_count(job) as u64 == page.total;
                    self.clients.complete.insert(job.clone(), complete);
                }
                *answer != JobResponse::Unavailable
            }
            (Request::Body { job, item }, FromStore::Body { answer, .. }) => {
                self.checker.check_body_answer(now, job, item, answer);
                if *answer == JobResponse::NotFound {
                    let start = self.checker.read_result_count(job) as u64;
                    self.call(call.proxy, Request::Read { job: job.clone(), start, wait_ms: 0 });
                }
                *answer != JobResponse::Unavailable
            }
            (Request::End { job }, FromStore::Ended { answer, .. }) => {
                self.checker.check_end_answer(now, job, answer);
                *answer != JobResponse::Unavailable
            }
            _ => false,
        }
    }
}
