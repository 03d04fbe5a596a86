//! The replicated state of one store group: its stored jobs.
//!
//! The state changes only by committed log entries, deterministically on every replica. It reads no
//! clock; the time is part of each entry.

use crate::clock::{IDLE_TIME_STAMP_INTERVAL, TIME_STAMP_INTERVAL, whole_millis};
use crate::command::{Change, Command, JobResults};
use crate::job::StoredJob;
use nanoserde::{DeBin, DeBinErr, SerBin};
use pebblepost_messages::batch::Job;
use pebblepost_replication::replica::StateMachine;
use std::collections::BTreeMap;
use std::time::Duration;

/// Retention periods of stored jobs.
#[derive(Clone, Copy, Debug)]
pub struct Retention {
    /// Retention period of a job that has ended, counted from its submission.
    pub ended: Duration,
    /// Retention period of a job that has not ended, counted from the expiry of its items
    /// (`queue_ttl_ms` after its submission).
    pub open: Duration,
}

/// The replicated state machine of one store group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BatchState {
    clock_ms: u64,
    jobs: BTreeMap<String, StoredJob>,
    estimated_bytes: u64,
    is_damaged: bool,
}

impl BatchState {
    /// Returns the newest time stamp of the applied entries, in milliseconds.
    pub fn clock_ms(&self) -> u64 {
        self.clock_ms
    }

    /// Returns the stored job with this id.
    pub fn job(&self, id: &str) -> Option<&StoredJob> {
        self.jobs.get(id)
    }

    /// Returns the maximum age of the newest entry that the expiry of the stored jobs permits; `None` if there
    /// are no jobs.
    pub fn time_stamp_interval(&self) -> Option<Duration> {
        if self.jobs.is_empty() {
            return None;
        }
        let has_pending_items = self.jobs.values().any(|job| !job.is_complete());
        Some(if has_pending_items { TIME_STAMP_INTERVAL } else { IDLE_TIME_STAMP_INTERVAL })
    }

    /// Iterates over all stored jobs in the order of their ids.
    pub fn jobs(&self) -> impl Iterator<Item = &StoredJob> {
        self.jobs.values()
    }

    /// Returns the estimated memory of all stored jobs in bytes.
    pub fn estimated_bytes(&self) -> u64 {
        self.estimated_bytes
    }

    /// Returns the ids of the jobs whose retention period has passed at the store group's time `now_ms`.
    pub fn jobs_past_retention(&self, now_ms: u64, retention: Retention) -> Vec<String> {
        let is_past = |job: &&StoredJob| now_ms > retained_until_ms(job, retention);
        self.jobs.values().filter(is_past).map(|job| job.id().to_owned()).collect()
    }

    fn add_job(&mut self, now_ms: u64, job: Job) {
        if self.jobs.contains_key(&job.id) {
            return;
        }
        let id = job.id.clone();
        let stored = StoredJob::new(now_ms, job);
        self.estimated_bytes += stored.estimated_bytes();
        self.jobs.insert(id, stored);
    }

    fn append_results(&mut self, appended: JobResults) {
        self.change_job(&appended.job, |job| {
            appended.results.into_iter().for_each(|result| job.append_result(result));
        });
    }

    fn delete_job(&mut self, id: &str) {
        if let Some(job) = self.jobs.remove(id) {
            self.estimated_bytes = self.estimated_bytes.saturating_sub(job.estimated_bytes());
        }
    }

    /// Applies a change to a job, if it is stored, and updates the total of the estimated memory.
    fn change_job(&mut self, id: &str, change: impl FnOnce(&mut StoredJob)) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let previous_bytes = job.estimated_bytes();
        change(job);
        self.estimated_bytes = self.estimated_bytes.saturating_sub(previous_bytes) + job.estimated_bytes();
    }

    fn read(snapshot: &[u8]) -> Result<BatchState, DeBinErr> {
        let mut offset = 0;
        let clock_ms = u64::de_bin(&mut offset, snapshot)?;
        let count = u64::de_bin(&mut offset, snapshot)?;
        let mut state = BatchState { clock_ms, ..BatchState::default() };
        for _ in 0..count {
            let job = StoredJob::read(&mut offset, snapshot)?;
            state.estimated_bytes += job.estimated_bytes();
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
                log::error!("log entry not decodable, state marked damaged index={index} error={error}");
                self.is_damaged = true;
                return;
            }
        };
        self.clock_ms = self.clock_ms.max(command.now_ms);
        match command.change {
            Change::AddJob(job) => self.add_job(command.now_ms, job),
            Change::AppendResults(jobs) => jobs.into_iter().for_each(|results| self.append_results(results)),
            Change::EndJob { job } => self.change_job(&job, StoredJob::end),
            Change::DeleteJobs { jobs } => jobs.iter().for_each(|id| self.delete_job(id)),
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
                log::error!("snapshot not decodable, state marked damaged error={error}");
                BatchState { is_damaged: true, ..BatchState::default() }
            }
        };
    }

    fn is_damaged(&self) -> bool {
        self.is_damaged
    }
}

/// Returns when a job's retention period ends, in milliseconds of the store group's time.
fn retained_until_ms(job: &StoredJob, retention: Retention) -> u64 {
    let retained_ms = match job.has_ended() {
        true => whole_millis(retention.ended),
        false => job.job().terms.queue_ttl_ms.saturating_add(whole_millis(retention.open)),
    };
    job.submitted_at_ms().saturating_add(retained_ms)
}
