//! The jobs that are scheduled on this machine, in leasing order.
//!
//! The queue owns the [`JobSchedule`]s and their order. It does not depend on leases.

use super::job_schedule::{JobRank, JobSchedule};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// Items of one job that expired without a result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpiredItems {
    /// Store group of the job.
    pub store_group: u32,
    /// Id of the job.
    pub job: String,
    /// Indices of the items.
    pub items: Vec<usize>,
}

/// The scheduled jobs and their order.
#[derive(Debug, Default)]
pub(super) struct JobQueue {
    jobs: HashMap<String, JobSchedule>,
    ranks: BTreeSet<JobRank>,
}

impl JobQueue {
    pub(super) fn contains(&self, job: &str) -> bool {
        self.jobs.contains_key(job)
    }

    pub(super) fn len(&self) -> usize {
        self.jobs.len()
    }

    pub(super) fn get_mut(&mut self, job: &str) -> Option<&mut JobSchedule> {
        self.jobs.get_mut(job)
    }

    pub(super) fn schedules(&self) -> impl Iterator<Item = &JobSchedule> {
        self.jobs.values()
    }

    /// Returns the current ranks of all jobs, in leasing order.
    pub(super) fn ranks(&self) -> BTreeSet<JobRank> {
        self.ranks.clone()
    }

    pub(super) fn insert(&mut self, job: &str, schedule: JobSchedule) {
        self.ranks.insert(schedule.rank().clone());
        self.jobs.insert(job.to_owned(), schedule);
    }

    /// Removes a job. Returns whether it was scheduled.
    pub(super) fn remove(&mut self, job: &str) -> bool {
        let Some(schedule) = self.jobs.remove(job) else { return false };
        self.ranks.remove(schedule.rank());
        true
    }

    pub(super) fn remove_store_group(&mut self, store_group: u32) {
        self.jobs.retain(|_, schedule| schedule.store_group() != store_group);
        self.ranks.retain(|rank| rank.store_group != store_group);
    }

    /// Finishes the pending items that have expired and returns them, ordered by job id.
    pub(super) fn take_expired(&mut self, now: Duration) -> Vec<ExpiredItems> {
        let mut expired = Vec::new();
        for (id, schedule) in &mut self.jobs {
            let items = schedule.take_expired(now);
            if !items.is_empty() {
                expired.push(ExpiredItems { store_group: schedule.store_group(), job: id.clone(), items });
            }
        }
        expired.sort_by(|left, right| left.job.cmp(&right.job));
        expired
    }
}
