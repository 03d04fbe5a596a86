//! Jobs that were pushed, and the responses that repeats of them get.

use super::protocol::push_reply;
use crate::engine::FinalResponse;
use crate::net::ConnectionKey;
use pebblepost_dispatch::api::{RequestId, Time};
use std::collections::HashMap;
use std::time::Duration;

/// Within this time of a job's first push, a repeat does not run and gets the first one's response.
pub const DEDUPLICATION_WINDOW: Duration = Duration::from_secs(10);

/// A job that has no final response yet.
#[derive(Debug)]
pub(super) struct Job {
    /// What tells repeats of it.
    pub(super) deduplication_key: String,
    pub(super) jid: String,
    pub(super) payload: Vec<u8>,
    /// Index of its queue.
    pub(super) queue: usize,
    /// How long a worker may keep it.
    pub(super) reserve_for: Duration,
    /// Whether a worker has had it.
    pub(super) delivered: bool,
}

/// A job's first push, and its final response once it is known.
#[derive(Debug)]
struct RecentPush {
    id: RequestId,
    first: Time,
    waiting: Vec<ConnectionKey>,
    response: Option<FinalResponse>,
}

impl RecentPush {
    fn is_current(&self, now: Time) -> bool {
        self.response.is_none() || now < self.first + DEDUPLICATION_WINDOW
    }

    fn window_left(&self, now: Time) -> Duration {
        (self.first + DEDUPLICATION_WINDOW).since(now)
    }
}

/// What becomes of a push whose job was pushed before.
pub(super) enum Repeat {
    /// The first push has its response: this is the reply.
    Reply(String),
    /// The producer waits for the first push's response.
    Waits,
}

/// The final response to a job.
pub(super) struct JobResponse {
    pub(super) reply: String,
    /// The producers that get it.
    pub(super) waiting: Vec<ConnectionKey>,
}

/// All jobs that were pushed within the window or have no final response yet.
#[derive(Debug, Default)]
pub(super) struct JobTable {
    jobs: HashMap<RequestId, Job>,
    recent: HashMap<String, RecentPush>,
    pushed: u64,
    served: u64,
}

impl JobTable {
    /// Jobs without a final response.
    pub(super) fn pending(&self) -> usize {
        self.jobs.len()
    }

    /// Jobs pushed since the start, without repeats.
    pub(super) fn pushed(&self) -> u64 {
        self.pushed
    }

    /// Jobs served since the start.
    pub(super) fn served(&self) -> u64 {
        self.served
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut Job> {
        self.jobs.get_mut(&id)
    }

    /// Handles a push as a repeat, if it is one.
    pub(super) fn repeat(&mut self, key: &str, producer: ConnectionKey, now: Time) -> Option<Repeat> {
        let first = self.recent.get_mut(key).filter(|first| first.is_current(now))?;
        match &first.response {
            Some(response) => Some(Repeat::Reply(push_reply(response, first.window_left(now)))),
            None => {
                first.waiting.push(producer);
                Some(Repeat::Waits)
            }
        }
    }

    /// Takes in a job's first push.
    pub(super) fn insert(&mut self, id: RequestId, job: Job, producer: ConnectionKey, now: Time) {
        let push = RecentPush { id, first: now, waiting: vec![producer], response: None };
        self.recent.insert(job.deduplication_key.clone(), push);
        self.jobs.insert(id, job);
        self.pushed += 1;
    }

    pub(super) fn contains(&self, id: RequestId) -> bool {
        self.jobs.contains_key(&id)
    }

    /// Records the final response to a job.
    pub(super) fn respond(
        &mut self, id: RequestId, response: FinalResponse, now: Time,
    ) -> Option<JobResponse> {
        let job = self.jobs.remove(&id)?;
        let first = self.recent.get_mut(&job.deduplication_key)?;
        self.served += u64::from(matches!(response, FinalResponse::Served(_)));
        let reply = push_reply(&response, first.window_left(now));
        first.response = Some(response);
        Some(JobResponse { reply, waiting: std::mem::take(&mut first.waiting) })
    }

    /// A producer that waited for a response disconnected; returns the job's id if nobody needs the job any more.
    ///
    /// A job that a worker has had goes on, so that the producer's own repeat finds its response.
    pub(super) fn remove_producer(&mut self, producer: ConnectionKey) -> Option<RequestId> {
        let waits = |(key, push): (&String, &RecentPush)| {
            push.waiting.contains(&producer).then(|| (key.clone(), push.id))
        };
        let (key, id) = self.recent.iter().find_map(waits)?;
        let push = self.recent.get_mut(&key)?;
        push.waiting.retain(|waiting| *waiting != producer);
        let needless = push.waiting.is_empty() && self.jobs.get(&id).is_some_and(|job| !job.delivered);
        if !needless {
            return None;
        }
        self.jobs.remove(&id);
        self.recent.remove(&key);
        Some(id)
    }

    /// Forgets responses that no repeat can ask for any more.
    pub(super) fn expire(&mut self, now: Time) {
        self.recent.retain(|_, push| push.is_current(now));
    }
}
