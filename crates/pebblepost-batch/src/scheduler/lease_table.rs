//! Leases of items to proxies.
//!
//! Owns which proxy holds which lease, when it was renewed last, and which proxies are connected. It
//! knows nothing of jobs but their ids: the caller makes the items of an expired lease pending again.

use pebblepost_messages::batch::LEASE_MS;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How long a lease lasts after its last renewal.
const LEASE_DURATION: Duration = Duration::from_millis(LEASE_MS);
/// Age at which a lease expires in spite of renewals: a proxy that still holds it has lost track of it.
const MAX_LEASE_AGE: Duration = Duration::from_secs(30);

/// A connected proxy: the number of its link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProxyId(pub u64);

/// A lease as a proxy names it: under the number that it got from this primary or from an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseReference {
    /// The proxy.
    pub proxy: ProxyId,
    /// Number of the lease.
    pub number: u64,
}

/// Identity of a lease: its group of jobs and its number in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LeaseKey {
    pub(super) group: u32,
    pub(super) number: u64,
}

/// How a proxy came to hold a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LeaseOrigin {
    /// This primary granted it.
    Granted,
    /// The proxy reported it; it knows it under another number.
    Reported,
}

/// Who holds a lease.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeaseHolder {
    pub(super) proxy: ProxyId,
    pub(super) origin: LeaseOrigin,
}

#[derive(Debug)]
struct Lease {
    holder: LeaseHolder,
    job: String,
    items: BTreeSet<usize>,
    granted_at: Duration,
    renewed_at: Duration,
}

impl Lease {
    fn has_expired(&self, now: Duration) -> bool {
        now.saturating_sub(self.renewed_at) >= LEASE_DURATION
            || now.saturating_sub(self.granted_at) >= MAX_LEASE_AGE
    }
}

/// A lease that expired with items unfinished.
#[derive(Debug)]
pub(super) struct ExpiredLease {
    pub(super) key: LeaseKey,
    pub(super) job: String,
    pub(super) items: BTreeSet<usize>,
}

/// All leases of this machine, and the proxies that may hold them.
#[derive(Debug, Default)]
pub(super) struct LeaseTable {
    leases: BTreeMap<LeaseKey, Lease>,
    connected: BTreeSet<ProxyId>,
    item_count: usize,
}

impl LeaseTable {
    pub(super) fn connect(&mut self, proxy: ProxyId) {
        self.connected.insert(proxy);
    }

    pub(super) fn disconnect(&mut self, proxy: ProxyId) {
        self.connected.remove(&proxy);
    }

    /// Proxies that are connected.
    pub(super) fn connected(&self) -> BTreeSet<ProxyId> {
        self.connected.clone()
    }

    /// Number of items under a lease.
    pub(super) fn item_count(&self) -> usize {
        self.item_count
    }

    pub(super) fn insert(
        &mut self, now: Duration, key: LeaseKey, holder: LeaseHolder, job: &str, items: Vec<usize>,
    ) {
        self.item_count += items.len();
        let lease = Lease {
            holder,
            job: job.to_owned(),
            items: items.into_iter().collect(),
            granted_at: now,
            renewed_at: now,
        };
        self.leases.insert(key, lease);
    }

    /// Whether the lease that a proxy names is this one.
    pub(super) fn is_named_by(&self, key: LeaseKey, named: LeaseReference) -> bool {
        self.leases.get(&key).is_some_and(|lease| {
            let is_same_number = lease.holder.origin == LeaseOrigin::Reported || key.number == named.number;
            lease.holder.proxy == named.proxy && is_same_number
        })
    }

    /// Whether the holder of a lease is connected.
    pub(super) fn has_connected_holder(&self, key: LeaseKey) -> bool {
        self.leases.get(&key).is_some_and(|lease| self.connected.contains(&lease.holder.proxy))
    }

    /// Takes an item out of a lease; a lease without items is removed.
    pub(super) fn remove_item(&mut self, key: LeaseKey, item: usize) {
        let Some(lease) = self.leases.get_mut(&key) else { return };
        if lease.items.remove(&item) {
            self.item_count -= 1;
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

    /// Removes the leases that have expired, and returns them.
    pub(super) fn take_expired(&mut self, now: Duration) -> Vec<ExpiredLease> {
        let expired = self.leases.iter().filter(|(_, lease)| lease.has_expired(now));
        let keys: Vec<LeaseKey> = expired.map(|(key, _)| *key).collect();
        keys.into_iter().filter_map(|key| self.take(key)).collect()
    }

    /// Renews the leases of connected proxies in the groups for which this machine is acting primary;
    /// the groups by proxy.
    pub(super) fn renew(
        &mut self, now: Duration, is_acting: impl Fn(u32) -> bool,
    ) -> BTreeMap<ProxyId, BTreeSet<u32>> {
        let mut renewed: BTreeMap<ProxyId, BTreeSet<u32>> = BTreeMap::new();
        for (key, lease) in &mut self.leases {
            let proxy = lease.holder.proxy;
            if self.connected.contains(&proxy) && is_acting(key.group) {
                lease.renewed_at = now;
                renewed.entry(proxy).or_default().insert(key.group);
            }
        }
        renewed
    }

    fn take(&mut self, key: LeaseKey) -> Option<ExpiredLease> {
        let lease = self.leases.remove(&key)?;
        self.item_count -= lease.items.len();
        Some(ExpiredLease { key, job: lease.job, items: lease.items })
    }

    fn retain(&mut self, keep: impl Fn(&LeaseKey, &Lease) -> bool) {
        self.leases.retain(|key, lease| keep(key, lease));
        self.item_count = self.leases.values().map(|lease| lease.items.len()).sum();
    }
}
