//! Calls of proxies about jobs: submit, end, read results, read the body of an item.

use crate::store::Store;
use crate::store::state::group::{Group, PendingRead};
use crate::store::state::proposals::{Caller, Proposal};
use pebblepost_batch::command::Change;
use pebblepost_batch::job::{StoredJob, estimated_job_bytes};
use pebblepost_messages::batch::{FromStore, Job, JobResponse, ResultPage, SubmitOutcome, store_group_of};
use std::time::Duration;

/// Limit on the texts of a page of results in bytes, so that it stays under a megabyte as JSON.
const MAX_PAGE_BYTES: usize = 700_000;
/// Retry time of a caller whose job exceeds the memory budget, in milliseconds.
const REJECTED_RETRY_AFTER_MS: u64 = 1_000;

impl Store {
    /// Stores a job. Idempotent: calls with the id of a stored or proposed job are accepted with it.
    pub(crate) fn submit(&mut self, now: Duration, caller: Caller, group_id: u32, job: Job) {
        if store_group_of(&job.id) != group_id {
            log::error!("submitted job is not of its group job={} group={group_id}", job.id);
            return self.reply_submitted(&[caller], SubmitOutcome::NotPrimary);
        }
        let used_bytes = self.estimated_bytes();
        let budget = self.settings.budget;
        let Some(group) = self.acting_group(now, group_id) else {
            return self.reply_submitted(&[caller], SubmitOutcome::NotPrimary);
        };
        if group.state().job(&job.id).is_some() {
            return self.reply_submitted(&[caller], SubmitOutcome::Accepted);
        }
        if let Some(callers) = group.proposals.submit_callers(&job.id) {
            callers.push(caller);
            return;
        }
        if !budget.admits(used_bytes, &job) {
            // A rejection promises that the job never runs.
            let outcome = match group.is_past_barrier() {
                true => SubmitOutcome::Rejected { retry_after_ms: REJECTED_RETRY_AFTER_MS },
                false => SubmitOutcome::Unknown,
            };
            return self.reply_submitted(&[caller], outcome);
        }
        let proposal = Proposal::AddJob {
            job: job.id.clone(),
            estimated_bytes: estimated_job_bytes(&job),
            callers: vec![caller],
        };
        if let Err(error) = group.propose(now, Change::AddJob(job), proposal) {
            log::debug!("job not proposed group={group_id} error={error:?}");
            self.reply_submitted(&[caller], SubmitOutcome::NotPrimary);
        }
        self.process_replica_outputs(now, group_id);
    }

    /// Ends a job. Idempotent.
    pub(crate) fn end_job(&mut self, now: Duration, caller: Caller, group_id: u32, job: String) {
        let Some(group) = self.acting_group(now, group_id) else {
            return self.reply_ended(&[caller], &JobResponse::Unavailable);
        };
        if let Some(callers) = group.proposals.end_callers(&job) {
            callers.push(caller);
            return;
        }
        let has_ended = group.state().job(&job).map(StoredJob::has_ended);
        if has_ended == Some(true) {
            return self.reply_ended(&[caller], &JobResponse::Found(true));
        }
        if has_ended.is_none() && group.proposals.submit_callers(&job).is_none() {
            return self.reply_ended(&[caller], &JobResponse::NotFound);
        }
        let proposal = Proposal::EndJob { job: job.clone(), callers: vec![caller] };
        if let Err(error) = group.propose(now, Change::EndJob { job }, proposal) {
            log::debug!("end of job not proposed group={group_id} error={error:?}");
            self.reply_ended(&[caller], &JobResponse::Unavailable);
        }
        self.process_replica_outputs(now, group_id);
    }

    /// Answers with the body of a pending item.
    pub(crate) fn read_body(&mut self, now: Duration, caller: Caller, group_id: u32, job: &str, item: &str) {
        let answer = match self.acting_group(now, group_id) {
            None => JobResponse::Unavailable,
            Some(group) => body_of(group.state().job(job), item),
        };
        self.outbox.reply(caller.link, FromStore::Body { call: caller.call, answer });
    }

    /// Answers a read, or keeps it until there is a result.
    pub(crate) fn read_results(&mut self, now: Duration, group_id: u32, read: PendingRead) {
        let Some(group) = self.acting_group(now, group_id) else {
            return self.reply_results(read.caller, JobResponse::Unavailable);
        };
        match page_for(group.state().job(&read.job), &read) {
            JobResponse::Found(page) if page.results.is_empty() && now < read.deadline => {
                let is_open = group.state().job(&read.job).is_some_and(|job| !job.is_complete());
                if is_open {
                    group.pending_reads.push(read);
                } else {
                    self.reply_results(read.caller, JobResponse::Found(page));
                }
            }
            answer => self.reply_results(read.caller, answer),
        }
    }

    /// Answers the reads of some jobs, which got results or have ended.
    pub(crate) fn answer_reads_of(&mut self, now: Duration, group_id: u32, jobs: &[String]) {
        self.answer_reads(now, group_id, |read| jobs.contains(&read.job));
    }

    /// Answers the reads whose deadline has passed.
    pub(crate) fn answer_overdue_reads(&mut self, now: Duration, group_id: u32) {
        self.answer_reads(now, group_id, |read| now >= read.deadline);
    }

    pub(crate) fn reply_submitted(&mut self, callers: &[Caller], outcome: SubmitOutcome) {
        for caller in callers {
            self.outbox.reply(caller.link, FromStore::Submitted { call: caller.call, outcome });
        }
    }

    pub(crate) fn reply_ended(&mut self, callers: &[Caller], answer: &JobResponse<bool>) {
        for caller in callers {
            let message = FromStore::Ended { call: caller.call, answer: answer.clone() };
            self.outbox.reply(caller.link, message);
        }
    }

    pub(crate) fn reply_results(&mut self, caller: Caller, answer: JobResponse<ResultPage>) {
        self.outbox.reply(caller.link, FromStore::Results { call: caller.call, answer });
    }

    /// Estimated memory of the jobs on this machine in bytes, proposed ones among them.
    pub(crate) fn estimated_bytes(&self) -> u64 {
        self.groups.values().map(Group::estimated_bytes).sum()
    }

    fn answer_reads(&mut self, now: Duration, group_id: u32, is_due: impl Fn(&PendingRead) -> bool) {
        let Some(group) = self.groups.get_mut(&group_id) else { return };
        let due = group.pending_reads.extract_if(.., |read| is_due(read)).collect::<Vec<_>>();
        for read in due {
            self.read_results(now, group_id, read);
        }
    }
}

fn page_for(job: Option<&StoredJob>, read: &PendingRead) -> JobResponse<ResultPage> {
    match job {
        Some(job) => JobResponse::Found(job.page(read.start, MAX_PAGE_BYTES)),
        None => JobResponse::NotFound,
    }
}

fn body_of(job: Option<&StoredJob>, item: &str) -> JobResponse<Vec<u8>> {
    let found = job.and_then(|job| job.pending_item(job.pending_index(item)?));
    found.map_or(JobResponse::NotFound, |item| JobResponse::Found(item.body.clone()))
}
