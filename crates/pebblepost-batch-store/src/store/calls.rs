//! Calls about jobs.

use super::Store;
use super::group::{Caller, Proposed, Reader};
use pebblepost_batch::command::Change;
use pebblepost_batch::job::{StoredJob, estimated_job_bytes};
use pebblepost_messages::batch::{FromStore, Job, JobAnswer, ResultPage, SubmitOutcome, store_group_of};
use std::time::Duration;

/// Bytes of texts in one page of results, so that it stays under a megabyte as JSON.
const MOST_PAGE_BYTES: usize = 700_000;
/// When a caller whose job has no room is to come back.
const NO_ROOM_RETRY_MS: u64 = 1_000;

impl Store {
    pub(super) fn submit(&mut self, now: Duration, caller: Caller, number: u32, job: Job) {
        if store_group_of(&job.id) != number {
            log::error!("job {} was sent as one of group {number}", job.id);
            return self.submitted(&[caller], SubmitOutcome::NotPrimary);
        }
        let held_bytes = self.held_bytes();
        let budget = self.settings.budget;
        let Some(group) = self.acting_group(now, number) else {
            return self.submitted(&[caller], SubmitOutcome::NotPrimary);
        };
        if group.state().job(&job.id).is_some() {
            return self.submitted(&[caller], SubmitOutcome::Accepted);
        }
        if let Some(callers) = group.submit_callers(&job.id) {
            callers.push(caller);
            return;
        }
        if !budget.admits(held_bytes, &job) {
            let outcome = SubmitOutcome::Rejected { retry_after_ms: NO_ROOM_RETRY_MS };
            return self.submitted(&[caller], outcome);
        }
        let proposed =
            Proposed::Job { job: job.id.clone(), bytes: estimated_job_bytes(&job), callers: vec![caller] };
        if let Err(error) = group.propose(now, Change::AddJob(job), proposed) {
            log::debug!("group {number}: a job was not taken: {error:?}");
            self.submitted(&[caller], SubmitOutcome::NotPrimary);
        }
        self.settle(now, number);
    }

    pub(super) fn end(&mut self, now: Duration, caller: Caller, number: u32, job: String) {
        let Some(group) = self.acting_group(now, number) else {
            return self.ended(&[caller], &JobAnswer::Uncertain);
        };
        if let Some(callers) = group.end_callers(&job) {
            callers.push(caller);
            return;
        }
        let known = group.state().job(&job).map(StoredJob::has_ended);
        if known == Some(true) {
            return self.ended(&[caller], &JobAnswer::Found(true));
        }
        if known.is_none() && group.submit_callers(&job).is_none() {
            return self.ended(&[caller], &JobAnswer::NotFound);
        }
        let proposed = Proposed::End { job: job.clone(), callers: vec![caller] };
        if let Err(error) = group.propose(now, Change::EndJob { job }, proposed) {
            log::debug!("group {number}: a job was not ended: {error:?}");
            self.ended(&[caller], &JobAnswer::Uncertain);
        }
        self.settle(now, number);
    }

    pub(super) fn item_body(&mut self, now: Duration, caller: Caller, number: u32, job: &str, item: &str) {
        let answer = match self.acting_group(now, number) {
            None => JobAnswer::Uncertain,
            Some(group) => body_of(group.state().job(job), item),
        };
        self.outbox.reply(caller.link, FromStore::Body { call: caller.call, answer });
    }

    /// Answers a read, or keeps it until there is a result.
    pub(super) fn read(&mut self, now: Duration, number: u32, reader: Reader) {
        let Some(group) = self.acting_group(now, number) else {
            return self.answer_read(reader.caller, JobAnswer::Uncertain);
        };
        match page_for(group.state().job(&reader.job), &reader) {
            JobAnswer::Found(page) if page.results.is_empty() && now < reader.until => {
                let can_grow = group.state().job(&reader.job).is_some_and(|job| !job.is_complete());
                if can_grow {
                    group.readers.push(reader);
                } else {
                    self.answer_read(reader.caller, JobAnswer::Found(page));
                }
            }
            answer => self.answer_read(reader.caller, answer),
        }
    }

    /// Results of some jobs were listed, or no more will be.
    pub(super) fn answer_readers(&mut self, now: Duration, number: u32, jobs: &[String]) {
        self.answer_readers_that(now, number, |reader| jobs.contains(&reader.job));
    }

    /// Answers the reads whose wait has ended.
    pub(super) fn answer_late_readers(&mut self, now: Duration, number: u32) {
        self.answer_readers_that(now, number, |reader| now >= reader.until);
    }

    fn answer_readers_that(&mut self, now: Duration, number: u32, is_due: impl Fn(&Reader) -> bool) {
        let Some(group) = self.groups.get_mut(&number) else { return };
        let due = group.readers.extract_if(.., |reader| is_due(reader)).collect::<Vec<_>>();
        for reader in due {
            self.read(now, number, reader);
        }
    }

    fn answer_read(&mut self, caller: Caller, answer: JobAnswer<ResultPage>) {
        self.outbox.reply(caller.link, FromStore::Results { call: caller.call, answer });
    }

    /// Bytes that jobs take here, those under way among them.
    pub(super) fn held_bytes(&self) -> u64 {
        let held = self.groups.values().map(|group| group.state().estimated_bytes() + group.proposed_bytes());
        held.sum()
    }
}

fn page_for(job: Option<&StoredJob>, reader: &Reader) -> JobAnswer<ResultPage> {
    match job {
        Some(job) => JobAnswer::Found(job.page(reader.start, MOST_PAGE_BYTES)),
        None => JobAnswer::NotFound,
    }
}

fn body_of(job: Option<&StoredJob>, item: &str) -> JobAnswer<Vec<u8>> {
    let found = job.and_then(|job| job.pending_item(job.pending_index(item)?));
    found.map_or(JobAnswer::NotFound, |item| JobAnswer::Found(item.body.clone()))
}
