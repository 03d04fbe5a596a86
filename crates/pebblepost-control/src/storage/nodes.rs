//! Liveness of storage nodes, from their links to the primary.

use pebblepost_messages::{DiskId, Member};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time since the last message after which a storage node counts as failed: it gets no groups and loses those it has.
const FAILURE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time that storage nodes have to connect to a new primary before they count as failed.
const NEW_PRIMARY_GRACE: Duration = Duration::from_millis(4000);
/// Time without a message after which the disk of a storage node without groups is removed.
const REMOVE_TIMEOUT: Duration = Duration::from_secs(120);

/// A disk that a storage node has announced.
#[derive(Clone, Debug)]
pub(super) struct AnnouncedDisk {
    pub(super) member: Member,
    /// The node may take part in the first assignment of the groups.
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
    /// When the newest disk was announced for the first time.
    last_joined: Duration,
    /// When this process became primary.
    primary_since: Duration,
}

impl StorageNodes {
    /// A process that becomes primary knows of no storage node; they have some time to connect.
    pub fn new(now: Duration) -> StorageNodes {
        StorageNodes { announced: BTreeMap::new(), last_joined: now, primary_since: now }
    }

    /// A storage node announces its disk on a new link.
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

    /// A message arrived from a storage node.
    pub fn record_message(&mut self, now: Duration, disk: DiskId) {
        if let Some(announced) = self.announced.get_mut(&disk) {
            announced.last_message = now;
        }
    }

    /// A link of a storage node is closed, maybe by the read time-out: the failure time-out runs from the last message.
    pub fn record_disconnect(&mut self, disk: DiskId) {
        if let Some(announced) = self.announced.get_mut(&disk) {
            announced.connections = announced.connections.saturating_sub(1);
        }
    }

    /// Whether a disk's node counts as live.
    pub fn is_live(&self, now: Duration, disk: DiskId) -> bool {
        match self.announced.get(&disk) {
            Some(announced) => {
                announced.is_connected() || now.saturating_sub(announced.last_message) < FAILURE_TIMEOUT
            }
            None => now.saturating_sub(self.primary_since) < NEW_PRIMARY_GRACE,
        }
    }

    /// Whether a disk is connected.
    pub(super) fn is_connected(&self, disk: DiskId) -> bool {
        self.announced.get(&disk).is_some_and(AnnouncedDisk::is_connected)
    }

    /// Whether a disk's node has reconnected with another disk: this one is lost for good.
    pub(super) fn is_replaced(&self, member: &Member) -> bool {
        let own = self.announced.get(&member.disk).map(|known| known.last_hello);
        let is_later = |known: &AnnouncedDisk| own.is_none_or(|own| own < known.last_hello);
        let is_other =
            |known: &AnnouncedDisk| known.member.disk != member.disk && known.member.node == member.node;
        self.announced.values().any(|known| known.is_connected() && is_other(known) && is_later(known))
    }

    /// Whether a disk has been disconnected for so long that it may be removed.
    pub(super) fn is_removable(&self, now: Duration, disk: DiskId) -> bool {
        match self.announced.get(&disk) {
            Some(announced) => {
                !announced.is_connected() && now.saturating_sub(announced.last_message) > REMOVE_TIMEOUT
            }
            None => self.primary_for(now) > REMOVE_TIMEOUT,
        }
    }

    /// Connected disks, by identity.
    pub(super) fn connected(&self) -> impl Iterator<Item = &AnnouncedDisk> {
        self.announced.values().filter(|announced| announced.is_connected())
    }

    /// A disk that was announced, connected or not.
    pub(super) fn announced(&self, disk: DiskId) -> Option<&AnnouncedDisk> {
        self.announced.get(&disk)
    }

    /// Time since the newest disk was announced for the first time.
    pub(super) fn since_last_joined(&self, now: Duration) -> Duration {
        now.saturating_sub(self.last_joined)
    }

    /// Time for which this process has been primary.
    pub(super) fn primary_for(&self, now: Duration) -> Duration {
        now.saturating_sub(self.primary_since)
    }
}
