//! Graceful shutdown: a grace period, then draining until the last response is out.

use super::Daemon;
use crate::connection_role::ConnectionRole;
use crate::context::Lifecycle;
use crate::net::{ConnectionKey, ListenerKind};
use crate::timer::Timer;
use std::time::Duration;

/// After a stop signal, connections are accepted and kept for this long, as load balancers notice late.
const GRACE_PERIOD: Duration = Duration::from_millis(500);
/// This many times what one iteration accepts is a listener's whole backlog.
const BACKLOG_ITERATIONS: usize = 16;

impl Daemon {
    /// Starts the grace period, unless that was done.
    pub(super) fn stop(&mut self, reason: &str) {
        if self.context.is_stopping() {
            return;
        }
        self.context.lifecycle = Lifecycle::GracePeriod;
        (self.context.log)(&format!("{reason}: shutting down gracefully"));
        self.context.net.timers.schedule(self.context.net.now + GRACE_PERIOD, Timer::GracePeriodEnd);
    }

    /// The grace period has ended: closes the listeners of clients.
    pub(super) fn start_draining(&mut self) {
        self.context.lifecycle = Lifecycle::Draining;
        for listener in [ListenerKind::Platform, ListenerKind::Faktory] {
            // Whoever has connected is served: closing the listener would reset connections in its backlog.
            if let Some(index) = self.context.net.listener_index(listener) {
                // At most the length of a backlog: clients that go on connecting must not delay the end.
                let _ = (0..BACKLOG_ITERATIONS).all(|_| self.accept(index));
            }
            self.context.net.close_listeners(listener);
        }
    }

    /// Whether the daemon has drained: every request has its response, and all responses are out.
    pub(super) fn is_finished(&mut self) -> bool {
        self.context.is_draining()
            && self.engine.unanswered_requests() == 0
            && !self.context.net.keys().into_iter().any(|key| self.has_pending_output(key))
    }

    fn has_pending_output(&mut self, key: ConnectionKey) -> bool {
        self.context.net.get(key).is_some_and(|connection| match &connection.role {
            // One that closes stays until its peer has read the response: our end would reset it away.
            ConnectionRole::Client(_) | ConnectionRole::Closing => true,
            ConnectionRole::Faktory(_) => !connection.is_flushed(),
            _ => false,
        })
    }
}
