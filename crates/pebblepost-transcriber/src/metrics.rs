//! Counters of the client.

use std::cell::Cell;

/// Counters of a client since its creation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClientMetrics {
    /// Connection attempts.
    pub connection_attempts: u64,
    /// Connection attempts to a transcriber to which there was no connection.
    pub initial_connection_attempts: u64,
    /// Connection attempts in place of a connection that was idle for too long or found closed.
    pub replacement_connection_attempts: u64,
    /// Requests sent, load reports and orders included.
    pub requests: u64,
    /// Load reports requested.
    pub load_reports: u64,
}

/// The counters in a cell, shared within one thread.
#[derive(Default)]
pub(crate) struct MetricsCell(Cell<ClientMetrics>);

impl MetricsCell {
    /// The counters so far.
    pub(crate) fn get(&self) -> ClientMetrics {
        self.0.get()
    }

    /// Changes the counters.
    pub(crate) fn update(&self, change: impl FnOnce(&mut ClientMetrics)) {
        let mut metrics = self.0.get();
        change(&mut metrics);
        self.0.set(metrics);
    }
}
