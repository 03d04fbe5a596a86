//! Messages on inbound links: subscribers of the feed, storage nodes, other control processes, operators.

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
        self.inbound.open(connection);
        self.record_sign_of_life(now, connection);
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
                self.connect_store(now, connection, member, bootstrap);
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
        self.deferred.disconnected(connection);
        let Some(link) = self.inbound.close(connection) else { return };
        let Some(primary) = &mut self.primary else { return };
        primary.feed.unsubscribe(now, connection);
        if let Some(disk) = link.store {
            primary.storage.record_disconnect(disk);
        }
    }

    /// Sends where the primary is. Links of other programs are closed then; those of control processes carry
    /// replication as well and stay open.
    pub(super) fn redirect(&mut self, now: Duration, connection: ConnectionId) {
        let primary = self.live_primary(now).map(|primary| primary.address.clone());
        let members = self.peers.advertised(now, self.group.record());
        self.send(now, connection, FromControl::Redirect { primary, members });
        if self.inbound.peer(connection).is_none() {
            self.handle_disconnected(now, connection);
            self.outputs.push(Output::Disconnect { connection });
        }
    }

    /// Redirects subscribers and storage nodes when this process has nothing new to send them.
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

    /// Sends one program the link addresses of the control processes.
    pub(super) fn send_members(&mut self, now: Duration, connection: ConnectionId) {
        let members = FromControl::Members(self.peers.advertised(now, self.group.record()));
        self.send(now, connection, members);
    }

    /// Sends all programs the link addresses of the control processes when they have changed, so that no program is
    /// left with addresses of replaced processes only.
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

    /// Responds to storage nodes whose changes of a group up to the entry `committed` are committed.
    pub(super) fn respond_to_group_changes(&mut self, now: Duration, committed: u64) {
        let Some(primary) = &mut self.primary else { return };
        for (index, request) in primary.group_changes.take_committed(committed) {
            let outcome = self.state().outcome(index);
            let accepted = matches!(outcome, Some(Outcome::GroupChanged { accepted: true, .. }));
            self.respond_to_group_change(now, request, accepted);
        }
    }

    fn record_sign_of_life(&mut self, now: Duration, connection: ConnectionId) {
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

    /// Only the acting primary can serve the message: redirects the program there, or defers the message.
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

    fn connect_store(&mut self, now: Duration, connection: ConnectionId, member: Member, bootstrap: bool) {
        let Some(primary) = &mut self.primary else { return };
        if let Some(former) = self.inbound.set_store(connection, member.disk) {
            primary.storage.record_disconnect(former);
        }
        primary.storage.announce_disk(now, member, bootstrap);
        primary.storage_plan.schedule(now);
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
