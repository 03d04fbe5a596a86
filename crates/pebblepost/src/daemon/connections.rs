//! Routing of what happens on connections to the protocol that each one speaks.

use super::Daemon;
use crate::connection_role::ConnectionRole;
use crate::front::faktory::session::Session;
use crate::front::health;
use crate::front::platform::client::ClientState;
use crate::net::{ConnectionKey, ListenerKind};

impl Daemon {
    /// Accepts connections at a listener; `false` if there were none.
    pub(super) fn accept(&mut self, index: usize) -> bool {
        let (listener, status) = (self.context.net.listener_kind(index), self.status());
        let accepted = self.context.net.accept(index, initial_role);
        let any = !accepted.is_empty();
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
        any
    }

    /// A connection can be read or written.
    pub(super) fn serve(&mut self, key: ConnectionKey, readable: bool, writable: bool) {
        if writable && !self.on_writable(key) {
            return self.on_closed(key);
        }
        if readable {
            self.on_readable(key);
        }
    }

    /// Writes output, on a new connection after its establishment; `false` if that failed.
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

    fn on_readable(&mut self, key: ConnectionKey) {
        let context = &mut self.context;
        let alive = context.net.read(key);
        match context.net.role(key) {
            Some(ConnectionRole::Client(_)) if alive => self.platform.on_data(context, key),
            Some(ConnectionRole::Worker(_)) => self.workers.on_data(context, key),
            Some(ConnectionRole::Discovery(_)) => {
                for worker in self.watch.on_data(context, key) {
                    self.workers.close_idle(context, worker);
                }
            }
            Some(ConnectionRole::Faktory(_)) => {
                self.faktory.iter_mut().for_each(|faktory| faktory.on_data(context, key));
            }
            Some(ConnectionRole::Health) if alive => {
                let fleet_status = self.fleet.as_ref().map(|fleet| fleet.status_line());
                health::on_data(context, key, fleet_status.as_deref().unwrap_or_default());
            }
            _ => {}
        }
        if !alive {
            self.on_closed(key);
        }
    }

    /// A connection ended or broke.
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

    /// A connection's own deadline has passed.
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

/// The role of a connection that was accepted at a listener.
fn initial_role(listener: ListenerKind) -> ConnectionRole {
    match listener {
        ListenerKind::Health => ConnectionRole::Health,
        ListenerKind::AgentCheck => ConnectionRole::Closing,
        ListenerKind::Faktory => ConnectionRole::Faktory(Session::default()),
        ListenerKind::Platform => ConnectionRole::Client(ClientState::Head),
    }
}
