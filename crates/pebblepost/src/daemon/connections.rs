//! Routes the events of connections to the module that handles the protocol of each connection.

use super::Daemon;
use crate::connection_role::ConnectionRole;
use crate::front::faktory::session::Session;
use crate::front::health;
use crate::front::platform::client::ClientState;
use crate::net::{ConnectionKey, ListenerKind};

impl Daemon {
    /// Accepts pending connections at a listener. Returns `false` if there were none.
    pub(super) fn accept(&mut self, index: usize) -> bool {
        let (listener, status) = (self.context.net.listener_kind(index), self.status());
        let accepted = self.context.net.accept(index, accepted_connection_role);
        let any_accepted = !accepted.is_empty();
        let context = &mut self.context;
        for key in accepted {
            match listener {
                Some(ListenerKind::AgentCheck) => health::answer_agent_check(context, key, status),
                Some(ListenerKind::Health) => health::on_open(context, key),
                Some(ListenerKind::Faktory) => {
                    self.faktory.iter_mut().for_each(|faktory| faktory.on_open(context, key));
                }
                Some(ListenerKind::Platform) => self.platform.on_open(context, key),
                None => {}
            }
        }
        any_accepted
    }

    /// Handles a connection that is readable or writable.
    pub(super) fn on_connection_ready(&mut self, key: ConnectionKey, readable: bool, writable: bool) {
        if writable && !self.on_writable(key) {
            return self.on_closed(key);
        }
        if readable {
            self.on_readable(key);
        }
    }

    /// Writes pending output. On a new connection this first completes the connection attempt. Returns `false` if the attempt
    /// failed.
    fn on_writable(&mut self, key: ConnectionKey) -> bool {
        let context = &mut self.context;
        let connecting = context.net.get(key).is_some_and(|connection| !connection.connected);
        if !context.net.finish_connect(key) {
            return false;
        }
        match context.net.role(key).filter(|_| connecting) {
            Some(ConnectionRole::Worker(_)) => self.workers.on_connected(context, key),
            Some(ConnectionRole::Discovery(_)) => self.watch.on_connected(context, key),
            _ => {}
        }
        context.net.flush(key);
        true
    }

    /// Reads from a connection and processes what was received before handling its end, if the peer closed it.
    fn on_readable(&mut self, key: ConnectionKey) {
        let context = &mut self.context;
        let is_open = context.net.read(key);
        match context.net.role(key) {
            Some(ConnectionRole::Client(_)) if is_open => self.platform.on_data(context, key),
            Some(ConnectionRole::Worker(_)) => self.workers.on_data(context, key),
            Some(ConnectionRole::Discovery(_)) => {
                for worker in self.watch.on_data(context, key) {
                    self.workers.close_idle(context, worker);
                }
            }
            Some(ConnectionRole::Faktory(_)) => {
                self.faktory.iter_mut().for_each(|faktory| faktory.on_data(context, key));
            }
            Some(ConnectionRole::Health) if is_open => {
                let fleet_status = self.fleet.as_ref().map(|fleet| fleet.status_line());
                health::on_data(context, key, fleet_status.as_deref().unwrap_or_default());
            }
            _ => {}
        }
        if !is_open {
            self.on_closed(key);
        }
    }

    /// Handles a connection that was closed by its peer or broke.
    pub(super) fn on_closed(&mut self, key: ConnectionKey) {
        let context = &mut self.context;
        match context.net.role(key) {
            Some(ConnectionRole::Client(_)) => self.platform.on_closed(context, key),
            Some(ConnectionRole::Worker(_)) => self.workers.on_closed(context, key),
            Some(ConnectionRole::Discovery(_)) => self.watch.on_closed(context, key),
            Some(ConnectionRole::Faktory(_)) => {
                self.faktory.iter_mut().for_each(|faktory| faktory.on_closed(context, key));
            }
            _ => {
                context.net.close(key);
            }
        }
    }

    /// Handles the deadline of a connection, whose meaning depends on its role.
    pub(super) fn on_deadline(&mut self, key: ConnectionKey) {
        let context = &mut self.context;
        match context.net.role(key) {
            Some(ConnectionRole::Client(_)) => self.platform.on_deadline(context, key),
            Some(ConnectionRole::Worker(_)) => self.workers.on_deadline(context, key),
            Some(ConnectionRole::Discovery(_)) => self.watch.on_deadline(context, key),
            Some(ConnectionRole::Faktory(_)) => {
                self.faktory.iter_mut().for_each(|faktory| faktory.on_deadline(context, key));
            }
            _ => self.on_closed(key),
        }
    }
}

/// Returns the initial role of a connection accepted at a listener.
fn accepted_connection_role(listener: ListenerKind) -> ConnectionRole {
    match listener {
        ListenerKind::Health => ConnectionRole::Health,
        ListenerKind::AgentCheck => ConnectionRole::Closing,
        ListenerKind::Faktory => ConnectionRole::Faktory(Session::default()),
        ListenerKind::Platform => ConnectionRole::Client(ClientState::Head),
    }
}
