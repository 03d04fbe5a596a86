//! Submitted and announced jobs for which memory is being reserved at all replicas of their store group.
//!
//! Memory is reserved at one machine after the other, in the order of their disks. Of several submissions that
//! compete for the memory of the same machines, the one with the last of them is never held up by the others, so that
//! at least one is accepted if each has room by itself.

use super::outbox::LinkId;
use super::proposals::Caller;
use pebblepost_messages::batch::EncodedJob;
use pebblepost_messages::{DiskId, Member};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time after which a request for memory that has no answer is repeated.
const REQUEST_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which a submission that was not proposed is given up: longer than a proxy tries, and shorter than its
/// reservations last.
const SUBMISSION_TIMEOUT: Duration = Duration::from_secs(5);

/// A job that is not proposed yet.
#[derive(Debug)]
pub(crate) struct Submission {
    pub(crate) group_id: u32,
    pub(crate) job_id: String,
    pub(crate) estimated_bytes: u64,
    /// Calls that are answered with the outcome.
    pub(crate) callers: Vec<Caller>,
    source: JobSource,
    /// Disks of the machines that have reserved memory.
    reserved_at: BTreeSet<DiskId>,
    /// The machine that was asked for memory and has not answered, with the time of the newest request.
    requested: Option<(DiskId, Duration)>,
    submitted_at: Duration,
}

/// Where the job of a submission is.
#[derive(Debug)]
enum JobSource {
    /// It has arrived.
    Here(EncodedJob),
    /// It was announced by this call. It is sent when the call is answered that memory is reserved.
    Announced(Caller),
    /// It is on its way over this link.
    Expected(LinkId),
}

/// The next step of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum NextStep {
    /// All replicas have reserved memory: the job can be proposed.
    Propose,
    /// All replicas have reserved memory: the proxy that announced the job can send it.
    AskForJob,
    /// This machine has to reserve memory for the job.
    ReserveHere,
    /// This machine has to be asked for memory.
    Request(Member),
    /// The answer of a machine, or the job, is awaited.
    Wait,
}

impl Submission {
    /// Creates the submission of a job that has arrived.
    pub(crate) fn of_job(now: Duration, group_id: u32, job: EncodedJob, caller: Caller) -> Submission {
        let (job_id, estimated_bytes) = (job.id().to_owned(), job.estimated_bytes());
        let source = JobSource::Here(job);
        let callers = vec![caller];
        Submission::new(now, group_id, job_id, estimated_bytes, source, callers)
    }

    /// Creates the submission of a job that is announced by a call.
    pub(crate) fn announced(
        now: Duration, group_id: u32, job_id: String, estimated_bytes: u64, caller: Caller,
    ) -> Submission {
        let source = JobSource::Announced(caller);
        Submission::new(now, group_id, job_id, estimated_bytes, source, Vec::new())
    }

    fn new(
        now: Duration, group_id: u32, job_id: String, estimated_bytes: u64, source: JobSource,
        callers: Vec<Caller>,
    ) -> Submission {
        Submission {
            group_id,
            job_id,
            estimated_bytes,
            callers,
            source,
            reserved_at: BTreeSet::new(),
            requested: None,
            submitted_at: now,
        }
    }

    /// Adds the job to its announcement.
    ///
    /// # Errors
    /// Returns the job if one has arrived before, or if it takes more memory than was announced.
    pub(crate) fn add_job(&mut self, job: EncodedJob) -> Result<(), EncodedJob> {
        let is_missing = !matches!(self.source, JobSource::Here(_));
        if !is_missing || job.estimated_bytes() > self.estimated_bytes {
            return Err(job);
        }
        self.take_announcement();
        self.source = JobSource::Here(job);
        Ok(())
    }

    /// Returns whether the job has arrived.
    pub(crate) fn has_job(&self) -> bool {
        matches!(self.source, JobSource::Here(_))
    }

    /// Returns whether the job is to come, or is announced, over this link.
    pub(crate) fn depends_on(&self, link: LinkId) -> bool {
        match &self.source {
            JobSource::Here(_) => false,
            JobSource::Announced(caller) => caller.link == link,
            JobSource::Expected(expected) => *expected == link,
        }
    }

    /// Records that the announcement is answered: the job is expected from now on. Returns the call.
    pub(crate) fn expect_job(&mut self) -> Option<Caller> {
        let JobSource::Announced(caller) = self.source else { return None };
        self.source = JobSource::Expected(caller.link);
        Some(caller)
    }

    /// Makes an announcement without an answer one of the calls that are answered with the outcome.
    pub(crate) fn take_announcement(&mut self) {
        if let JobSource::Announced(caller) = self.source {
            self.source = JobSource::Expected(caller.link);
            self.callers.push(caller);
        }
    }

    /// Returns the job, if it has arrived.
    pub(crate) fn into_job(self) -> Option<EncodedJob> {
        match self.source {
            JobSource::Here(job) => Some(job),
            JobSource::Announced(_) | JobSource::Expected(_) => None,
        }
    }

    /// Returns the next step, if these are the replicas of the store group now.
    pub(crate) fn next_step(&self, now: Duration, local: DiskId, replicas: &[Member]) -> NextStep {
        let missing = replicas.iter().filter(|member| !self.reserved_at.contains(&member.disk));
        let Some(next) = missing.min_by_key(|member| member.disk) else { return self.step_with_memory() };
        if next.disk == local {
            return NextStep::ReserveHere;
        }
        let is_awaited = |(disk, requested_at): (DiskId, Duration)| {
            disk == next.disk && now.saturating_sub(requested_at) < REQUEST_RETRY_INTERVAL
        };
        if self.requested.is_some_and(is_awaited) { NextStep::Wait } else { NextStep::Request(next.clone()) }
    }

    /// Returns the next step once all replicas have reserved memory.
    fn step_with_memory(&self) -> NextStep {
        match &self.source {
            JobSource::Here(_) => NextStep::Propose,
            JobSource::Announced(_) => NextStep::AskForJob,
            JobSource::Expected(_) => NextStep::Wait,
        }
    }

    /// Records that a machine was asked for memory.
    pub(crate) fn record_request(&mut self, now: Duration, disk: DiskId) {
        self.requested = Some((disk, now));
    }

    /// Records that a machine has reserved memory.
    pub(crate) fn record_reservation(&mut self, disk: DiskId) {
        self.reserved_at.insert(disk);
        self.requested = self.requested.filter(|(requested, _)| *requested != disk);
    }

    /// Returns whether a machine has reserved memory.
    pub(crate) fn is_reserved_at(&self, disk: DiskId) -> bool {
        self.reserved_at.contains(&disk)
    }

    /// Returns the disks of all machines that have reserved memory, or may have.
    pub(crate) fn reservations(&self) -> BTreeSet<DiskId> {
        let requested = self.requested.iter().map(|(disk, _)| *disk);
        self.reserved_at.iter().copied().chain(requested).collect()
    }

    /// Returns whether the submission has waited for too long.
    pub(crate) fn is_timed_out(&self, now: Duration) -> bool {
        now.saturating_sub(self.submitted_at) >= SUBMISSION_TIMEOUT
    }
}

/// The submissions that wait for memory, by number.
#[derive(Debug, Default)]
pub(crate) struct Submissions {
    by_number: BTreeMap<u64, Submission>,
    last_number: u64,
}

impl Submissions {
    /// Adds a submission and returns its number.
    pub(crate) fn insert(&mut self, submission: Submission) -> u64 {
        self.last_number += 1;
        self.by_number.insert(self.last_number, submission);
        self.last_number
    }

    pub(crate) fn get_mut(&mut self, number: u64) -> Option<&mut Submission> {
        self.by_number.get_mut(&number)
    }

    pub(crate) fn remove(&mut self, number: u64) -> Option<Submission> {
        self.by_number.remove(&number)
    }

    /// Returns the numbers of all submissions, oldest first.
    pub(crate) fn numbers(&self) -> Vec<u64> {
        self.by_number.keys().copied().collect()
    }

    /// Returns the numbers of the submissions to a store group, oldest first.
    pub(crate) fn numbers_of_group(&self, group_id: u32) -> Vec<u64> {
        let of_group = self.by_number.iter().filter(|(_, submission)| submission.group_id == group_id);
        of_group.map(|(number, _)| *number).collect()
    }

    /// Returns the submission of a job, with its number.
    pub(crate) fn of_job(&mut self, id: &str) -> Option<(u64, &mut Submission)> {
        let mut all = self.by_number.iter_mut();
        all.find(|(_, submission)| submission.job_id == id).map(|(number, submission)| (*number, submission))
    }

    /// Returns the numbers of the submissions whose job is to come over a link.
    pub(crate) fn numbers_of_link(&self, link: LinkId) -> Vec<u64> {
        let of_link = self.by_number.iter().filter(|(_, submission)| submission.depends_on(link));
        of_link.map(|(number, _)| *number).collect()
    }

    /// Returns the estimated memory, in bytes, of the jobs for which this machine has not reserved memory yet.
    pub(crate) fn unreserved_bytes(&self, local: DiskId) -> u64 {
        let unreserved = self.by_number.values().filter(|submission| !submission.is_reserved_at(local));
        unreserved.map(|submission| submission.estimated_bytes).sum()
    }
}
