//! Pushed jobs, and the responses kept for duplicate pushes of them.

use super::protocol::push_reply;
use crate::engine::FinalResponse;
use crate::net::ConnectionKey;
use pebblepost_dispatch::api::{RequestId, Time};
use std::collections::HashMap;
use std::time::Duration;

/// Time after a job's first push during which a duplicate push does not run and gets the response to the first.
pub const DEDUPLICATION_WINDOW: Duration = Duration::from_secs(10);

/// A job that has no final response yet.
#[derive(Debug)]
pub(super) struct Job {
    /// Identifies duplicate pushes of the job.
    pub(super) deduplication_key: String,
    pub(super) jid: String,
    pub(super) payload: Vec<u8>,
    /// Index of the job's queue in the configuration.
    pub(super) queue: usize,
    /// How long a worker may keep the job after fetching it.
    pub(super) reserve_for: Duration,
    /// Whether the job was delivered to a worker at least once.
    pub(super) delivered: bool,
}

/// The first push of a job, with its final response once that is known.
#[derive(Debug)]
struct RecentPush {
    id: RequestId,
    first_pushed_at: Time,
    /// Producers that wait for the response.
    waiting: Vec<ConnectionKey>,
    response: Option<FinalResponse>,
}

impl RecentPush {
    /// Returns whether a duplicate still has to be recognised: the job has no response yet or the window is open.
    fn is_current(&self, now: Time) -> bool {
        self.response.is_none() || now < self.first_pushed_at + DEDUPLICATION_WINDOW
    }

    fn window_left(&self, now: Time) -> Duration {
        (self.first_pushed_at + DEDUPLICATION_WINDOW).since(now)
    }
}

/// How a duplicate push is handled.
pub(super) enum DuplicatePush {
    /// The first push has its response; the producer gets this reply.
    Reply(String),
    /// The producer waits for the response to the first push.
    Wait,
}

/// The final response to a job.
pub(super) struct JobResponse {
    pub(super) reply: String,
    /// The producers to which the reply is sent.
    pub(super) waiting: Vec<ConnectionKey>,
}

/// All jobs that have no final response yet or were pushed within the deduplication window.
#[derive(Debug, Default)]
pub(super) struct JobTable {
    jobs: HashMap<RequestId, Job>,
    recent: HashMap<String, RecentPush>,
    pushed_total: u64,
    served_total: u64,
}

impl JobTable {
    /// Returns the number of jobs without a final response.
    pub(super) fn pending(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the number of jobs pushed since the start, not counting duplicates.
    pub(super) fn pushed(&self) -> u64 {
        self.pushed_total
    }

    /// Returns the number of jobs served since the start.
    pub(super) fn served(&self) -> u64 {
        self.served_total
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut Job> {
        self.jobs.get_mut(&id)
    }

    /// Handles the push if it is a duplicate; returns `None` if it is the first push of the job.
    pub(super) fn handle_duplicate(
        &mut self, key: &str, producer: ConnectionKey, now: Time,
    ) -> Option<DuplicatePush> {
        let first = self.recent.get_mut(key).filter(|first| first.is_current(now))?;
        match &first.response {
            Some(response) => Some(DuplicatePush::Reply(push_reply(response, first.window_left(now)))),
            None => {
                first.waiting.push(producer);
                Some(DuplicatePush::Wait)
            }
        }
    }

    /// Records the first push of a job.
    pub(super) fn insert(&mut self, id: RequestId, job: Job, producer: ConnectionKey, now: Time) {
        let push = RecentPush { id, first_pushed_at: now, waiting: vec![producer], response: None };
        self.recent.insert(job.deduplication_key.clone(), push);
        self.jobs.insert(id, job);
        self.pushed_total += 1;
    }

    pub(super) fn contains(&self, id: RequestId) -> bool {
        self.jobs.contains_key(&id)
    }

    /// Records the final response to a job and returns the reply with the producers that wait for it.
    ///
    /// Returns `None` if the job is unknown or already has its response.
    pub(super) fn respond(
        &mut self, id: RequestId, response: FinalResponse, now: Time,
    ) -> Option<JobResponse> {
        let job = self.jobs.remove(&id)?;
        let first = self.recent.get_mut(&job.deduplication_key)?;
        self.served_total += u64::from(matches!(response, FinalResponse::Served(_)));
        let reply = push_reply(&response, first.window_left(now));
        first.response = Some(response);
        Some(JobResponse { reply, waiting: std::mem::take(&mut first.waiting) })
    }

    /// Removes a producer that disconnected while it waited for a response.
    ///
    /// Returns the job's id if the job was removed because no other producer waits for it. A job that was already delivered to
    /// a worker is kept, so that the producer can push again and get its response.
    pub(super) fn remove_producer(&mut self, producer: ConnectionKey) -> Option<RequestId> {
        let awaited_push = |(key, push): (&String, &RecentPush)| {
            push.waiting.contains(&producer).then(|| (key.clone(), push.id))
        };
        let (key, id) = self.recent.iter().find_map(awaited_push)?;
        let push = self.recent.get_mut(&key)?;
        push.waiting.retain(|waiting| *waiting != producer);
        let is_unneeded = push.waiting.is_empty() && self.jobs.get(&id).is_some_and(|job| !job.delivered);
        if !is_unneeded {
            return None;
        }
        self.jobs.remove(&id);
        self.recent.remove(&key);
        Some(id)
    }

    /// Removes responses whose deduplication window has closed.
    pub(super) fn expire(&mut self, now: Time) {
        self.recent.retain(|_, push| push.is_current(now));
    }
}
