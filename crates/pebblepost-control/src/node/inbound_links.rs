//! Links that other programs have opened to this node.

use super::events::Output;
use crate::feed::ConnectionId;
use pebblepost_messages::control::FromControl;
use pebblepost_messages::{DiskId, Member};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time without an outgoing message after which a keep-alive is sent on an inbound link of a control node. The feed
/// sends the keep-alives of subscribers.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(700);

#[derive(Debug, Default)]
struct InboundLink {
    /// The control node at the other end, once it has identified itself.
    peer: Option<Member>,
    /// Disk of the storage node at the other end, once it has identified itself.
    store: Option<DiskId>,
    last_sent: Duration,
}

/// A link that was removed.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClosedLink {
    /// Disk of the storage node that was at its other end.
    pub(super) store: Option<DiskId>,
}

/// All inbound links.
#[derive(Debug, Default)]
pub(super) struct InboundLinks {
    links: BTreeMap<ConnectionId, InboundLink>,
}

impl InboundLinks {
    /// Adds a link unless it is known already.
    pub(super) fn add(&mut self, connection: ConnectionId) {
        self.links.entry(connection).or_default();
    }

    /// Removes a link and returns what was known of it.
    pub(super) fn remove(&mut self, connection: ConnectionId) -> Option<ClosedLink> {
        self.links.remove(&connection).map(|link| ClosedLink { store: link.store })
    }

    /// Returns the control node at the other end of a link, once it has identified itself.
    pub(super) fn peer(&self, connection: ConnectionId) -> Option<&Member> {
        self.links.get(&connection).and_then(|link| link.peer.as_ref())
    }

    /// Returns the disk of the storage node at the other end of a link, once it has identified itself.
    pub(super) fn store(&self, connection: ConnectionId) -> Option<DiskId> {
        self.links.get(&connection).and_then(|link| link.store)
    }

    /// Records the control node at the other end of a link.
    pub(super) fn set_peer(&mut self, connection: ConnectionId, member: Member) {
        if let Some(link) = self.links.get_mut(&connection) {
            link.peer = Some(member);
        }
    }

    /// Records the disk of the storage node at the other end of a link, and returns the disk recorded before.
    pub(super) fn set_store(&mut self, connection: ConnectionId, disk: DiskId) -> Option<DiskId> {
        self.links.get_mut(&connection).and_then(|link| link.store.replace(disk))
    }

    /// Returns all links.
    pub(super) fn connections(&self) -> impl Iterator<Item = ConnectionId> {
        self.links.keys().copied()
    }

    /// Returns the links of storage nodes.
    pub(super) fn stores(&self) -> impl Iterator<Item = ConnectionId> {
        let stores = self.links.iter().filter(|(_, link)| link.store.is_some());
        stores.map(|(connection, _)| *connection)
    }

    pub(super) fn send(
        &mut self, now: Duration, connection: ConnectionId, message: FromControl, outputs: &mut Vec<Output>,
    ) {
        self.record_sent(now, connection);
        outputs.push(Output::Send { connection, message });
    }

    /// Records that a message is sent on a link, which postpones its next keep-alive.
    pub(super) fn record_sent(&mut self, now: Duration, connection: ConnectionId) {
        if let Some(link) = self.links.get_mut(&connection) {
            link.last_sent = now;
        }
    }

    /// Sends keep-alives on idle links of control nodes.
    pub(super) fn send_keep_alives(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        for (connection, link) in &mut self.links {
            if link.peer.is_some() && now.saturating_sub(link.last_sent) >= KEEP_ALIVE_INTERVAL {
                link.last_sent = now;
                outputs.push(Output::Send { connection: *connection, message: FromControl::KeepAlive });
            }
        }
    }
}
