//! The schedule of one job: its deadlines and which sample group of it is leased next.
//!
//! Owns the deadlines and the [`ItemTable`] of the job. It knows no proxies and no other jobs.

use super::item_table::ItemTable;
use crate::clock::{GroupClock, whole_millis};
use crate::job::StoredJob;
use std::time::Duration;

/// Sample groups started beyond those that the trainer waits for, so that stragglers do not delay it.
pub const EXTRA_SAMPLE_GROUPS: usize = 2;
/// Share of the time until the results are due after which all other groups are started, in percent.
const OVERSAMPLING_AFTER_PERCENT: i64 = 60;

/// Rank of a job: jobs are leased in ascending order, earliest deadline first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct JobRank {
    /// When its results are due, in milliseconds of the caller's monotonic clock.
    due_at_ms: i64,
    priority: u32,
    pub(super) group: u32,
    pub(super) job: String,
}

/// Which sample groups of a job may be started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SampleGroups {
    /// Those that the trainer waits for, and [`EXTRA_SAMPLE_GROUPS`] more.
    Required,
    /// All, once the results are nearly due.
    Oversampled,
}

/// Deadlines of a job, in milliseconds of the caller's monotonic clock; negative if they passed before
/// its start.
#[derive(Debug)]
struct Deadlines {
    due_at_ms: i64,
    oversampled_at_ms: i64,
    expires_at_ms: i64,
}

impl Deadlines {
    fn new(now: Duration, clock: &GroupClock, job: &StoredJob) -> Deadlines {
        let age_ms = clock.now_ms(now).saturating_sub(job.submitted_at_ms());
        let submitted_at_ms = signed(whole_millis(now)) - signed(age_ms);
        let terms = &job.job().terms;
        let run_deadline_ms = signed(terms.run_deadline_ms);
        Deadlines {
            due_at_ms: submitted_at_ms.saturating_add(run_deadline_ms),
            oversampled_at_ms: submitted_at_ms
                .saturating_add(run_deadline_ms / 100 * OVERSAMPLING_AFTER_PERCENT),
            expires_at_ms: submitted_at_ms.saturating_add(signed(terms.queue_ttl_ms)),
        }
    }
}

/// The schedule of one job.
#[derive(Debug)]
pub(super) struct JobSchedule {
    rank: JobRank,
    deadlines: Deadlines,
    /// The job was stored before this machine became primary: proxies may hold leases of it.
    pub(super) is_taken_over: bool,
    /// Sample groups that the trainer waits for; 0 for all.
    desired_groups: usize,
    pub(super) items: ItemTable,
}

impl JobSchedule {
    pub(super) fn new(now: Duration, group: u32, clock: &GroupClock, job: &StoredJob) -> JobSchedule {
        let deadlines = Deadlines::new(now, clock, job);
        let rank = JobRank {
            due_at_ms: deadlines.due_at_ms,
            priority: job.job().terms.priority,
            group,
            job: job.id().to_owned(),
        };
        JobSchedule {
            rank,
            deadlines,
            is_taken_over: false,
            desired_groups: usize::try_from(job.job().desired_groups).unwrap_or(usize::MAX),
            items: ItemTable::new(job),
        }
    }

    pub(super) fn rank(&self) -> &JobRank {
        &self.rank
    }

    /// Group of jobs that the job belongs to.
    pub(super) fn group(&self) -> u32 {
        self.rank.group
    }

    /// Milliseconds until the results are due.
    pub(super) fn due_in_ms(&self, now: Duration) -> u64 {
        millis_until(now, self.deadlines.due_at_ms)
    }

    /// Milliseconds until pending items expire.
    pub(super) fn expires_in_ms(&self, now: Duration) -> u64 {
        millis_until(now, self.deadlines.expires_at_ms)
    }

    /// Whether pending items have expired: they are not leased any more, but dead-lettered.
    pub(super) fn has_expired(&self, now: Duration) -> bool {
        self.expires_in_ms(now) == 0
    }

    /// The next sample group to lease items of: one that was started, or else the first that was not,
    /// unless enough groups were started for `allowed`.
    pub(super) fn next_sample_group(&self, now: Duration, allowed: SampleGroups) -> Option<usize> {
        if let Some(started) = self.items.first_started() {
            return Some(started);
        }
        let required = self.desired_groups.saturating_add(EXTRA_SAMPLE_GROUPS);
        let is_oversampling = self.desired_groups > 0 && self.items.started_count() >= required;
        let may_oversample = allowed == SampleGroups::Oversampled
            && signed(whole_millis(now)) >= self.deadlines.oversampled_at_ms;
        if is_oversampling && !may_oversample {
            return None;
        }
        self.items.first_not_started()
    }

    /// Finishes the pending items that have expired; their indices.
    pub(super) fn take_expired(&mut self, now: Duration) -> Vec<usize> {
        if !self.has_expired(now) {
            return Vec::new();
        }
        self.items.finish_pending()
    }
}

fn signed(millis: u64) -> i64 {
    i64::try_from(millis).unwrap_or(i64::MAX)
}

fn millis_until(now: Duration, at_ms: i64) -> u64 {
    u64::try_from(at_ms.saturating_sub(signed(whole_millis(now)))).unwrap_or(0)
}
