//! Work of batch jobs: leases to proxies, their outcomes, items given up, jobs forgotten.

use super::Store;
use super::early::EarlyResult;
use super::group::{Group, Proposed};
use super::outbox::LinkId;
use pebblepost_batch::command::Change;
use pebblepost_batch::scheduler::{ExpiredItems, ItemProgress, ProxyId, ProxyLease};
use pebblepost_messages::batch::{FromStore, ActiveLease, ItemOutcome, ItemResult, Job, RENEW_MS, ResultState};
use std::collections::BTreeSet;
use std::time::Duration;

/// How often leases are renewed.
const RENEWAL: Duration = Duration::from_millis(RENEW_MS);
/// How often jobs that need not be kept are looked for.
const FORGETTING: Duration = Duration::from_secs(5);
/// Epochs of one term for which leases are renewed.
const MOST_EPOCHS_RENEWED: u64 = 8;
/// Items that one answer leases at most.
const MOST_ITEMS_AT_ONCE: u32 = 512;

impl Store {
    pub(super) fn take_work(&mut self, now: Duration, link: LinkId, max_items: u32) {
        let max_items = usize::try_from(max_items.min(MOST_ITEMS_AT_ONCE)).unwrap_or(0);
        let groups = &self.groups;
        let states = |number: u32| {
            let group = groups.get(&number).filter(|group| group.is_acting(now));
            group.map(Group::state)
        };
        let leases = self.scheduler.lease_items(now, ProxyId(link.0), max_items, states);
        self.outbox.reply(link, FromStore::Work(leases));
    }

    /// Takes the outcomes of items of one lease.
    pub(super) fn outcomes(
        &mut self, now: Duration, lease: ProxyLease, number: u32, job: &str, outcomes: Vec<ItemOutcome>,
    ) {
        let is_primary = self.scheduler.has_group(number);
        for outcome in outcomes {
            match outcome {
                ItemOutcome::Finished(result) if is_primary => self.finished(number, job, result),
                ItemOutcome::Finished(result) if self.groups.contains_key(&number) => {
                    self.early.keep_result(now, EarlyResult { group: number, job: job.to_owned(), result });
                }
                ItemOutcome::Finished(_) => {}
                ItemOutcome::Returned { id, failed_attempts, failed_scorer_attempts, partial } => {
                    let progress = ItemProgress { failed_attempts, failed_scorer_attempts, partial };
                    self.handed_back(lease, number, job, &id, progress);
                }
            }
        }
    }

    fn finished(&mut self, number: u32, job: &str, result: ItemResult) {
        let Some(group) = self.groups.get_mut(&number) else { return };
        let Some(stored) = group.state().job(job) else { return };
        let Some(item) = stored.pending_index(&result.id) else { return };
        if !versions_fit(stored.job(), &result) {
            log::error!("a result of item {} of job {job} has versions that do not fit", result.id);
            self.scheduler.reject_result(job, item);
            return;
        }
        if self.scheduler.finish_item(job, item) {
            group.gather(job, result);
        }
    }

    fn handed_back(&mut self, lease: ProxyLease, number: u32, job: &str, id: &str, progress: ItemProgress) {
        let stored = self.groups.get(&number).and_then(|group| group.state().job(job));
        if let Some(item) = stored.and_then(|stored| stored.pending_index(id)) {
            self.scheduler.return_item(lease, job, item, progress);
        }
    }

    /// A proxy announces the leases that it holds. Those of groups that this machine is not
    /// primary of yet are kept until it is.
    pub(super) fn holding(&mut self, now: Duration, link: LinkId, leases: Vec<ActiveLease>) {
        let is_scheduled = |lease: &ActiveLease| self.scheduler.has_group(lease.store_group);
        let (ours, early): (Vec<_>, Vec<_>) = leases.into_iter().partition(is_scheduled);
        self.early.keep_announced(link, early);
        self.take_announced(now, link, ours);
        self.scheduler.lease_report_received(now, ProxyId(link.0));
    }

    /// Takes what proxies said before this machine was primary of a group.
    pub(super) fn take_early(&mut self, now: Duration, number: u32) {
        for (link, leases) in self.early.take_announced(number) {
            self.take_announced(now, link, leases);
        }
        for early in self.early.take_results(number) {
            self.finished(number, &early.job, early.result);
        }
    }

    /// Leases of jobs that are over are cancelled, the others are renewed at once: they may have
    /// been without renewal for a while.
    fn take_announced(&mut self, now: Duration, link: LinkId, leases: Vec<ActiveLease>) {
        let mut over = Vec::new();
        let mut held = BTreeSet::new();
        for lease in leases {
            let Some(group) = self.acting_group(now, lease.store_group) else { continue };
            let open = group.state().job(&lease.job).filter(|job| !job.has_ended());
            let Some(open) = open else {
                over.push(lease.job);
                continue;
            };
            let items: Vec<usize> = lease.items.iter().filter_map(|id| open.pending_index(id)).collect();
            held.insert(lease.store_group);
            self.scheduler.restore_lease(now, ProxyId(link.0), &lease.job, &items);
        }
        if !over.is_empty() {
            self.outbox.reply(link, FromStore::Cancel { jobs: over });
        }
        if !held.is_empty() {
            let groups = held.into_iter().flat_map(|number| self.epochs_of_term(number)).collect();
            self.outbox.reply(link, FromStore::Renew { groups });
        }
    }

    pub(super) fn renew_leases(&mut self, now: Duration) {
        if now.saturating_sub(self.last_done.renewal) < RENEWAL {
            return;
        }
        self.last_done.renewal = now;
        let groups = &self.groups;
        let is_acting = |number: u32| groups.get(&number).is_some_and(|group| group.is_acting(now));
        for (proxy, renewed) in self.scheduler.renew_leases(now, is_acting) {
            let groups = renewed.into_iter().flat_map(|number| self.epochs_of_term(number)).collect();
            self.outbox.reply(LinkId(proxy.0), FromStore::Renew { groups });
        }
    }

    /// A group with each epoch of this machine's present term as primary: proxies may have noted
    /// their leases under any of them.
    fn epochs_of_term(&self, number: u32) -> Vec<(u32, u64)> {
        let current = self.groups.get(&number).map_or(0, |group| group.replica.record().epoch);
        let first = self.scheduler.epoch(number).unwrap_or(current);
        let first = first.max(current.saturating_sub(MOST_EPOCHS_RENEWED - 1));
        (first..=current).map(|epoch| (number, epoch)).collect()
    }

    /// Lists items whose time to be given up has come, and that nobody runs.
    pub(super) fn list_expired(&mut self, now: Duration) {
        for expired in self.scheduler.take_expired_items(now) {
            if let Some(group) = self.groups.get_mut(&expired.group) {
                give_up(group, &expired);
            }
        }
    }

    pub(super) fn forget_jobs(&mut self, now: Duration) {
        if now.saturating_sub(self.last_done.forgetting) < FORGETTING {
            return;
        }
        self.last_done.forgetting = now;
        let retention = self.settings.retention;
        let numbers: Vec<u32> = self.groups.keys().copied().collect();
        for number in numbers {
            let Some(group) = self.acting_group(now, number) else { continue };
            let now_ms = group.clock(now).now_ms(now);
            let jobs = group.state().jobs_past_retention(now_ms, retention);
            if jobs.is_empty() {
                continue;
            }
            let proposed = Proposed::Forget { jobs: jobs.clone() };
            if let Err(error) = group.propose(now, Change::DeleteJobs { jobs }, proposed) {
                log::debug!("group {number}: jobs were not forgotten: {error:?}");
            }
            self.settle(now, number);
        }
    }

    /// Tells proxies that asked in vain that there is work now.
    pub(super) fn tell_idle_proxies(&mut self, now: Duration) {
        let groups = &self.groups;
        let is_leaving = self.is_leaving;
        let is_acting =
            |number: u32| !is_leaving && groups.get(&number).is_some_and(|group| group.is_acting(now));
        for proxy in self.scheduler.take_idle_proxies(now, is_acting) {
            self.outbox.reply(LinkId(proxy.0), FromStore::WorkAvailable);
        }
    }
}

/// Whether a text was made under versions that its job allows.
fn versions_fit(job: &Job, result: &ItemResult) -> bool {
    let are_new = result.versions.iter().all(|version| *version >= job.min_version);
    let are_single = !job.terms.single_version || result.versions.len() <= 1;
    result.state == ResultState::DeadLetter || (are_new && are_single)
}

fn give_up(group: &mut Group, expired: &ExpiredItems) {
    let Some(stored) = group.state().job(&expired.job) else { return };
    let ids = expired.items.iter().filter_map(|index| Some(stored.pending_item(*index)?.id.clone()));
    let ids: Vec<String> = ids.collect();
    for id in ids {
        let result = ItemResult { id, state: ResultState::DeadLetter, ..ItemResult::default() };
        group.gather(&expired.job, result);
    }
}
