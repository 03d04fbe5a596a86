//! Idle connections: which of them are safe to use.
//!
//! Owns the idle connections to a worker, as far as a dispatcher can know them, and the learned limit on
//! their idle time. Opens and closes no connection itself.

use crate::api::Time;
use crate::estimators::EWMA_GAIN;
use std::collections::VecDeque;
use std::time::Duration;

/// Idle connections to one worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct IdleConnections {
    /// Time since when each connection has been idle, the oldest first.
    since: VecDeque<Time>,
}

/// Connection to use for a send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Connection {
    /// A new connection, because there is no idle one.
    New,
    /// A new connection. The idle ones must be closed, because they may have been lost.
    NewAfterClosing,
    /// A connection that has been idle for at most this time.
    Reused(Duration),
}

impl IdleConnections {
    /// Records that a connection has become idle.
    pub(crate) fn record(&mut self, now: Time) {
        self.since.push_back(now);
    }

    /// Takes a connection for a send. Connections idle for `keepalive` have been closed by then.
    pub(crate) fn take(&mut self, now: Time, keepalive: Duration, limit: IdleLimit) -> Connection {
        while self.since.front().is_some_and(|since| *since + keepalive <= now) {
            self.since.pop_front();
        }
        let Some(oldest) = self.since.front() else { return Connection::New };
        let idle = now.since(*oldest);
        if idle > limit.0 {
            self.since.clear();
            return Connection::NewAfterClosing;
        }
        self.since.pop_back();
        Connection::Reused(idle)
    }
}

/// Limit on the idle time of connections that are still used. Learned from jobs that started and from jobs
/// that never did.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IdleLimit(Duration);

impl IdleLimit {
    pub(crate) fn new(keepalive: Duration) -> Self {
        Self(keepalive)
    }

    /// Records that a job started on a connection that had been idle for `idle`. A slightly longer idle time
    /// is then safe too.
    pub(crate) fn record_start(&mut self, idle: Duration, keepalive: Duration) {
        if idle > self.0 / 2 {
            self.0 = self.0.mul_f64(1.0 + EWMA_GAIN).min(keepalive);
        }
    }

    /// Records that a job was lost on a connection that had been idle for `idle`, or on a new one.
    pub(crate) fn record_loss(&mut self, idle: Option<Duration>, tick: Duration) {
        let safe = idle.map_or(self.0, |idle| idle / 2);
        self.0 = self.0.min(safe).max(tick);
    }
}
