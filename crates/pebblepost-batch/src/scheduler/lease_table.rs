//! Leases of items to proxies.
//!
//! The table records the holder and the last renewal of each lease, and which proxies are connected. It
//! refers to jobs by id only: the caller makes the items of an expired lease pending again.

use pebblepost_messages::batch::LEASE_DURATION_MS;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Duration of a lease, counted from its last renewal.
const LEASE_DURATION: Duration = Duration::from_millis(LEASE_DURATION_MS);
/// Age at which a lease expires even if it is renewed. A proxy that holds a lease for this long is
/// assumed to have lost track of it.
const MAX_LEASE_AGE: Duration = Duration::from_secs(30);

/// Identifies a proxy by the number of its link. A proxy that reconnects gets another id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProxyId(pub u64);

/// A lease as a proxy refers to it: by the number that this primary or an earlier one assigned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseReference {
    /// Proxy that holds the lease.
    pub proxy: ProxyId,
    /// Number of the lease.
    pub number: u64,
}

/// Identifies a lease by its store group and its number within that store group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LeaseKey {
    pub(super) store_group: u32,
    pub(super) number: u64,
}

/// Origin of a lease in this table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LeaseOrigin {
    /// This primary granted the lease.
    Granted,
    /// The proxy reported a lease that it already held and refers to it by its earlier number.
    Reported,
}

/// The holder of a lease.
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

/// A lease that expired with unfinished items.
#[derive(Debug)]
pub(super) struct ExpiredLease {
    pub(super) key: LeaseKey,
    pub(super) job: String,
    pub(super) items: BTreeSet<usize>,
}

/// The leases of the store groups that this machine is primary of, and the connected proxies.
#[derive(Debug, Default)]
pub(super) struct LeaseTable {
    leases: BTreeMap<LeaseKey, Lease>,
    connected: BTreeSet<ProxyId>,
    item_count: usize,
}

impl LeaseTable {
    pub(super) fn mark_connected(&mut self, proxy: ProxyId) {
        self.connected.insert(proxy);
    }

    pub(super) fn mark_disconnected(&mut self, proxy: ProxyId) {
        self.connected.remove(&proxy);
    }

    /// Returns the connected proxies.
    pub(super) fn connected_proxies(&self) -> BTreeSet<ProxyId> {
        self.connected.clone()
    }

    /// Returns the number of leased items.
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

    /// Returns whether a proxy's reference denotes the lease `key`.
    ///
    /// For a reported lease any number matches, as the proxy knows it by an earlier one.
    pub(super) fn matches_reference(&self, key: LeaseKey, reference: LeaseReference) -> bool {
        self.leases.get(&key).is_some_and(|lease| {
            let is_same_number =
                lease.holder.origin == LeaseOrigin::Reported || key.number == reference.number;
            lease.holder.proxy == reference.proxy && is_same_number
        })
    }

    /// Returns whether the lease exists and its holder is connected.
    pub(super) fn has_connected_holder(&self, key: LeaseKey) -> bool {
        self.leases.get(&key).is_some_and(|lease| self.connected.contains(&lease.holder.proxy))
    }

    /// Removes an item from a lease, and the lease if it has no other items.
    pub(super) fn remove_item(&mut self, key: LeaseKey, item: usize) {
        let Some(lease) = self.leases.get_mut(&key) else { return };
        if lease.items.remove(&item) {
            self.item_count -= 1;
        }
        if lease.items.is_empty() {
            self.leases.remove(&key);
        }
    }

    pub(super) fn remove_store_group(&mut self, store_group: u32) {
        self.retain(|key, _| key.store_group != store_group);
    }

    pub(super) fn remove_job(&mut self, job: &str) {
        self.retain(|_, lease| lease.job != job);
    }

    /// Removes and returns the leases that have expired.
    pub(super) fn take_expired(&mut self, now: Duration) -> Vec<ExpiredLease> {
        let expired = self.leases.iter().filter(|(_, lease)| lease.has_expired(now));
        let keys: Vec<LeaseKey> = expired.map(|(key, _)| *key).collect();
        keys.into_iter().filter_map(|key| self.take(key)).collect()
    }

    /// Renews the leases of connected proxies in the store groups that this machine is acting primary of.
    ///
    /// Returns the store groups with renewed leases, by proxy.
    pub(super) fn renew(
        &mut self, now: Duration, is_acting: impl Fn(u32) -> bool,
    ) -> BTreeMap<ProxyId, BTreeSet<u32>> {
        let mut renewed: BTreeMap<ProxyId, BTreeSet<u32>> = BTreeMap::new();
        for (key, lease) in &mut self.leases {
            let proxy = lease.holder.proxy;
            if self.connected.contains(&proxy) && is_acting(key.store_group) {
                lease.renewed_at = now;
                renewed.entry(proxy).or_default().insert(key.store_group);
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
