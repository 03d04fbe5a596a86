//! Graceful shutdown: other machines take over the store groups of a machine before it stops.

use crate::store::Store;
use pebblepost_messages::batch::ToStore;
use pebblepost_messages::{DiskId, Member};
use std::time::Duration;

impl Store {
    /// Starts a graceful shutdown.
    ///
    /// Other machines take over the replicas and the primary role of this one. The caller may stop the
    /// machine once [`Store::is_in_sync_replica`] returns false.
    pub fn start_shutdown(&mut self, now: Duration) {
        self.is_shutting_down = true;
        self.membership.start_draining(self.settings.member.disk);
        for peer in self.membership.peers() {
            self.outbox.send_to_peer(peer, ToStore::ShuttingDown);
        }
        self.reconfigure_groups(now);
    }

    /// Returns whether this machine is an in-sync replica of any store group, so that others depend on it.
    pub fn is_in_sync_replica(&self) -> bool {
        let local = self.settings.member.disk;
        let is_local = |member: &Member| member.disk == local;
        self.groups.values().any(|group| group.replica.record().in_sync.iter().any(is_local))
    }

    /// Handles the notice that another storage machine has started a graceful shutdown.
    pub(crate) fn handle_peer_shutdown(&mut self, now: Duration, disk: DiskId) {
        log::info!("storage machine shutting down disk={:x}", disk.0);
        self.membership.start_draining(disk);
        self.reconfigure_groups(now);
    }
}
