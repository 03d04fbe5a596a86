//! Work leases of proxies: requests for work, outcomes of items, lease reports and renewal.

use crate::store::Store;
use crate::store::state::deferred::DeferredResult;
use crate::store::state::group::Group;
use crate::store::state::lease_outcomes::LeaseOutcomes;
use crate::store::state::outbox::LinkId;
use pebblepost_batch::scheduler::{ItemProgress, LeaseReference, ProxyId, WorkRequest};
use pebblepost_batch::state::BatchState;
use pebblepost_messages::batch::{
    ActiveLease, FromStore, ItemOutcome, ItemResult, Job, ResultState, UnsendableItems,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Maximum number of epochs of one term for which leases are renewed; the newest are used.
const MAX_RENEWED_EPOCHS: u64 = 8;
/// Maximum number of items that a proxy may request at once.
const MAX_REQUESTED_ITEMS: u32 = 512;

impl Store {
    /// Answers a request for work of a proxy that cannot send some items.
    pub(crate) fn lease_work(
        &mut self, now: Duration, link: LinkId, max_items: u32, unsendable: Vec<UnsendableItems>,
    ) {
        let max_items = usize::try_from(max_items.min(MAX_REQUESTED_ITEMS)).unwrap_or(0);
        let request = WorkRequest { max_items, unsendable };
        let groups = &self.groups;
        let states = |group_id: u32| acting_state(groups, now, group_id);
        let leases = self.scheduler.lease_items(now, ProxyId(link.0), &request, states);
        self.outbox.reply(link, FromStore::Work(leases));
    }

    /// Processes the outcomes of items of one lease.
    ///
    /// Results for a store group that this machine replicates without being primary are deferred until it
    /// becomes primary.
    pub(crate) fn process_outcomes(&mut self, now: Duration, outcomes: LeaseOutcomes) {
        let LeaseOutcomes { lease, group_id, job, outcomes } = outcomes;
        let is_primary = self.scheduler.has_term(group_id);
        for outcome in outcomes {
            match outcome {
                ItemOutcome::Finished(result) if is_primary => self.finish_item(group_id, &job, result),
                ItemOutcome::Finished(result) if self.groups.contains_key(&group_id) => {
                    let result = DeferredResult { group_id, job: job.clone(), result };
                    self.deferred.push_result(now, result);
                }
                ItemOutcome::Finished(_) => {}
                ItemOutcome::Returned { id, failed_attempts, failed_scorer_attempts, partial } => {
                    let progress = ItemProgress { failed_attempts, failed_scorer_attempts, partial };
                    self.return_item(lease, group_id, &job, &id, progress);
                }
            }
        }
    }

    /// Processes a proxy's report of all leases that it holds.
    ///
    /// Leases of store groups that this machine is not primary of are deferred until it becomes primary.
    pub(crate) fn process_lease_report(&mut self, now: Duration, link: LinkId, leases: Vec<ActiveLease>) {
        let is_scheduled = |lease: &ActiveLease| self.scheduler.has_term(lease.store_group);
        let (current, deferred): (Vec<_>, Vec<_>) = leases.into_iter().partition(is_scheduled);
        self.deferred.set_reported_leases(link, deferred);
        self.restore_leases(now, link, current);
        self.scheduler.record_lease_report(now, ProxyId(link.0));
    }

    /// Processes the messages that proxies sent before this machine became primary of a store group.
    pub(crate) fn process_deferred_messages(&mut self, now: Duration, group_id: u32) {
        for (link, leases) in self.deferred.take_reported_leases(group_id) {
            self.restore_leases(now, link, leases);
        }
        for deferred in self.deferred.take_results(group_id) {
            self.finish_item(group_id, &deferred.job, deferred.result);
        }
    }

    /// Renews the leases of all store groups that this machine is acting primary of.
    pub(crate) fn renew_leases(&mut self, now: Duration) {
        let groups = &self.groups;
        let is_acting = |group_id: u32| groups.get(&group_id).is_some_and(|group| group.is_acting(now));
        for (proxy, group_ids) in self.scheduler.renew_leases(now, is_acting) {
            self.send_renewal(LinkId(proxy.0), group_ids);
        }
    }

    /// Notifies proxies that were granted fewer items than they last requested when there is work for them.
    ///
    /// A machine that is shutting down sends no such notices.
    pub(crate) fn notify_idle_proxies(&mut self, now: Duration) {
        if self.is_shutting_down {
            return;
        }
        let groups = &self.groups;
        let states = |group_id: u32| acting_state(groups, now, group_id);
        for proxy in self.scheduler.take_idle_proxies(now, states) {
            self.outbox.reply(LinkId(proxy.0), FromStore::WorkAvailable);
        }
    }

    fn finish_item(&mut self, group_id: u32, job: &str, result: ItemResult) {
        let Some(group) = self.groups.get_mut(&group_id) else { return };
        let Some(stored) = group.state().job(job) else { return };
        let Some(item) = stored.pending_index(&result.id) else { return };
        if !has_allowed_versions(stored.job(), &result) {
            log::error!(
                "result rejected: weight versions not allowed by the job job={job} item={}",
                result.id
            );
            self.scheduler.reject_result(job, item);
            return;
        }
        if self.scheduler.finish_item(job, item) {
            group.buffer_result(job, result);
        }
    }

    fn return_item(
        &mut self, lease: LeaseReference, group_id: u32, job: &str, item: &str, progress: ItemProgress,
    ) {
        let stored = self.groups.get(&group_id).and_then(|group| group.state().job(job));
        if let Some(item) = stored.and_then(|stored| stored.pending_index(item)) {
            self.scheduler.return_item(lease, job, item, progress);
        }
    }

    /// Restores reported leases.
    ///
    /// Leases of jobs that have ended or are not stored are cancelled. The others are renewed immediately,
    /// as they may not have been renewed for a while.
    fn restore_leases(&mut self, now: Duration, link: LinkId, leases: Vec<ActiveLease>) {
        let mut ended_jobs = Vec::new();
        let mut restored = BTreeSet::new();
        for lease in leases {
            let Some(group) = self.acting_group(now, lease.store_group) else { continue };
            let open_job = group.state().job(&lease.job).filter(|job| !job.has_ended());
            let Some(open_job) = open_job else {
                ended_jobs.push(lease.job);
                continue;
            };
            let items: Vec<usize> = lease.items.iter().filter_map(|id| open_job.pending_index(id)).collect();
            restored.insert(lease.store_group);
            self.scheduler.restore_lease(now, ProxyId(link.0), &lease.job, &items);
        }
        if !ended_jobs.is_empty() {
            self.outbox.reply(link, FromStore::Cancel { jobs: ended_jobs });
        }
        if !restored.is_empty() {
            self.send_renewal(link, restored);
        }
    }

    fn send_renewal(&mut self, link: LinkId, group_ids: impl IntoIterator<Item = u32>) {
        let groups = group_ids.into_iter().flat_map(|group_id| self.renewed_epochs(group_id)).collect();
        self.outbox.reply(link, FromStore::Renew { groups });
    }

    /// Returns a store group with each epoch of this machine's current term as primary, limited to the newest
    /// [`MAX_RENEWED_EPOCHS`]. Proxies may have recorded their leases under any of these epochs.
    fn renewed_epochs(&self, group_id: u32) -> Vec<(u32, u64)> {
        let current = self.groups.get(&group_id).map_or(0, |group| group.replica.record().epoch);
        let first = self.scheduler.epoch(group_id).unwrap_or(current);
        let first = first.max(current.saturating_sub(MAX_RENEWED_EPOCHS - 1));
        (first..=current).map(|epoch| (group_id, epoch)).collect()
    }
}

/// Returns the replicated state of a store group if this machine is its acting primary.
fn acting_state(groups: &BTreeMap<u32, Group>, now: Duration, group_id: u32) -> Option<&BatchState> {
    let group = groups.get(&group_id).filter(|group| group.is_acting(now));
    group.map(Group::state)
}

/// Returns whether a job allows the weight versions that generated a result's text. A dead letter has no
/// text and is always allowed.
fn has_allowed_versions(job: &Job, result: &ItemResult) -> bool {
    let are_new_enough = result.versions.iter().all(|version| *version >= job.min_version);
    let is_single = !job.terms.single_version || result.versions.len() <= 1;
    result.state == ResultState::DeadLetter || (are_new_enough && is_single)
}
