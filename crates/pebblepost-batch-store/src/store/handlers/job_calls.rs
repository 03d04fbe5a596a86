//! Calls of proxies that concern submitted jobs: end, read results, read the body of an item.

use crate::store::Store;
use crate::store::state::group::PendingRead;
use crate::store::state::proposals::{Caller, Proposal};
use pebblepost_batch::command::Change;
use pebblepost_batch::job::StoredJob;
use pebblepost_messages::batch::{FromStore, JobResponse, ResultPage, SubmitOutcome};
use std::time::Duration;

/// Maximum estimated size of a page of results, so that it stays below a megabyte as JSON.
const MAX_PAGE_BYTES: usize = 700_000;

impl Store {
    /// Ends a job. The call is idempotent.
    pub(crate) fn end_job(&mut self, now: Duration, caller: Caller, group_id: u32, job: String) {
        if self.submissions.of_job(&job).is_some() {
            // The job may be stored in a moment.
            return self.reply_ended(&[caller], &JobResponse::Unavailable);
        }
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

    /// Replies with the body of a pending item.
    pub(crate) fn read_body(&mut self, now: Duration, caller: Caller, group_id: u32, job: &str, item: &str) {
        let answer = match self.acting_group(now, group_id) {
            None => JobResponse::Unavailable,
            Some(group) => pending_body(group.state().job(job), item),
        };
        self.outbox.reply(caller.link, FromStore::Body { call: caller.call, answer });
    }

    /// Answers a read, or keeps it pending until there is a result or its deadline has passed.
    pub(crate) fn read_results(&mut self, now: Duration, group_id: u32, read: PendingRead) {
        let Some(group) = self.acting_group(now, group_id) else {
            return self.reply_results(read.caller, JobResponse::Unavailable);
        };
        match results_page(group.state().job(&read.job), &read) {
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

    /// Answers the pending reads of jobs that got results or have ended.
    pub(crate) fn answer_reads_of(&mut self, now: Duration, group_id: u32, jobs: &[String]) {
        self.answer_reads(now, group_id, |read| jobs.contains(&read.job));
    }

    /// Answers the pending reads whose deadline has passed.
    pub(crate) fn answer_expired_reads(&mut self, now: Duration, group_id: u32) {
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

    fn answer_reads(&mut self, now: Duration, group_id: u32, is_due: impl Fn(&PendingRead) -> bool) {
        let Some(group) = self.groups.get_mut(&group_id) else { return };
        let due = group.pending_reads.extract_if(.., |read| is_due(read)).collect::<Vec<_>>();
        for read in due {
            self.read_results(now, group_id, read);
        }
    }
}

fn results_page(job: Option<&StoredJob>, read: &PendingRead) -> JobResponse<ResultPage> {
    match job {
        Some(job) => JobResponse::Found(job.page(read.start, MAX_PAGE_BYTES)),
        None => JobResponse::NotFound,
    }
}

fn pending_body(job: Option<&StoredJob>, item: &str) -> JobResponse<Vec<u8>> {
    let found = job.and_then(|job| job.pending_item(job.pending_index(item)?));
    found.map_or(JobResponse::NotFound, |item| JobResponse::Found(item.body.clone()))
}
