//! Checks the guarantees that the store gives to clients against the answers that they received.

use pebblepost_messages::batch::{ItemResult, Job, JobResponse, ResultPage, ResultState};
use std::collections::{BTreeMap, BTreeSet};

/// Time after the acknowledged end of a job from which none of its items may run, in milliseconds.
const MAX_CANCEL_DELAY_MS: u64 = 3_000;

/// Answers that clients received, and the violations found in them.
#[derive(Debug, Default)]
pub struct Checker {
    accepted: BTreeMap<String, Job>,
    /// Time at which each job was first sent, in milliseconds.
    submitted_at: BTreeMap<String, u64>,
    /// Results of each job that were read, by position.
    read_results: BTreeMap<String, Vec<ItemResult>>,
    /// Time at which each position was first read, in milliseconds.
    first_read_at: BTreeMap<String, Vec<u64>>,
    ended: BTreeMap<String, u64>,
    end_requested: BTreeSet<String>,
    /// Items whose body was not found: time, job and item id. A read that is sent later must list them.
    without_body: Vec<(u64, String, String)>,
    /// Descriptions of all violations found.
    pub violations: Vec<String>,
}

impl Checker {
    /// Records that a client sends a job. Later calls for the same job have no effect.
    pub fn record_submission(&mut self, now: u64, id: &str) {
        self.submitted_at.entry(id.to_owned()).or_insert(now);
    }

    /// Returns when a job was first sent, in milliseconds.
    pub fn submitted_at(&self, id: &str) -> u64 {
        self.submitted_at[id]
    }

    /// Records that a job was accepted.
    pub fn record_accepted_job(&mut self, job: &Job) {
        self.accepted.insert(job.id.clone(), job.clone());
    }

    /// Returns the ids of the accepted jobs.
    pub fn accepted_job_ids(&self) -> Vec<String> {
        self.accepted.keys().cloned().collect()
    }

    /// Returns an accepted job.
    pub fn accepted_job(&self, id: &str) -> Option<&Job> {
        self.accepted.get(id)
    }

    /// Returns how many results of a job were read.
    pub fn read_result_count(&self, id: &str) -> usize {
        self.read_results.get(id).map_or(0, Vec::len)
    }

    /// Records that a client requested the end of a job.
    pub fn record_end_request(&mut self, id: &str) {
        self.end_requested.insert(id.to_owned());
    }

    /// Whether the end of a job was requested.
    pub fn is_end_requested(&self, id: &str) -> bool {
        self.end_requested.contains(id)
    }

    /// Whether the end of a job was acknowledged.
    pub fn has_ended(&self, id: &str) -> bool {
        self.ended.contains_key(id)
    }

    /// Returns the ids of the items whose results were read.
    pub fn listed_item_ids(&self, id: &str) -> Vec<&str> {
        self.read_results
            .get(id)
            .map_or(Vec::new(), |read_results| read_results.iter().map(|result| result.id.as_str()).collect())
    }

    /// Checks the answer to a request to end a job.
    pub fn check_end_answer(&mut self, now: u64, id: &str, answer: &JobResponse<bool>) {
        match answer {
            JobResponse::Found(_) => drop(self.ended.entry(id.to_owned()).or_insert(now)),
            JobResponse::NotFound => {
                self.violations.push(format!("{now}: job {id} to be ended was not found"))
            }
            JobResponse::Unavailable => {}
        }
    }

    /// Checks the answer to a read that was sent at `sent_at`.
    pub fn check_read_answer(&mut self, now: u64, sent_at: u64, id: &str, answer: &JobResponse<ResultPage>) {
        match answer {
            JobResponse::Found(page) => {
                self.check_page(now, sent_at, id, page);
                self.check_missing_bodies(sent_at, id);
            }
            JobResponse::NotFound => {
                self.violations.push(format!("{now}: job {id} to be read was not found"))
            }
            JobResponse::Unavailable => {}
        }
    }

    fn check_page(&mut self, now: u64, sent_at: u64, id: &str, page: &ResultPage) {
        let Some(job) = self.accepted.get(id) else { return };
        let read_results = self.read_results.entry(id.to_owned()).or_default();
        let start = usize::try_from(page.start).expect("a position");
        if page.total != job.items.len() as u64 {
            self.violations.push(format!("{now}: job {id} has a total of {} items", page.total));
        }
        let first_read_at = self.first_read_at.entry(id.to_owned()).or_default();
        if page.results.is_empty()
            && first_read_at.get(start).is_some_and(|first_read_at| *first_read_at <= sent_at)
        {
            self.violations.push(format!("{now}: job {id} no longer has a result at position {start}"));
        }
        for (position, result) in (start..).zip(&page.results) {
            if position < read_results.len() {
                if read_results[position] != *result {
                    self.violations
                        .push(format!("{now}: job {id} has a different result at position {position}"));
                }
                continue;
            }
            if read_results.iter().any(|other| other.id == result.id) {
                self.violations.push(format!("{now}: job {id} lists {} twice", result.id));
            }
            if job.items.iter().all(|item| item.id != result.id) {
                self.violations
                    .push(format!("{now}: job {id} lists {}, which is not one of its items", result.id));
            }
            // No simulated proxy gives an item up, so every dead letter must be one of an expired item.
            let age_ms = now - self.submitted_at[id];
            if result.state == ResultState::DeadLetter && age_ms < job.terms.queue_ttl_ms {
                self.violations.push(format!("{now}: item {} was given up after {age_ms} ms", result.id));
            }
            read_results.push(result.clone());
            first_read_at.push(now);
        }
    }

    /// Checks that each item whose body was not found before this read was sent is listed now.
    fn check_missing_bodies(&mut self, sent_at: u64, id: &str) {
        let is_due = |(at, job, _): &mut (u64, String, String)| {
            *at <= sent_at && job == id && !self.end_requested.contains(id)
        };
        let due: Vec<_> = self.without_body.extract_if(.., is_due).collect();
        for (at, _, item) in due {
            if !self.listed_item_ids(id).contains(&item.as_str()) {
                self.violations.push(format!("{at}: item {item} has no body and no result"));
            }
        }
    }

    /// Checks the answer to a request for the body of an item.
    pub fn check_body_answer(&mut self, now: u64, id: &str, item: &str, answer: &JobResponse<Vec<u8>>) {
        let Some(job) = self.accepted.get(id) else { return };
        let expected = job.items.iter().find(|other| other.id == item).map(|item| &item.body);
        match answer {
            JobResponse::Found(body) if Some(body) != expected => {
                self.violations.push(format!("{now}: item {item} has a different body"));
            }
            JobResponse::NotFound => self.without_body.push((now, id.to_owned(), item.to_owned())),
            JobResponse::Found(_) | JobResponse::Unavailable => {}
        }
    }

    /// Checks that an item of this job may run at a proxy now.
    pub fn check_running_item(&mut self, now: u64, id: &str) {
        if self.ended.get(id).is_some_and(|ended| now > ended + MAX_CANCEL_DELAY_MS) {
            self.violations.push(format!("{now}: job {id} runs although it has ended"));
        }
    }
}
