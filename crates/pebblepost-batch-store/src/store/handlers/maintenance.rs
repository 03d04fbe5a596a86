//! Periodic work: lease renewal, dead-lettering of expired items, time stamps, deletion of jobs past their
//! retention.

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
        self.propose_due_time_stamps(now);
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

    /// Logs the time of store groups that logged nothing else for too long.
    fn propose_due_time_stamps(&mut self, now: Duration) {
        for group_id in self.group_ids() {
            if let Some(group) = self.groups.get_mut(&group_id) {
                group.propose_time_stamp_if_due(now);
            }
            self.process_replica_outputs(now, group_id);
        }
    }

    /// Buffers a dead letter as the result of each pending item that has expired.
    fn dead_letter_expired_items(&mut self, now: Duration) {
        for expired in self.scheduler.take_expired_items(now) {
            if let Some(group) = self.groups.get_mut(&expired.store_group) {
                dead_letter(now, group, &expired);
            }
        }
    }

    fn delete_jobs_past_retention(&mut self, now: Duration) {
        let retention = self.settings.retention;
        for group_id in self.group_ids() {
            let Some(group) = self.acting_group(now, group_id) else { continue };
            let now_ms = group.clock().now_ms(now);
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

fn dead_letter(now: Duration, group: &mut Group, expired: &ExpiredItems) {
    let group_time_ms = group.clock().now_ms(now);
    let Some(stored) = group.state().job(&expired.job) else { return };
    log::info!(
        "items expired group={} job={} items={} age_ms={} queue_ttl_ms={}",
        expired.store_group,
        expired.job,
        expired.items.len(),
        group_time_ms.saturating_sub(stored.submitted_at_ms()),
        stored.job().terms.queue_ttl_ms,
    );
    let ids = expired.items.iter().filter_map(|index| Some(stored.pending_item(*index)?.id.clone()));
    let ids: Vec<String> = ids.collect();
    for id in ids {
        let result = ItemResult { id, state: ResultState::DeadLetter, ..ItemResult::default() };
        group.buffer_result(&expired.job, result);
    }
}
