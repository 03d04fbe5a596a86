//! Leases of items to proxies.

use pebblepost_messages::batch::LEASE_MS;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How long a lease holds after its last renewal.
const LEASE: Duration = Duration::from_millis(LEASE_MS);
/// How long an item may be leased in all; a proxy that still holds it by then has lost track.
const MOST_LEASE_AGE: Duration = Duration::from_secs(30);

/// A connected proxy: the number of its link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProxyId(pub u64);

/// A lease: its group of jobs and its number there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LeaseKey {
    pub(super) group: u32,
    pub(super) number: u64,
}

#[derive(Debug)]
struct Lease {
    proxy: ProxyId,
    job: String,
    items: BTreeSet<usize>,
    given_at: Duration,
    renewed_at: Duration,
    /// The proxy knows it under another number: it announced it.
    is_announced: bool,
}

/// Who gets a lease.
#[derive(Clone, Copy, Debug)]
pub(super) struct Holder {
    pub(super) proxy: ProxyId,
    /// It has announced the lease, rather than been given it.
    pub(super) is_announced: bool,
}

/// A lease that has ended with items unfinished.
#[derive(Debug)]
pub(super) struct EndedLease {
    pub(super) key: LeaseKey,
    pub(super) job: String,
    pub(super) items: BTreeSet<usize>,
}

/// All leases given by this machine.
#[derive(Debug, Default)]
pub(super) struct Leases {
    leases: BTreeMap<LeaseKey, Lease>,
    connected: BTreeSet<ProxyId>,
    items: usize,
}

impl Leases {
    pub(super) fn connect(&mut self, proxy: ProxyId) {
        self.connected.insert(proxy);
    }

    pub(super) fn disconnect(&mut self, proxy: ProxyId) {
        self.connected.remove(&proxy);
    }

    /// Proxies that are connected.
    pub(super) fn proxies(&self) -> BTreeSet<ProxyId> {
        self.connected.clone()
    }

    /// Items leased now.
    pub(super) fn items(&self) -> usize {
        self.items
    }

    pub(super) fn insert(
        &mut self, now: Duration, key: LeaseKey, holder: Holder, job: &str, items: Vec<usize>,
    ) {
        self.items += items.len();
        let lease = Lease {
            proxy: holder.proxy,
            job: job.to_owned(),
            items: items.into_iter().collect(),
            given_at: now,
            renewed_at: now,
            is_announced: holder.is_announced,
        };
        self.leases.insert(key, lease);
    }

    /// Whether a proxy that names a lease `number` means this one.
    pub(super) fn is_meant(&self, key: LeaseKey, proxy: ProxyId, number: u64) -> bool {
        let lease = self.leases.get(&key).filter(|lease| lease.proxy == proxy);
        lease.is_some_and(|lease| lease.is_announced || key.number == number)
    }

    /// Whether the holder of a lease is connected.
    pub(super) fn is_held_by_connected(&self, key: LeaseKey) -> bool {
        self.leases.get(&key).is_some_and(|lease| self.connected.contains(&lease.proxy))
    }

    /// An item is not leased any more.
    pub(super) fn remove_item(&mut self, group: u32, number: u64, item: usize) {
        let key = LeaseKey { group, number };
        let Some(lease) = self.leases.get_mut(&key) else { return };
        if lease.items.remove(&item) {
            self.items -= 1;
        }
        if lease.items.is_empty() {
            self.leases.remove(&key);
        }
    }

    pub(super) fn remove_group(&mut self, group: u32) {
        self.retain(|key, _| key.group != group);
    }

    pub(super) fn remove_job(&mut self, job: &str) {
        self.retain(|_, lease| lease.job != job);
    }

    /// Takes the leases that were not renewed in time and those that are too old.
    pub(super) fn take_ended(&mut self, now: Duration) -> Vec<EndedLease> {
        let has_ended = |lease: &Lease| {
            now.saturating_sub(lease.renewed_at) >= LEASE
                || now.saturating_sub(lease.given_at) >= MOST_LEASE_AGE
        };
        let ended = self.leases.iter().filter(|(_, lease)| has_ended(lease));
        let keys: Vec<LeaseKey> = ended.map(|(key, _)| *key).collect();
        keys.into_iter().filter_map(|key| self.end(key)).collect()
    }

    /// Renews the leases of connected proxies in the groups that may be acted for; the groups by
    /// proxy.
    pub(super) fn renew(
        &mut self, now: Duration, is_acting: impl Fn(u32) -> bool,
    ) -> BTreeMap<ProxyId, BTreeSet<u32>> {
        let mut renewed: BTreeMap<ProxyId, BTreeSet<u32>> = BTreeMap::new();
        for (key, lease) in &mut self.leases {
            if self.connected.contains(&lease.proxy) && is_acting(key.group) {
                lease.renewed_at = now;
                renewed.entry(lease.proxy).or_default().insert(key.group);
            }
        }
        renewed
    }

    fn end(&mut self, key: LeaseKey) -> Option<EndedLease> {
        let lease = self.leases.remove(&key)?;
        self.items -= lease.items.len();
        Some(EndedLease { key, job: lease.job, items: lease.items })
    }

    fn retain(&mut self, keep: impl Fn(&LeaseKey, &Lease) -> bool) {
        self.leases.retain(|key, lease| keep(key, lease));
        self.items = self.leases.values().map(|lease| lease.items.len()).sum();
    }
}
