//! Periodic work: renewal of leases, dead-lettering of expired items, deletion of jobs past retention.

use super::Store;
use super::group::Group;
use super::proposals::Proposal;
use pebblepost_batch::command::Change;
use pebblepost_batch::scheduler::ExpiredItems;
use pebblepost_messages::batch::{ItemResult, RENEW_MS, ResultState};
use std::time::Duration;

/// How often leases are renewed.
const RENEWAL_PERIOD: Duration = Duration::from_millis(RENEW_MS);
/// How often jobs past their retention are looked for.
const RETENTION_PERIOD: Duration = Duration::from_secs(5);

/// Work that is done at most once in a period.
#[derive(Debug)]
struct PeriodicTask {
    period: Duration,
    last_run: Duration,
}

impl PeriodicTask {
    fn new(period: Duration) -> PeriodicTask {
        PeriodicTask { period, last_run: Duration::ZERO }
    }

    /// Whether the work is due; the next period starts now if it is.
    fn start_if_due(&mut self, now: Duration) -> bool {
        let is_due = now.saturating_sub(self.last_run) >= self.period;
        if is_due {
            self.last_run = now;
        }
        is_due
    }
}

/// When the periodic work was done last.
#[derive(Debug)]
pub(super) struct Maintenance {
    renewal: PeriodicTask,
    retention: PeriodicTask,
}

impl Default for Maintenance {
    fn default() -> Maintenance {
        Maintenance {
            renewal: PeriodicTask::new(RENEWAL_PERIOD),
            retention: PeriodicTask::new(RETENTION_PERIOD),
        }
    }
}

impl Store {
    /// Does the periodic work that is due.
    pub(super) fn run_maintenance(&mut self, now: Duration) {
        if self.maintenance.renewal.start_if_due(now) {
            self.renew_leases(now);
        }
        self.dead_letter_expired_items(now);
        if self.maintenance.retention.start_if_due(now) {
            self.delete_jobs_past_retention(now);
        }
    }

    /// Gives expired items that no proxy runs a dead letter as their result.
    fn dead_letter_expired_items(&mut self, now: Duration) {
        for expired in self.scheduler.take_expired_items(now) {
            if let Some(group) = self.groups.get_mut(&expired.group) {
                dead_letter(group, &expired);
            }
        }
    }

    fn delete_jobs_past_retention(&mut self, now: Duration) {
        let retention = self.settings.retention;
        for group_id in self.group_ids() {
            let Some(group) = self.acting_group(now, group_id) else { continue };
            let now_ms = group.clock(now).now_ms(now);
            let jobs = group.state().jobs_past_retention(now_ms, retention);
            if jobs.is_empty() {
                continue;
            }
            let proposal = Proposal::DeleteJobs { jobs: jobs.clone() };
            if let Err(error) = group.propose(now, Change::DeleteJobs { jobs }, proposal) {
                log::debug!("deletion of jobs not proposed group={group_id} error={error:?}");
            }
            self.process_replica_outputs(now, group_id);
        }
    }
}

fn dead_letter(group: &mut Group, expired: &ExpiredItems) {
    let Some(stored) = group.state().job(&expired.job) else { return };
    let ids = expired.items.iter().filter_map(|index| Some(stored.pending_item(*index)?.id.clone()));
    let ids: Vec<String> = ids.collect();
    for id in ids {
        let result = ItemResult { id, state: ResultState::DeadLetter, ..ItemResult::default() };
        group.buffer_result(&expired.job, result);
    }
}
