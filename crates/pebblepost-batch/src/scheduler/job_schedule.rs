//! The schedule of one job: its deadlines and the choice of the sample group that is leased next.
//!
//! The schedule owns the deadlines and the [`ItemTable`] of the job. It does not depend on proxies or
//! on other jobs.

use super::item_table::ItemTable;
use crate::clock::{GroupClock, whole_millis};
use crate::job::StoredJob;
use std::time::Duration;

/// Number of sample groups started beyond those that the trainer waits for, so that stragglers do not
/// delay it.
pub const EXTRA_SAMPLE_GROUPS: usize = 2;
/// Share of the time from submission to the due time after which all remaining sample groups may be
/// started, in percent.
const OVERSAMPLING_START_PERCENT: i64 = 60;

/// Rank of a job in leasing order. Jobs are leased in ascending order: earliest due time first, then
/// lowest priority value. The order of the fields defines this order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct JobRank {
    /// Time at which the results are due, in milliseconds of the caller's monotonic clock.
    due_at_ms: i64,
    priority: u32,
    pub(super) store_group: u32,
    pub(super) job: String,
}

/// The sample groups of a job that may be started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EligibleSampleGroups {
    /// As many sample groups as the trainer waits for, and [`EXTRA_SAMPLE_GROUPS`] more.
    Required,
    /// All sample groups, once [`OVERSAMPLING_START_PERCENT`] of the time from submission to the due time has passed.
    Oversampled,
}

/// Deadlines of a job, in milliseconds of the caller's monotonic clock. A deadline before the start of
/// that clock is negative.
#[derive(Debug)]
struct Deadlines {
    due_at_ms: i64,
    oversampling_starts_at_ms: i64,
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
            oversampling_starts_at_ms: submitted_at_ms
                .saturating_add(run_deadline_ms / 100 * OVERSAMPLING_START_PERCENT),
            expires_at_ms: submitted_at_ms.saturating_add(signed(terms.queue_ttl_ms)),
        }
    }
}

/// The schedule of one job.
#[derive(Debug)]
pub(super) struct JobSchedule {
    rank: JobRank,
    deadlines: Deadlines,
    /// Whether the job was stored before this machine became primary, so that proxies may hold leases
    /// that an earlier primary granted.
    pub(super) is_taken_over: bool,
    /// Number of sample groups that the trainer waits for; 0 means all.
    desired_sample_groups: usize,
    pub(super) items: ItemTable,
}

impl JobSchedule {
    pub(super) fn new(now: Duration, store_group: u32, clock: &GroupClock, job: &StoredJob) -> JobSchedule {
        let deadlines = Deadlines::new(now, clock, job);
        let rank = JobRank {
            due_at_ms: deadlines.due_at_ms,
            priority: job.job().terms.priority,
            store_group,
            job: job.id().to_owned(),
        };
        JobSchedule {
            rank,
            deadlines,
            is_taken_over: false,
            desired_sample_groups: usize::try_from(job.job().desired_groups).unwrap_or(usize::MAX),
            items: ItemTable::new(job),
        }
    }

    pub(super) fn rank(&self) -> &JobRank {
        &self.rank
    }

    pub(super) fn store_group(&self) -> u32 {
        self.rank.store_group
    }

    /// Returns the milliseconds until the results are due; 0 if that time has passed.
    pub(super) fn due_in_ms(&self, now: Duration) -> u64 {
        millis_until(now, self.deadlines.due_at_ms)
    }

    /// Returns the milliseconds until pending items expire; 0 if they have expired.
    pub(super) fn expires_in_ms(&self, now: Duration) -> u64 {
        millis_until(now, self.deadlines.expires_at_ms)
    }

    /// Returns whether pending items have expired. Expired items are dead-lettered instead of leased.
    pub(super) fn has_expired(&self, now: Duration) -> bool {
        self.expires_in_ms(now) == 0
    }

    /// Returns the sample group to lease items from next. It has a pending item, by index, that is sendable.
    ///
    /// Started sample groups with pending items come first. Otherwise it is the first one that was not
    /// started, unless `eligible` does not permit starting another.
    pub(super) fn next_sample_group(
        &self, now: Duration, eligible: EligibleSampleGroups, is_sendable: &impl Fn(usize) -> bool,
    ) -> Option<usize> {
        if let Some(started) = self.items.first_started(is_sendable) {
            return Some(started);
        }
        let required_groups = self.desired_sample_groups.saturating_add(EXTRA_SAMPLE_GROUPS);
        let has_required_groups =
            self.desired_sample_groups > 0 && self.items.started_count() >= required_groups;
        let may_oversample = eligible == EligibleSampleGroups::Oversampled
            && signed(whole_millis(now)) >= self.deadlines.oversampling_starts_at_ms;
        if has_required_groups && !may_oversample {
            return None;
        }
        self.items.first_not_started(is_sendable)
    }

    /// Finishes the pending items if they have expired and returns their indices.
    pub(super) fn take_expired(&mut self, now: Duration) -> Vec<usize> {
        if !self.has_expired(now) {
            return Vec::new();
        }
        self.items.finish_pending()
    }
}

/// Converts milliseconds to a signed value, saturating at `i64::MAX`.
fn signed(millis: u64) -> i64 {
    i64::try_from(millis).unwrap_or(i64::MAX)
}

/// Returns the milliseconds from `now` until `at_ms`; 0 if that time has passed.
fn millis_until(now: Duration, at_ms: i64) -> u64 {
    u64::try_from(at_ms.saturating_sub(signed(whole_millis(now)))).unwrap_or(0)
}
