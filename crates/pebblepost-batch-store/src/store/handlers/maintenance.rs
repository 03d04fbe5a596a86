//! Periodic work: lease renewal, dead-lettering of expired items, deletion of jobs past their retention.

use crate::store::Store;
use crate::store::state::group::Group;
use crate::store::state::proposals::Proposal;
use pebblepost_batch::command::Change;
use pebblepost_batch::scheduler::ExpiredItems;
use pebblepost_messages::batch::{ItemResult, ResultState};
use std::time::Duration;

impl Store {
    /// Runs the periodic work that is due.
    pub(crate) fn run_maintenance(&mut self, now: Duration) {
        if self.maintenance.lease_renewal.start_if_due(now) {
            self.renew_leases(now);
        }
        self.dead_letter_expired_items(now);
        if self.maintenance.retention_check.start_if_due(now) {
            self.propose_missing_barriers(now);
            self.delete_jobs_past_retention(now);
        }
    }

    /// Proposes the barriers of terms that lack one: with too few replicas in sync, a barrier cannot be
    /// proposed at the start of the term.
    fn propose_missing_barriers(&mut self, now: Duration) {
        for group_id in self.group_ids() {
            let Some(group) = self.acting_group(now, group_id) else { continue };
            group.propose_barrier(now);
            self.process_replica_outputs(now, group_id);
        }
    }

    /// Buffers a dead letter as the result of each pending item that has expired.
    fn dead_letter_expired_items(&mut self, now: Duration) {
        for expired in self.scheduler.take_expired_items(now) {
            if let Some(group) = self.groups.get_mut(&expired.store_group) {
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
