//! The replicated state of one group of jobs.

use crate::command::{Change, Command, JobResults};
use crate::job::StoredJob;
use nanoserde::{DeBin, DeBinErr, SerBin};
use pebblepost_messages::batch::Job;
use pebblepost_replication::replica::StateMachine;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long jobs are kept.
#[derive(Clone, Copy, Debug)]
pub struct Retention {
    /// A job that has ended is kept for this time after it was taken.
    pub ended: Duration,
    /// A job that nobody ends is kept for this time after its items may be given up.
    pub open: Duration,
}

/// Jobs of one group: changed by committed entries only, in the same way on every replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BatchState {
    clock_ms: u64,
    jobs: BTreeMap<String, StoredJob>,
    held_bytes: u64,
    is_damaged: bool,
}

impl BatchState {
    /// The newest time stamped on an applied entry.
    pub fn clock_ms(&self) -> u64 {
        self.clock_ms
    }

    /// A job, if it is in custody.
    pub fn job(&self, id: &str) -> Option<&StoredJob> {
        self.jobs.get(id)
    }

    /// All jobs, by id.
    pub fn jobs(&self) -> impl Iterator<Item = &StoredJob> {
        self.jobs.values()
    }

    /// Bytes that all jobs are estimated to take.
    pub fn held_bytes(&self) -> u64 {
        self.held_bytes
    }

    /// Ids of the jobs that need not be kept at the group's time `now_ms`.
    pub fn forgettable(&self, now_ms: u64, retention: Retention) -> Vec<String> {
        let is_due = |job: &&StoredJob| now_ms > kept_until_ms(job, retention);
        self.jobs.values().filter(is_due).map(|job| job.id().to_owned()).collect()
    }

    fn add_job(&mut self, now_ms: u64, job: Job) {
        if self.jobs.contains_key(&job.id) {
            return;
        }
        let id = job.id.clone();
        let stored = StoredJob::new(now_ms, job);
        self.held_bytes += stored.held_bytes();
        self.jobs.insert(id, stored);
    }

    fn add_results(&mut self, listed: JobResults) {
        self.change_job(&listed.job, |job| {
            for result in listed.results {
                job.list(result);
            }
        });
    }

    fn forget(&mut self, id: &str) {
        if let Some(job) = self.jobs.remove(id) {
            self.held_bytes = self.held_bytes.saturating_sub(job.held_bytes());
        }
    }

    /// Changes a job, if it is there, and the bytes held with it.
    fn change_job(&mut self, id: &str, change: impl FnOnce(&mut StoredJob)) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let before = job.held_bytes();
        change(job);
        self.held_bytes = self.held_bytes.saturating_sub(before) + job.held_bytes();
    }

    fn read(snapshot: &[u8]) -> Result<BatchState, DeBinErr> {
        let mut offset = 0;
        let clock_ms = u64::de_bin(&mut offset, snapshot)?;
        let count = u64::de_bin(&mut offset, snapshot)?;
        let mut state = BatchState { clock_ms, ..BatchState::default() };
        for _ in 0..count {
            let job = StoredJob::read(&mut offset, snapshot)?;
            state.held_bytes += job.held_bytes();
            state.jobs.insert(job.id().to_owned(), job);
        }
        Ok(state)
    }
}

impl StateMachine for BatchState {
    fn apply(&mut self, index: u64, entry: &[u8]) {
        let command = match Command::decode(entry) {
            Ok(command) => command,
            Err(error) => {
                log::error!("applying entry {index} of a group of batch jobs: {error}");
                self.is_damaged = true;
                return;
            }
        };
        self.clock_ms = self.clock_ms.max(command.now_ms);
        match command.change {
            Change::AddJob(job) => self.add_job(command.now_ms, job),
            Change::AddResults(lists) => lists.into_iter().for_each(|listed| self.add_results(listed)),
            Change::EndJob { job } => self.change_job(&job, StoredJob::end),
            Change::ForgetJobs { jobs } => jobs.iter().for_each(|id| self.forget(id)),
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        let mut snapshot = Vec::new();
        self.clock_ms.ser_bin(&mut snapshot);
        (self.jobs.len() as u64).ser_bin(&mut snapshot);
        for job in self.jobs.values() {
            job.write(&mut snapshot);
        }
        snapshot
    }

    fn restore(&mut self, snapshot: &[u8]) {
        *self = match BatchState::read(snapshot) {
            Ok(state) => state,
            Err(error) => {
                log::error!("restoring a snapshot of a group of batch jobs: {error}");
                BatchState { is_damaged: true, ..BatchState::default() }
            }
        };
    }

    fn is_damaged(&self) -> bool {
        self.is_damaged
    }
}

fn kept_until_ms(job: &StoredJob, retention: Retention) -> u64 {
    let millis = crate::clock::whole_millis;
    let kept = match job.has_ended() {
        true => millis(retention.ended),
        false => job.job().terms.queue_ttl_ms.saturating_add(millis(retention.open)),
    };
    job.submitted_at_ms().saturating_add(kept)
}
