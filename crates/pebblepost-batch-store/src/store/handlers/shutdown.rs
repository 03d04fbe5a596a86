//! Graceful shutdown: other machines take over the groups of a machine before it stops.

use crate::store::Store;
use pebblepost_messages::batch::ToStore;
use pebblepost_messages::{DiskId, Member};
use std::time::Duration;

impl Store {
    /// Starts a graceful shutdown: other machines are to replicate what this one does, and to become
    /// primary in its place. It stops being needed once [`Store::is_in_sync_replica`] is false.
    pub fn start_shutdown(&mut self, now: Duration) {
        self.is_shutting_down = true;
        self.membership.start_draining(self.settings.member.disk);
        for peer in self.membership.peers() {
            self.outbox.send_to_peer(peer, ToStore::ShuttingDown);
        }
        self.reconfigure_groups(now);
    }

    /// Whether this machine is an in-sync replica of a group: others rely on it.
    pub fn is_in_sync_replica(&self) -> bool {
        let local = self.settings.member.disk;
        let is_local = |member: &Member| member.disk == local;
        self.groups.values().any(|group| group.replica.record().in_sync.iter().any(is_local))
    }

    /// Another storage machine has started a graceful shutdown.
    pub(crate) fn peer_shutting_down(&mut self, now: Duration, disk: DiskId) {
        log::info!("storage machine shutting down disk={:x}", disk.0);
        self.membership.start_draining(disk);
        self.reconfigure_groups(now);
    }
}
