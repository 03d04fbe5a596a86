//! Liveness of storage nodes, derived from their links to the primary.

use pebblepost_messages::{DiskId, Member};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time since the last message after which a disconnected storage node counts as failed. It is assigned no groups
/// then and loses those that it has.
const FAILURE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time that storage nodes have to connect to a new primary before they count as failed.
const NEW_PRIMARY_GRACE_PERIOD: Duration = Duration::from_millis(4000);
/// Time without a message after which the disk of a storage node without groups is removed.
const DISK_REMOVAL_TIMEOUT: Duration = Duration::from_secs(120);

/// A disk that a storage node has announced to this primary.
#[derive(Clone, Debug)]
pub(super) struct AnnouncedDisk {
    pub(super) member: Member,
    /// Whether the node takes part in the initial assignment of groups.
    pub(super) bootstrap: bool,
    last_message: Duration,
    last_hello: Duration,
    connections: usize,
}

impl AnnouncedDisk {
    pub(super) fn is_connected(&self) -> bool {
        self.connections > 0
    }
}

/// Storage nodes that have connected to this primary.
#[derive(Clone, Debug)]
pub struct StorageNodes {
    announced: BTreeMap<DiskId, AnnouncedDisk>,
    /// Time at which a disk was last announced for the first time.
    last_joined: Duration,
    /// Time at which this node became primary.
    primary_since: Duration,
}

impl StorageNodes {
    /// Creates the state of a new primary, which knows no storage nodes until they connect.
    pub fn new(now: Duration) -> StorageNodes {
        StorageNodes { announced: BTreeMap::new(), last_joined: now, primary_since: now }
    }

    /// Records that a storage node announced its disk on a new link.
    pub fn announce_disk(&mut self, now: Duration, member: Member, bootstrap: bool) {
        let announced = self.announced.entry(member.disk).or_insert_with(|| {
            self.last_joined = now;
            AnnouncedDisk {
                member: member.clone(),
                bootstrap,
                last_message: now,
                last_hello: now,
                connections: 0,
            }
        });
        announced.member = member;
        announced.last_message = now;
        announced.last_hello = now;
        announced.connections += 1;
    }

    /// Records that a message arrived from a storage node.
    pub fn record_message(&mut self, now: Duration, disk: DiskId) {
        if let Some(announced) = self.announced.get_mut(&disk) {
            announced.last_message = now;
        }
    }

    /// Records that a link of a storage node was closed. The failure time-out runs from the last message instead of
    /// this event, because the link may have been closed by the read time-out.
    pub fn record_disconnect(&mut self, disk: DiskId) {
        if let Some(announced) = self.announced.get_mut(&disk) {
            announced.connections = announced.connections.saturating_sub(1);
        }
    }

    /// Returns whether the node of a disk counts as live.
    pub fn is_live(&self, now: Duration, disk: DiskId) -> bool {
        match self.announced.get(&disk) {
            Some(announced) => {
                announced.is_connected() || now.saturating_sub(announced.last_message) < FAILURE_TIMEOUT
            }
            None => now.saturating_sub(self.primary_since) < NEW_PRIMARY_GRACE_PERIOD,
        }
    }

    /// Returns whether a disk is connected.
    pub(super) fn is_connected(&self, disk: DiskId) -> bool {
        self.announced.get(&disk).is_some_and(AnnouncedDisk::is_connected)
    }

    /// Returns whether the node of a disk has reconnected with another disk, so that this disk is permanently lost.
    pub(super) fn is_replaced(&self, member: &Member) -> bool {
        let own = self.announced.get(&member.disk).map(|known| known.last_hello);
        let is_later = |known: &AnnouncedDisk| own.is_none_or(|own| own < known.last_hello);
        let is_other =
            |known: &AnnouncedDisk| known.member.disk != member.disk && known.member.node == member.node;
        self.announced.values().any(|known| known.is_connected() && is_other(known) && is_later(known))
    }

    /// Returns whether a disk has been disconnected for so long that it may be removed.
    pub(super) fn is_removable(&self, now: Duration, disk: DiskId) -> bool {
        match self.announced.get(&disk) {
            Some(announced) => {
                !announced.is_connected() && now.saturating_sub(announced.last_message) > DISK_REMOVAL_TIMEOUT
            }
            None => self.time_as_primary(now) > DISK_REMOVAL_TIMEOUT,
        }
    }

    /// Returns the connected disks, ordered by identity.
    pub(super) fn connected(&self) -> impl Iterator<Item = &AnnouncedDisk> {
        self.announced.values().filter(|announced| announced.is_connected())
    }

    /// Returns a disk that was announced to this primary, whether it is still connected or not.
    pub(super) fn announced(&self, disk: DiskId) -> Option<&AnnouncedDisk> {
        self.announced.get(&disk)
    }

    /// Returns the time since a disk was last announced for the first time.
    pub(super) fn time_since_last_join(&self, now: Duration) -> Duration {
        now.saturating_sub(self.last_joined)
    }

    /// Returns the time for which this node has been primary.
    pub(super) fn time_as_primary(&self, now: Duration) -> Duration {
        now.saturating_sub(self.primary_since)
    }
}
