//! A proxy: keeps links to the stores, takes work, runs items, and makes the calls of its clients.

use pebblepost_messages::batch::{
    ActiveLease, FromStore, ItemOutcome, ItemResult, LEASE_DURATION_MS, PartialText, ResultState, ToStore,
    WorkLease,
};
use pebblepost_messages::feed::StoreGroup;
use rand::RngExt;
use rand::rngs::StdRng;
use std::collections::BTreeMap;

/// Items at work at once.
const CAPACITY: usize = 12;
/// An item whose lease is not renewed for this time is abandoned.
const ABANDON_AFTER_MS: u64 = 10_000;
/// Results are sent again for this time if the primary changes.
const RESEND_MS: u64 = 6_000;

/// An item at work.
#[derive(Debug)]
pub struct Running {
    store_group: u32,
    epoch: u64,
    lease: u64,
    /// Its job.
    pub job: String,
    item: String,
    ends_at: u64,
    valid_until: u64,
}

impl Running {
    /// Whether its lease lets it run now.
    pub fn is_valid(&self, now: u64) -> bool {
        now < self.valid_until
    }
}

/// A result that was sent.
#[derive(Debug)]
struct Sent {
    at: u64,
    store_group: u32,
    message: ToStore,
}

/// A proxy.
#[derive(Debug, Default)]
pub struct Proxy {
    /// Links by address of the machine.
    pub links: BTreeMap<String, u64>,
    /// Who serves which group, by the newest feed.
    pub groups: BTreeMap<u32, StoreGroup>,
    running: Vec<Running>,
    sent: Vec<Sent>,
    has_work: BTreeMap<u64, bool>,
    /// Leases and cancels are ignored, to test the checker.
    pub ignores_leases: bool,
}

/// A message to a store over a link.
pub type Outgoing = (u64, ToStore);

impl Proxy {
    /// The link to the primary of a group.
    pub fn link_of(&self, group: u32) -> Option<u64> {
        self.links.get(&self.groups.get(&group)?.primary.address).copied()
    }

    /// A link is up.
    pub fn connected(&mut self, node: usize, address: &str, link: u64) -> Vec<Outgoing> {
        self.links.insert(address.to_owned(), link);
        self.has_work.insert(link, true);
        let hello = ToStore::ProxyHello { node: format!("proxy-{node}"), zone: "zone".to_owned() };
        let mut messages = vec![(link, hello)];
        messages.extend(self.report_leases());
        messages
    }

    /// A link is lost.
    pub fn lost(&mut self, link: u64) -> Option<String> {
        self.has_work.remove(&link);
        let address =
            self.links.iter().find(|(_, known)| **known == link).map(|(address, _)| address.clone())?;
        self.links.remove(&address);
        Some(address)
    }

    /// The feed changed.
    pub fn follow(&mut self, now: u64, groups: &[StoreGroup]) -> Vec<Outgoing> {
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
        self.sent.retain(|sent| now < sent.at + RESEND_MS);
        let concerned = self.sent.iter().filter(|sent| changed.contains(&sent.store_group));
        let again =
            concerned.filter_map(|sent| Some((self.link_of(sent.store_group)?, sent.message.clone())));
        let mut messages: Vec<Outgoing> = again.collect();
        messages.extend(self.report_leases());
        messages
    }

    /// Reports all leases to the primaries of their groups.
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

    /// A message about work came.
    pub fn receive(&mut self, now: u64, random: &mut StdRng, link: u64, message: &FromStore) {
        match message {
            FromStore::WorkAvailable => drop(self.has_work.insert(link, true)),
            FromStore::Work(leases) => {
                self.has_work.insert(link, !leases.is_empty());
                for lease in leases {
                    self.take(now, random, lease);
                }
            }
            FromStore::Cancel { jobs } if !self.ignores_leases => {
                self.running.retain(|running| !jobs.contains(&running.job));
            }
            FromStore::Renew { groups } => {
                for running in &mut self.running {
                    if groups.contains(&(running.store_group, running.epoch)) {
                        running.valid_until = now + LEASE_DURATION_MS;
                    }
                }
            }
            _ => {}
        }
    }

    fn take(&mut self, now: u64, random: &mut StdRng, lease: &WorkLease) {
        for leased in &lease.items {
            let is_long = random.random_range(0..30) == 0;
            let takes = if is_long { 8_000 } else { random.random_range(30..400) };
            self.running.retain(|running| running.item != leased.item.id);
            self.running.push(Running {
                store_group: lease.store_group,
                epoch: lease.epoch,
                lease: lease.lease,
                job: lease.job.clone(),
                item: leased.item.id.clone(),
                ends_at: now + takes,
                valid_until: now + LEASE_DURATION_MS,
            });
        }
    }

    /// Items at work.
    pub fn running(&self) -> impl Iterator<Item = &Running> {
        self.running.iter()
    }

    /// Time passed: ends runs, asks for work.
    pub fn tick(&mut self, now: u64, node: usize, random: &mut StdRng) -> Vec<Outgoing> {
        if !self.ignores_leases {
            self.running.retain(|running| now < running.valid_until + ABANDON_AFTER_MS);
        }
        let mut messages = Vec::new();
        let ignores_leases = self.ignores_leases;
        let has_ended =
            |running: &mut Running| now >= running.ends_at && (ignores_leases || running.is_valid(now));
        for running in self.running.extract_if(.., has_ended).collect::<Vec<_>>() {
            messages.extend(self.finish(now, node, random, running));
        }
        if let Some(capacity) = CAPACITY.checked_sub(self.running.len()).filter(|capacity| *capacity > 0) {
            let max_items = u32::try_from(capacity).expect("a small number");
            for (link, has_work) in self.has_work.iter_mut().filter(|(_, has_work)| **has_work) {
                *has_work = false;
                messages.push((*link, ToStore::RequestWork { max_items }));
            }
        }
        messages
    }

    fn finish(&mut self, now: u64, node: usize, random: &mut StdRng, running: Running) -> Option<Outgoing> {
        let is_returned = random.random_range(0..20) == 0;
        let outcome = if is_returned {
            let partial = PartialText { last_event: 1, message: b"part".to_vec(), versions: vec![1] };
            ItemOutcome::Returned { id: running.item, failed_attempts: 1, failed_scorer_attempts: 0, partial }
        } else {
            let message = format!("text of {} by proxy {node} at {now}", running.item).into_bytes();
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
            self.sent.push(Sent { at: now, store_group: running.store_group, message: message.clone() });
        }
        Some((self.link_of(running.store_group)?, message))
    }
}
