//! What callers from outside may rely on, checked against what they saw.

use pebblepost_messages::batch::{ItemResult, Job, JobResponse, ResultPage};
use std::collections::{BTreeMap, BTreeSet};

/// Nothing of a job may run so long after its end was acknowledged, in milliseconds.
const CANCEL_MS: u64 = 3_000;

/// What callers saw, and what was wrong with it.
#[derive(Debug, Default)]
pub struct Checker {
    accepted: BTreeMap<String, Job>,
    seen: BTreeMap<String, Vec<ItemResult>>,
    /// When each position was first read.
    seen_at: BTreeMap<String, Vec<u64>>,
    ended: BTreeMap<String, u64>,
    end_requested: BTreeSet<String>,
    /// Items that had no body: their time, job and id. They must be listed by then.
    without_body: Vec<(u64, String, String)>,
    /// What was wrong.
    pub violations: Vec<String>,
}

impl Checker {
    /// A job was acknowledged.
    pub fn accepted(&mut self, job: &Job) {
        self.accepted.insert(job.id.clone(), job.clone());
    }

    /// Ids of the acknowledged jobs.
    pub fn jobs(&self) -> Vec<String> {
        self.accepted.keys().cloned().collect()
    }

    /// An acknowledged job.
    pub fn job(&self, id: &str) -> Option<&Job> {
        self.accepted.get(id)
    }

    /// How many results of a job were read.
    pub fn seen(&self, id: &str) -> usize {
        self.seen.get(id).map_or(0, Vec::len)
    }

    /// A client requested the end of a job.
    pub fn end_requested(&mut self, id: &str) {
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

    /// Ids of the items of a job that were read as listed.
    pub fn listed(&self, id: &str) -> Vec<&str> {
        self.seen.get(id).map_or(Vec::new(), |seen| seen.iter().map(|result| result.id.as_str()).collect())
    }

    /// The end of a job was answered.
    pub fn ended(&mut self, now: u64, id: &str, answer: &JobResponse<bool>) {
        match answer {
            JobResponse::Found(_) => drop(self.ended.entry(id.to_owned()).or_insert(now)),
            JobResponse::NotFound => {
                self.violations.push(format!("{now}: job {id} is not there to be ended"))
            }
            JobResponse::Unavailable => {}
        }
    }

    /// A read that was sent at `sent_at` was answered.
    pub fn read(&mut self, now: u64, sent_at: u64, id: &str, answer: &JobResponse<ResultPage>) {
        match answer {
            JobResponse::Found(page) => {
                self.page(now, sent_at, id, page);
                self.explain_missing_bodies(sent_at, id);
            }
            JobResponse::NotFound => self.violations.push(format!("{now}: job {id} is not there to be read")),
            JobResponse::Unavailable => {}
        }
    }

    fn page(&mut self, now: u64, sent_at: u64, id: &str, page: &ResultPage) {
        let Some(job) = self.accepted.get(id) else { return };
        let seen = self.seen.entry(id.to_owned()).or_default();
        let start = usize::try_from(page.start).expect("a position");
        if page.total != job.items.len() as u64 {
            self.violations.push(format!("{now}: job {id} has {} items", page.total));
        }
        let seen_at = self.seen_at.entry(id.to_owned()).or_default();
        if page.results.is_empty() && seen_at.get(start).is_some_and(|seen_at| *seen_at <= sent_at) {
            self.violations.push(format!("{now}: job {id} has nothing at position {start} any more"));
        }
        for (position, result) in (start..).zip(&page.results) {
            if position < seen.len() {
                if seen[position] != *result {
                    self.violations.push(format!("{now}: job {id} has another result at {position}"));
                }
                continue;
            }
            if seen.iter().any(|other| other.id == result.id) {
                self.violations.push(format!("{now}: job {id} lists {} twice", result.id));
            }
            if job.items.iter().all(|item| item.id != result.id) {
                self.violations.push(format!("{now}: job {id} lists {}, which is not its own", result.id));
            }
            seen.push(result.clone());
            seen_at.push(now);
        }
    }

    /// An item that had no body before this read was sent must be listed now.
    fn explain_missing_bodies(&mut self, sent_at: u64, id: &str) {
        let is_concerned = |(at, job, _): &mut (u64, String, String)| {
            *at <= sent_at && job == id && !self.end_requested.contains(id)
        };
        let concerned: Vec<_> = self.without_body.extract_if(.., is_concerned).collect();
        for (at, _, item) in concerned {
            if !self.listed(id).contains(&item.as_str()) {
                self.violations.push(format!("{at}: item {item} has no body, and is not listed"));
            }
        }
    }

    /// The body of an item was answered.
    pub fn body(&mut self, now: u64, id: &str, item: &str, answer: &JobResponse<Vec<u8>>) {
        let Some(job) = self.accepted.get(id) else { return };
        let expected = job.items.iter().find(|other| other.id == item).map(|item| &item.body);
        match answer {
            JobResponse::Found(body) if Some(body) != expected => {
                self.violations.push(format!("{now}: item {item} has another body"));
            }
            JobResponse::NotFound => self.without_body.push((now, id.to_owned(), item.to_owned())),
            JobResponse::Found(_) | JobResponse::Unavailable => {}
        }
    }

    /// Something of a job runs at a proxy.
    pub fn runs(&mut self, now: u64, id: &str) {
        if self.ended.get(id).is_some_and(|ended| now > ended + CANCEL_MS) {
            self.violations.push(format!("{now}: job {id} runs although it has ended"));
        }
    }
}
