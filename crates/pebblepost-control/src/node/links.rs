//! Messages on inbound links from feed subscribers, storage nodes, other control nodes and operators.

use super::control_node::ControlNode;
use super::events::Output;
use super::group_changes::GroupChangeRequest;
use crate::feed::ConnectionId;
use crate::state::command::{Command, Outcome};
use pebblepost_messages::Member;
use pebblepost_messages::control::{FromControl, GroupEpoch, SubscriberRole, ToControl};
use std::collections::BTreeSet;
use std::time::Duration;

impl ControlNode {
    pub(super) fn handle_message(&mut self, now: Duration, connection: ConnectionId, message: ToControl) {
        self.inbound.add(connection);
        self.record_activity(now, connection);
        match message {
            message @ (ToControl::Subscribe { .. } | ToControl::StoreHello { .. })
                if !self.is_acting(now) =>
            {
                self.redirect_or_defer_message(now, connection, message);
            }
            ToControl::Subscribe { node, role, generation, .. } => {
                self.subscribe(now, connection, node, role, generation);
            }
            ToControl::Reply(reply) => {
                if let Some(primary) = &mut self.primary {
                    primary.feed.acknowledge(now, connection, &reply);
                }
            }
            ToControl::StoreHello { member, bootstrap } => {
                self.register_store(now, connection, member, bootstrap);
            }
            ToControl::ChangeGroup { request, group, expected_epoch, proposed } => {
                let request = GroupChangeRequest { connection, request, group };
                self.change_group(now, request, expected_epoch, proposed);
            }
            ToControl::PeerHello { member } => self.handle_peer_hello(now, connection, member),
            ToControl::Replication(bytes) => {
                if let Some(from) = self.inbound.peer(connection) {
                    self.group.receive(now, from, &bytes);
                }
            }
            ToControl::Announce(_) | ToControl::KeepAlive => {}
            ToControl::VersionLag { model, lag } => {
                if let Some(primary) = &mut self.primary {
                    primary.planner.observe_version_lag(now, &model, lag);
                }
            }
            ToControl::Status => {
                let status = self.status(now).into_bytes();
                self.send(now, connection, FromControl::Status(status));
            }
        }
    }

    pub(super) fn handle_disconnected(&mut self, now: Duration, connection: ConnectionId) {
        self.deferred.remove_link(connection);
        let Some(link) = self.inbound.remove(connection) else { return };
        let Some(primary) = &mut self.primary else { return };
        primary.feed.unsubscribe(now, connection);
        if let Some(disk) = link.store {
            primary.storage.record_disconnect(disk);
        }
    }

    /// Sends the address of the primary, if known, and closes the link. Links of control nodes stay open, because they
    /// also carry replication.
    pub(super) fn redirect(&mut self, now: Duration, connection: ConnectionId) {
        let primary = self.live_primary(now).map(|primary| primary.address.clone());
        let members = self.peers.advertised(now, self.group.record());
        self.send(now, connection, FromControl::Redirect { primary, members });
        if self.inbound.peer(connection).is_none() {
            self.handle_disconnected(now, connection);
            self.outputs.push(Output::Disconnect { connection });
        }
    }

    /// Redirects `subscribers` and all storage nodes, because this node can't serve them any more.
    pub(super) fn redirect_all(
        &mut self, now: Duration, subscribers: impl IntoIterator<Item = ConnectionId>,
    ) {
        let mut connections: BTreeSet<ConnectionId> = self.inbound.stores().collect();
        connections.extend(subscribers);
        for connection in connections {
            self.redirect(now, connection);
        }
    }

    pub(super) fn send(&mut self, now: Duration, connection: ConnectionId, message: FromControl) {
        self.inbound.send(now, connection, message, &mut self.outputs);
    }

    /// Sends the link addresses of the control nodes on one link.
    pub(super) fn send_members(&mut self, now: Duration, connection: ConnectionId) {
        let members = FromControl::Members(self.peers.advertised(now, self.group.record()));
        self.send(now, connection, members);
    }

    /// Sends the link addresses of the control nodes on all links when they have changed. Otherwise a program could
    /// be left with the addresses of replaced nodes only.
    pub(super) fn advertise_members(&mut self, now: Duration) {
        let members = self.peers.advertised(now, self.group.record());
        if members == self.advertised {
            return;
        }
        self.advertised.clone_from(&members);
        let connections = self.inbound.connections();
        let connections: Vec<ConnectionId> =
            connections.filter(|connection| !self.deferred.contains_link(*connection)).collect();
        for connection in connections {
            self.send(now, connection, FromControl::Members(members.clone()));
        }
    }

    /// Responds to the group changes of storage nodes whose entries up to index `committed` are committed.
    pub(super) fn respond_to_group_changes(&mut self, now: Duration, committed: u64) {
        let Some(primary) = &mut self.primary else { return };
        for (index, request) in primary.group_changes.take_committed(committed) {
            let outcome = self.state().outcome(index);
            let accepted = matches!(outcome, Some(Outcome::GroupChanged { accepted: true, .. }));
            self.respond_to_group_change(now, request, accepted);
        }
    }

    fn record_activity(&mut self, now: Duration, connection: ConnectionId) {
        if let Some(peer) = self.inbound.peer(connection) {
            self.peers.record_message(now, peer);
        }
        if let Some(primary) = &mut self.primary {
            primary.feed.record_message(now, connection);
            if let Some(disk) = self.inbound.store(connection) {
                primary.storage.record_message(now, disk);
            }
        }
    }

    /// Redirects a link whose message only the acting primary can serve, or defers the message while no primary is
    /// known.
    fn redirect_or_defer_message(&mut self, now: Duration, connection: ConnectionId, message: ToControl) {
        let is_peer = self.inbound.peer(connection).is_some();
        if is_peer || self.live_primary(now).is_some() {
            self.redirect(now, connection);
        } else {
            self.deferred.defer_message(now, connection, message);
        }
    }

    fn subscribe(
        &mut self, now: Duration, connection: ConnectionId, node: String, role: SubscriberRole,
        generation: u64,
    ) {
        let Some(primary) = &mut self.primary else { return };
        primary.feed.subscribe(now, connection, node, role, generation);
        self.send_members(now, connection);
    }

    fn register_store(&mut self, now: Duration, connection: ConnectionId, member: Member, bootstrap: bool) {
        let Some(primary) = &mut self.primary else { return };
        if let Some(former) = self.inbound.set_store(connection, member.disk) {
            primary.storage.record_disconnect(former);
        }
        primary.storage.announce_disk(now, member, bootstrap);
        primary.storage_plan.schedule_now(now);
    }

    fn change_group(
        &mut self, now: Duration, request: GroupChangeRequest, expected_epoch: u64, proposed: GroupEpoch,
    ) {
        if !self.is_acting(now) {
            self.redirect(now, request.connection);
            return;
        }
        let proposer = self.inbound.store(request.connection).unwrap_or_default();
        let command = Command::ChangeGroup { proposer, group: request.group, expected_epoch, proposed };
        let proposal = self.group.propose(now, &command);
        let Some(primary) = &mut self.primary else { return };
        match proposal {
            Ok(index) => primary.group_changes.insert(index, request),
            Err(_) => self.respond_to_group_change(now, request, false),
        }
    }

    fn respond_to_group_change(&mut self, now: Duration, request: GroupChangeRequest, accepted: bool) {
        let GroupChangeRequest { connection, request, group } = request;
        let assignment = self.state().groups().get(&group);
        let current = assignment.map(|assignment| assignment.epoch.clone()).unwrap_or_default();
        self.send(now, connection, FromControl::GroupChanged { request, group, accepted, current });
    }
}
