//! Graceful shutdown: a grace period, then draining until the last response is sent.

use super::Daemon;
use crate::connection_role::ConnectionRole;
use crate::context::Lifecycle;
use crate::net::{ConnectionKey, ListenerKind};
use crate::timer::Timer;
use std::time::Duration;

/// Time after a stop signal for which connections are still accepted and kept, because load balancers notice the change of
/// readiness with a delay.
const GRACE_PERIOD: Duration = Duration::from_millis(500);
/// Number of accept calls after which a listener's full backlog has been accepted. One call accepts a limited number of
/// connections.
const MAX_BACKLOG_ACCEPT_ROUNDS: usize = 16;

impl Daemon {
    /// Starts the grace period. Does nothing if the shutdown has begun already.
    pub(super) fn begin_shutdown(&mut self, reason: &str) {
        if self.context.is_stopping() {
            return;
        }
        self.context.lifecycle = Lifecycle::GracePeriod;
        (self.context.log)(&format!("{reason}: shutting down gracefully"));
        self.context.net.timers.schedule(self.context.net.now + GRACE_PERIOD, Timer::GracePeriodEnd);
    }

    /// Ends the grace period: accepts what is in the backlog of the client listeners, then closes them.
    pub(super) fn start_draining(&mut self) {
        self.context.lifecycle = Lifecycle::Draining;
        for listener in [ListenerKind::Platform, ListenerKind::Faktory] {
            // Closing a listener resets the connections in its backlog, so these are accepted first.
            if let Some(index) = self.context.net.listener_index(listener) {
                // The number of rounds is limited, so that clients that keep connecting do not delay the shutdown.
                let _ = (0..MAX_BACKLOG_ACCEPT_ROUNDS).all(|_| self.accept(index));
            }
            self.context.net.close_listeners(listener);
        }
    }

    /// Returns whether the daemon has drained: every request has its final response, and all responses are sent.
    pub(super) fn has_drained(&mut self) -> bool {
        self.context.is_draining()
            && self.engine.unanswered_requests() == 0
            && !self.context.net.keys().into_iter().any(|key| self.has_pending_output(key))
    }

    fn has_pending_output(&mut self, key: ConnectionKey) -> bool {
        self.context.net.get(key).is_some_and(|connection| match &connection.role {
            // A closing connection stays open until its peer has read the response. Exiting earlier could reset the connection
            // and discard the response.
            ConnectionRole::Client(_) | ConnectionRole::Closing => true,
            ConnectionRole::Faktory(_) => !connection.is_flushed(),
            _ => false,
        })
    }
}
