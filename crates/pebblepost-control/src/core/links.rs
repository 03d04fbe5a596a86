//! Links: subscribers of the feed, storage machines, other control processes.

use super::{Core, Output};
use crate::feed::ConnectionId;
use pebblepost_messages::control::{FromControl, SubscriberRole, ToControl};
use pebblepost_messages::feed::{FeedBatch, FeedReply, FeedUpdate};
use pebblepost_messages::{DiskId, Member};
use std::collections::BTreeSet;
use std::time::Duration;

/// A link on which nothing was sent for so long gets a sign of life.
const KEEP_ALIVE: Duration = Duration::from_millis(700);
/// Pause before the feed of a primary that refused it is asked for again.
const SUBSCRIBE_AGAIN: Duration = Duration::from_millis(300);
/// Silence after which a primary is taken to be gone, and callers are not sent to it.
const PRIMARY_SILENCE: Duration = Duration::from_millis(1000);

/// A link that another program opened.
#[derive(Debug, Default)]
pub(super) struct Connection {
    /// The control process at its other end.
    pub(super) peer: Option<Member>,
    /// The storage machine at its other end.
    pub(super) store: Option<DiskId>,
    sent: Duration,
}

/// A link that this process opened to another control process.
#[derive(Debug, Default)]
pub(super) struct PeerLink {
    subscribed: bool,
    subscribe_at: Duration,
    sent: Duration,
}

impl Core {
    pub(super) fn message(&mut self, now: Duration, connection: ConnectionId, message: ToControl) {
        self.connections.entry(connection).or_default();
        self.heard_from(now, connection);
        match message {
            message @ (ToControl::Subscribe { .. } | ToControl::StoreHello { .. })
                if !self.is_acting(now) =>
            {
                self.redirect_or_hold(now, connection, message);
            }
            ToControl::Subscribe { node, role, generation, .. } => {
                self.subscribe(now, connection, node, role, generation);
            }
            ToControl::Reply(reply) => {
                if let Some(primary) = &mut self.primary {
                    primary.feed.acknowledge(now, connection, &reply);
                }
            }
            ToControl::StoreHello { member, bootstrap: founding } => {
                self.store_hello(now, connection, member, founding);
            }
            ToControl::ChangeGroup { request, group, expected_epoch, proposed } => {
                self.change_group(now, connection, request, group, expected_epoch, proposed);
            }
            ToControl::PeerHello { member } => self.peer_hello(now, connection, member),
            ToControl::Replication(bytes) => {
                let peer = self.connections.get(&connection).and_then(|known| known.peer.clone());
                if let Some(from) = peer {
                    self.group.receive(now, &from, &bytes);
                }
            }
            ToControl::Announce(_) | ToControl::KeepAlive => {}
            ToControl::VersionSlack { model, slack } => {
                if let Some(primary) = &mut self.primary {
                    primary.planner.observe_slack(now, &model, slack);
                }
            }
            ToControl::Status => {
                let status = self.status(now).into_bytes();
                self.send(now, connection, FromControl::Status(status));
            }
        }
    }

    pub(super) fn closed(&mut self, now: Duration, connection: ConnectionId) {
        self.early.closed(connection);
        let Some(known) = self.connections.remove(&connection) else { return };
        let Some(primary) = &mut self.primary else { return };
        primary.feed.unsubscribe(now, connection);
        if let Some(disk) = known.store {
            primary.stores.disconnected(disk);
        }
    }

    pub(super) fn peer_up(&mut self, now: Duration, address: String) {
        let hello = ToControl::PeerHello { member: self.settings.me.clone() };
        self.outputs.push(Output::SendPeer { address: address.clone(), message: hello });
        for standing in self.peers.statuses(now) {
            if standing.member.address == address {
                self.group.introduce(&standing.member);
            }
        }
        self.peer_links.insert(address, PeerLink { sent: now, ..PeerLink::default() });
        self.follow_primary(now);
    }

    pub(super) fn peer_down(&mut self, address: &str) {
        self.peer_links.remove(address);
    }

    pub(super) fn peer_message(&mut self, now: Duration, address: &str, message: FromControl) {
        match message {
            FromControl::Feed(batch) => self.fold(now, address, &batch),
            FromControl::Members(members) => self.peers.add_candidates(&members),
            FromControl::Redirect { members, .. } => {
                self.peers.add_candidates(&members);
                if let Some(link) = self.peer_links.get_mut(address) {
                    link.subscribed = false;
                    link.subscribe_at = now + SUBSCRIBE_AGAIN;
                }
            }
            FromControl::GroupChanged { .. } | FromControl::KeepAlive | FromControl::Status(_) => {}
        }
    }

    /// Subscribes to the feed of the primary, where another process is primary.
    pub(super) fn follow_primary(&mut self, now: Duration) {
        if self.primary.is_some() {
            return;
        }
        let Some(address) = self.other_primary().map(|primary| primary.address.clone()) else { return };
        let Some(link) = self.peer_links.get_mut(&address) else { return };
        if link.subscribed || now < link.subscribe_at {
            return;
        }
        link.subscribed = true;
        link.sent = now;
        let message = ToControl::Subscribe {
            node: self.settings.me.node.clone(),
            zone: self.settings.me.zone.clone(),
            role: SubscriberRole::Standby,
            // The configuration comes by replication.
            generation: u64::MAX,
        };
        self.outputs.push(Output::SendPeer { address, message });
    }

    /// Takes in what the primary's feed says of transcribers, so that this process can go on from
    /// there if it becomes primary. Everything else comes by replication.
    fn fold(&mut self, now: Duration, address: &str, batch: &FeedBatch) {
        if self.primary.is_some() {
            return;
        }
        for update in &batch.updates {
            match update {
                FeedUpdate::Instances { complete: whole, instances } => {
                    self.registry.replicate(now, *whole, instances)
                }
                FeedUpdate::ProxyCount(count) => self.proxy_count = *count,
                FeedUpdate::Configuration(_) | FeedUpdate::StoreGroups(_) | FeedUpdate::NamedVersions(_) => {}
            }
        }
        let generation = self.state().generation();
        let reply = ToControl::Reply(FeedReply::Acknowledge { sequence: batch.sequence, generation });
        self.outputs.push(Output::SendPeer { address: address.to_string(), message: reply });
        if let Some(link) = self.peer_links.get_mut(address) {
            link.sent = now;
        }
    }

    fn heard_from(&mut self, now: Duration, connection: ConnectionId) {
        let peer = self.connections.get(&connection).and_then(|known| known.peer.as_ref());
        if let Some(peer) = peer {
            self.peers.message_received(now, peer);
        }
        if let Some(primary) = &mut self.primary {
            primary.feed.message_received(now, connection);
            if let Some(disk) = self.connections.get(&connection).and_then(|known| known.store) {
                primary.stores.message_received(now, disk);
            }
        }
    }

    fn subscribe(
        &mut self, now: Duration, connection: ConnectionId, node: String, role: SubscriberRole,
        generation: u64,
    ) {
        let Some(primary) = &mut self.primary else { return };
        primary.feed.subscribe(now, connection, node, role, generation);
        let members = FromControl::Members(self.peers.advertised(now, self.group.replica.record()));
        self.send(now, connection, members);
    }

    fn store_hello(&mut self, now: Duration, connection: ConnectionId, member: Member, founding: bool) {
        let Some(primary) = &mut self.primary else { return };
        let Some(known) = self.connections.get_mut(&connection) else { return };
        if let Some(former) = known.store.replace(member.disk) {
            primary.stores.disconnected(former);
        }
        primary.stores.hello(now, member, founding);
        primary.plan_at = now;
    }

    fn peer_hello(&mut self, now: Duration, connection: ConnectionId, member: Member) {
        self.peers.message_received(now, &member);
        if self.peer_links.contains_key(&member.address) {
            self.group.introduce(&member);
        } else {
            self.outputs.push(Output::DialNow(member.address.clone()));
        }
        if let Some(known) = self.connections.get_mut(&connection) {
            known.peer = Some(member);
        }
        let members = FromControl::Members(self.peers.advertised(now, self.group.replica.record()));
        self.send(now, connection, members);
        if self.primary.is_none() {
            // It may be the one that was waited for.
            self.tick_group(now);
        }
    }

    /// Says where the primary is. Other programs' links are closed, those of control processes
    /// carry replication as well and stay.
    pub(super) fn redirect(&mut self, now: Duration, connection: ConnectionId) {
        let primary = self.live_primary(now).map(|primary| primary.address.clone());
        let members = self.peers.advertised(now, self.group.replica.record());
        self.send(now, connection, FromControl::Redirect { primary, members });
        let is_peer = self.connections.get(&connection).is_some_and(|known| known.peer.is_some());
        if !is_peer {
            self.closed(now, connection);
            self.outputs.push(Output::Close { connection });
        }
    }

    /// Sends subscribers and storage machines elsewhere: this process can't tell them anything new.
    pub(super) fn send_elsewhere(
        &mut self, now: Duration, subscribers: impl IntoIterator<Item = ConnectionId>,
    ) {
        let stores = self.connections.iter().filter(|(_, known)| known.store.is_some());
        let mut told: BTreeSet<ConnectionId> = stores.map(|(connection, _)| *connection).collect();
        told.extend(subscribers);
        for connection in told {
            self.redirect(now, connection);
        }
    }

    /// The primary, if it is another process that was heard lately.
    pub(super) fn live_primary(&self, now: Duration) -> Option<&Member> {
        let primary = self.other_primary()?;
        let standings = self.peers.statuses(now);
        let standing = standings.iter().find(|standing| standing.member.disk == primary.disk)?;
        (standing.silent_for < PRIMARY_SILENCE).then_some(primary)
    }

    pub(super) fn send(&mut self, now: Duration, connection: ConnectionId, message: FromControl) {
        if let Some(known) = self.connections.get_mut(&connection) {
            known.sent = now;
        }
        self.outputs.push(Output::Send { connection, message });
    }

    /// Tells everybody of the control processes if they are others than before, so that nobody is
    /// left with those that were replaced.
    pub(super) fn tell_members(&mut self, now: Duration) {
        let members = self.peers.advertised(now, self.group.replica.record());
        if members == self.told_members {
            return;
        }
        self.told_members.clone_from(&members);
        let connections = self.connections.keys().copied();
        let told: Vec<ConnectionId> = connections.filter(|known| !self.early.holds(*known)).collect();
        for connection in told {
            self.send(now, connection, FromControl::Members(members.clone()));
        }
    }

    /// Signs of life on links between control processes.
    pub(super) fn keep_links_alive(&mut self, now: Duration) {
        for (address, link) in &mut self.peer_links {
            if now.saturating_sub(link.sent) >= KEEP_ALIVE {
                link.sent = now;
                let message = ToControl::KeepAlive;
                self.outputs.push(Output::SendPeer { address: address.clone(), message });
            }
        }
        let quiet = |(_, known): &(&ConnectionId, &Connection)| {
            known.peer.is_some() && now.saturating_sub(known.sent) >= KEEP_ALIVE
        };
        let quiet: Vec<ConnectionId> =
            self.connections.iter().filter(quiet).map(|(connection, _)| *connection).collect();
        for connection in quiet {
            self.send(now, connection, FromControl::KeepAlive);
        }
    }
}
