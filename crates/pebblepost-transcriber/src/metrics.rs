//! Counters of the client.

use std::cell::Cell;

/// Counters of a client since its creation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClientMetrics {
    /// Attempts to establish a connection, those below included.
    pub connection_attempts: u64,
    /// Attempts to establish a connection to a transcriber to which there was none.
    pub initial_connection_attempts: u64,
    /// Attempts to replace an idle connection that had expired or was closed by the transcriber.
    pub replacement_connection_attempts: u64,
    /// Requests written, including requests for load reports and load orders.
    pub requests: u64,
    /// Calls that request a load report, whether or not their request was written.
    pub load_reports: u64,
}

/// The counters, changed through a shared reference within one thread.
#[derive(Default)]
pub(crate) struct MetricsCell(Cell<ClientMetrics>);

impl MetricsCell {
    /// Returns a copy of the counters.
    pub(crate) fn get(&self) -> ClientMetrics {
        self.0.get()
    }

    /// Applies a change to the counters.
    pub(crate) fn update(&self, change: impl FnOnce(&mut ClientMetrics)) {
        let mut metrics = self.0.get();
        change(&mut metrics);
        self.0.set(metrics);
    }
}
