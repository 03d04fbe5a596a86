//! A simulated proxy, which keeps links to the stores, requests work, runs items and forwards the calls of clients.

use pebblepost_messages::batch::{
    ActiveLease, FromStore, ItemOutcome, ItemResult, LEASE_DURATION_MS, PartialText, ResultState, ToStore,
    WorkLease,
};
use pebblepost_messages::feed::StoreGroup;
use rand::RngExt;
use rand::rngs::StdRng;
use std::collections::BTreeMap;

/// Largest number of items that a proxy runs at a time.
const MAX_RUNNING_ITEMS: usize = 12;
/// Time after the expiry of its lease from which an item is abandoned, in milliseconds.
const ABANDON_EXPIRED_ITEM_AFTER_MS: u64 = 10_000;
/// Time for which a sent result is sent again if the primary changes, in milliseconds.
const RESULT_RESEND_WINDOW_MS: u64 = 6_000;

/// An item that runs under a work lease.
#[derive(Debug)]
pub struct RunningItem {
    store_group: u32,
    epoch: u64,
    lease: u64,
    pub job: String,
    item: String,
    ends_at: u64,
    lease_valid_until: u64,
}

impl RunningItem {
    /// Whether the lease of the item is valid.
    pub fn has_valid_lease(&self, now: u64) -> bool {
        now < self.lease_valid_until
    }
}

/// A result that was sent, kept to be sent again.
#[derive(Debug)]
struct SentResult {
    sent_at: u64,
    store_group: u32,
    message: ToStore,
}

/// A simulated proxy.
#[derive(Debug, Default)]
pub struct Proxy {
    /// Open links by the address of the machine.
    pub links: BTreeMap<String, u64>,
    /// Store groups according to the newest feed.
    pub groups: BTreeMap<u32, StoreGroup>,
    running: Vec<RunningItem>,
    sent_results: Vec<SentResult>,
    /// Whether a store may have work, by link.
    has_work: BTreeMap<u64, bool>,
    /// Whether lease expiry and cancellation are ignored, to test the checker.
    pub ignores_leases: bool,
    /// Whether no work is requested, so that all items stay pending.
    pub requests_no_work: bool,
    /// Number of bytes that are added to each text.
    pub text_padding_bytes: usize,
}

/// A message to a store, with the link to send it over.
pub type Outgoing = (u64, ToStore);

impl Proxy {
    /// Returns the link to the primary of a group.
    pub fn link_of(&self, group: u32) -> Option<u64> {
        self.links.get(&self.groups.get(&group)?.primary.address).copied()
    }

    /// Adds an opened link. Returns the messages to send over it.
    pub fn handle_link_opened(&mut self, node: usize, address: &str, link: u64) -> Vec<Outgoing> {
        self.links.insert(address.to_owned(), link);
        self.has_work.insert(link, true);
        let hello = ToStore::ProxyHello { node: format!("proxy-{node}"), zone: "zone".to_owned() };
        let mut messages = vec![(link, hello)];
        messages.extend(self.report_leases());
        messages
    }

    /// Removes a lost link. Returns the address of its machine.
    pub fn handle_link_lost(&mut self, link: u64) -> Option<String> {
        self.has_work.remove(&link);
        let address =
            self.links.iter().find(|(_, known)| **known == link).map(|(address, _)| address.clone())?;
        self.links.remove(&address);
        Some(address)
    }

    /// Applies a new feed. Returns results that have to be sent again and lease reports if an epoch has changed.
    pub fn apply_feed(&mut self, now: u64, groups: &[StoreGroup]) -> Vec<Outgoing> {
        let mut changed = Vec::new();
        for group in groups {
            let known = self.groups.insert(group.group, group.clone());
            if known.is_none_or(|known| known.epoch != group.epoch) {
                changed.push(group.group);
            }
        }
        if changed.is_empty() {
            return Vec::new();
        }
        self.sent_results.retain(|sent| now < sent.sent_at + RESULT_RESEND_WINDOW_MS);
        let affected = self.sent_results.iter().filter(|sent| changed.contains(&sent.store_group));
        let resent =
            affected.filter_map(|sent| Some((self.link_of(sent.store_group)?, sent.message.clone())));
        let mut messages: Vec<Outgoing> = resent.collect();
        messages.extend(self.report_leases());
        messages
    }

    /// Returns messages that report all active leases to the primaries of their groups.
    pub fn report_leases(&mut self) -> Vec<Outgoing> {
        let mut active: BTreeMap<u64, Vec<ActiveLease>> =
            self.links.values().map(|link| (*link, Vec::new())).collect();
        let groups = &self.groups;
        for running in &mut self.running {
            let Some(group) = groups.get(&running.store_group) else { continue };
            running.epoch = running.epoch.max(group.epoch);
            let Some(link) = self.links.get(&group.primary.address) else { continue };
            let items = vec![running.item.clone()];
            let lease = ActiveLease { store_group: running.store_group, job: running.job.clone(), items };
            active.entry(*link).or_default().push(lease);
        }
        active.into_iter().map(|(link, leases)| (link, ToStore::ActiveLeases(leases))).collect()
    }

    /// Handles a message about work; ignores all others.
    pub fn handle_message(&mut self, now: u64, random: &mut StdRng, link: u64, message: &FromStore) {
        match message {
            FromStore::WorkAvailable => drop(self.has_work.insert(link, true)),
            FromStore::Work(leases) => {
                self.has_work.insert(link, !leases.is_empty());
                for lease in leases {
                    self.start_items(now, random, lease);
                }
            }
            FromStore::Cancel { jobs } if !self.ignores_leases => {
                self.running.retain(|running| !jobs.contains(&running.job));
            }
            FromStore::Renew { groups } => {
                for running in &mut self.running {
                    if groups.contains(&(running.store_group, running.epoch)) {
                        running.lease_valid_until = now + LEASE_DURATION_MS;
                    }
                }
            }
            _ => {}
        }
    }

    /// Starts the items of a lease. A run of the same item under an earlier lease is dropped.
    fn start_items(&mut self, now: u64, random: &mut StdRng, lease: &WorkLease) {
        for leased in &lease.items {
            let is_long_run = random.random_range(0..30) == 0;
            let run_ms = if is_long_run { 8_000 } else { random.random_range(30..400) };
            self.running.retain(|running| running.item != leased.item.id);
            self.running.push(RunningItem {
                store_group: lease.store_group,
                epoch: lease.epoch,
                lease: lease.lease,
                job: lease.job.clone(),
                item: leased.item.id.clone(),
                ends_at: now + run_ms,
                lease_valid_until: now + LEASE_DURATION_MS,
            });
        }
    }

    /// Returns the items that run.
    pub fn running(&self) -> impl Iterator<Item = &RunningItem> {
        self.running.iter()
    }

    /// Finishes items whose time has come, abandons those with an expired lease and requests more work.
    pub fn tick(&mut self, now: u64, node: usize, random: &mut StdRng) -> Vec<Outgoing> {
        if !self.ignores_leases {
            self.running.retain(|running| now < running.lease_valid_until + ABANDON_EXPIRED_ITEM_AFTER_MS);
        }
        let mut messages = Vec::new();
        let ignores_leases = self.ignores_leases;
        let is_finished = |running: &mut RunningItem| {
            now >= running.ends_at && (ignores_leases || running.has_valid_lease(now))
        };
        for running in self.running.extract_if(.., is_finished).collect::<Vec<_>>() {
            messages.extend(self.report_outcome(now, node, random, running));
        }
        messages.extend(self.request_work());
        messages
    }

    /// Requests as many items as may run in addition, from each store that may have work.
    fn request_work(&mut self) -> Vec<Outgoing> {
        let capacity = MAX_RUNNING_ITEMS.saturating_sub(self.running.len());
        if capacity == 0 || self.requests_no_work {
            return Vec::new();
        }
        let max_items = u32::try_from(capacity).expect("a small number");
        let requests = self.has_work.iter_mut().filter_map(|(link, has_work)| {
            std::mem::take(has_work).then_some((*link, ToStore::RequestWork { max_items }))
        });
        requests.collect()
    }

    /// Returns the message that reports the outcome of an item, unless there is no link to the primary.
    fn report_outcome(
        &mut self, now: u64, node: usize, random: &mut StdRng, running: RunningItem,
    ) -> Option<Outgoing> {
        let is_returned = random.random_range(0..20) == 0;
        let outcome = if is_returned {
            let partial = PartialText { last_event: 1, message: b"part".to_vec(), versions: vec![1] };
            ItemOutcome::Returned { id: running.item, failed_attempts: 1, failed_scorer_attempts: 0, partial }
        } else {
            let padding = "t".repeat(self.text_padding_bytes);
            let message = format!("text of {} by proxy {node} at {now}{padding}", running.item).into_bytes();
            let state = ResultState::Completed;
            ItemOutcome::Finished(ItemResult { id: running.item, state, message, ..ItemResult::default() })
        };
        let message = ToStore::Outcomes {
            store_group: running.store_group,
            job: running.job,
            lease: running.lease,
            outcomes: vec![outcome],
        };
        if !is_returned {
            self.sent_results.push(SentResult {
                sent_at: now,
                store_group: running.store_group,
                message: message.clone(),
            });
        }
        Some((self.link_of(running.store_group)?, message))
    }
}
