//! Links that other programs have opened to this process.

use super::events::Output;
use crate::feed::ConnectionId;
use pebblepost_messages::control::FromControl;
use pebblepost_messages::{DiskId, Member};
use std::collections::BTreeMap;
use std::time::Duration;

/// An inbound link of a control process on which nothing was sent for this long gets a keep-alive. Subscribers get
/// theirs from the feed.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(700);

#[derive(Debug, Default)]
struct InboundLink {
    /// The control process at the other end.
    peer: Option<Member>,
    /// Disk of the storage node at the other end.
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
    /// A message arrived on a link, maybe the first one.
    pub(super) fn open(&mut self, connection: ConnectionId) {
        self.links.entry(connection).or_default();
    }

    /// Removes a link, if it is known.
    pub(super) fn close(&mut self, connection: ConnectionId) -> Option<ClosedLink> {
        self.links.remove(&connection).map(|link| ClosedLink { store: link.store })
    }

    /// The control process at the other end of a link, once it has introduced itself.
    pub(super) fn peer(&self, connection: ConnectionId) -> Option<&Member> {
        self.links.get(&connection).and_then(|link| link.peer.as_ref())
    }

    /// Disk of the storage node at the other end of a link, once it has introduced itself.
    pub(super) fn store(&self, connection: ConnectionId) -> Option<DiskId> {
        self.links.get(&connection).and_then(|link| link.store)
    }

    /// The control process at the other end has introduced itself.
    pub(super) fn set_peer(&mut self, connection: ConnectionId, member: Member) {
        if let Some(link) = self.links.get_mut(&connection) {
            link.peer = Some(member);
        }
    }

    /// The storage node at the other end has introduced itself; the disk that it named before.
    pub(super) fn set_store(&mut self, connection: ConnectionId, disk: DiskId) -> Option<DiskId> {
        self.links.get_mut(&connection).and_then(|link| link.store.replace(disk))
    }

    /// All links.
    pub(super) fn connections(&self) -> impl Iterator<Item = ConnectionId> {
        self.links.keys().copied()
    }

    /// Links of storage nodes.
    pub(super) fn stores(&self) -> impl Iterator<Item = ConnectionId> {
        let stores = self.links.iter().filter(|(_, link)| link.store.is_some());
        stores.map(|(connection, _)| *connection)
    }

    pub(super) fn send(
        &mut self, now: Duration, connection: ConnectionId, message: FromControl, outputs: &mut Vec<Output>,
    ) {
        self.note_sent(now, connection);
        outputs.push(Output::Send { connection, message });
    }

    /// Something is sent on a link: it needs no keep-alive for some time.
    pub(super) fn note_sent(&mut self, now: Duration, connection: ConnectionId) {
        if let Some(link) = self.links.get_mut(&connection) {
            link.last_sent = now;
        }
    }

    /// Sends keep-alives on idle links of control processes.
    pub(super) fn send_keep_alives(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        for (connection, link) in &mut self.links {
            if link.peer.is_some() && now.saturating_sub(link.last_sent) >= KEEP_ALIVE_INTERVAL {
                link.last_sent = now;
                outputs.push(Output::Send { connection: *connection, message: FromControl::KeepAlive });
            }
        }
    }
}
