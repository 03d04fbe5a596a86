//! Links between control nodes: the exchange of identities, and the standby's subscription to the primary's feed.

use super::control_node::ControlNode;
use super::events::Output;
use crate::feed::ConnectionId;
use pebblepost_messages::Member;
use pebblepost_messages::control::{FromControl, ToControl};
use pebblepost_messages::feed::{FeedBatch, FeedReply, FeedUpdate};
use std::time::Duration;

impl ControlNode {
    pub(super) fn handle_peer_connected(&mut self, now: Duration, address: &str) {
        self.peer_links.add(now, address, &self.settings.me, &mut self.outputs);
        for peer in self.peers.statuses(now) {
            if peer.member.address == address {
                self.group.announce_epoch(&peer.member);
            }
        }
        self.subscribe_to_primary(now);
    }

    pub(super) fn handle_peer_message(&mut self, now: Duration, address: &str, message: FromControl) {
        match message {
            FromControl::Feed(batch) => self.replicate_feed(now, address, &batch),
            FromControl::Members(members) => self.peers.add_candidates(&members),
            FromControl::Redirect { members, .. } => {
                self.peers.add_candidates(&members);
                self.peer_links.record_rejected_subscription(now, address);
            }
            // The runtime has merged shared updates into the batch that refers to them.
            FromControl::GroupChanged { .. }
            | FromControl::KeepAlive
            | FromControl::Status(_)
            | FromControl::SharedUpdates(_) => {}
        }
    }

    /// Handles the identity that another control node sends first on an inbound link.
    pub(super) fn handle_peer_hello(&mut self, now: Duration, connection: ConnectionId, member: Member) {
        self.peers.record_message(now, &member);
        if self.peer_links.is_connected(&member.address) {
            self.group.announce_epoch(&member);
        } else {
            self.outputs.push(Output::DialPeerNow(member.address.clone()));
        }
        self.inbound.set_peer(connection, member);
        self.send_members(now, connection);
        if self.primary.is_none() {
            // The new peer may be the last reachable one that an election needs.
            self.tick_group(now);
        }
    }

    /// Subscribes to the feed of the primary, if that is another node.
    pub(super) fn subscribe_to_primary(&mut self, now: Duration) {
        if self.primary.is_some() {
            return;
        }
        let Some(address) = self.other_primary().map(|primary| primary.address.clone()) else { return };
        self.peer_links.subscribe(now, &address, &self.settings.me, &mut self.outputs);
    }

    /// Applies a batch of the primary's feed to the local soft state (registrations, number of proxies), from which
    /// this node continues if it becomes primary. All other state arrives through the replicated log.
    fn replicate_feed(&mut self, now: Duration, address: &str, batch: &FeedBatch) {
        if self.primary.is_some() {
            return;
        }
        for update in &batch.updates {
            match update {
                FeedUpdate::Instances { complete, instances } => {
                    self.registry.replicate(now, *complete, instances);
                }
                FeedUpdate::ProxyCount(count) => self.proxy_count = *count,
                FeedUpdate::Configuration(_) | FeedUpdate::StoreGroups(_) | FeedUpdate::NamedVersions(_) => {}
            }
        }
        let generation = self.state().generation();
        let reply = ToControl::Reply(FeedReply::Acknowledge { sequence: batch.sequence, generation });
        self.peer_links.send(now, address, reply, &mut self.outputs);
    }
}
