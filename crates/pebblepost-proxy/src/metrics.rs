//! Metrics: counts of what the proxy has done since its start.

use pebblepost_transcriber::ClientMetrics;
use std::cell::Cell;
use std::fmt::Display;

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProxyMetrics {
    /// Connections of clients accepted.
    pub connections: u64,
    /// Requests read.
    pub requests: u64,
    /// Responses of transcribers forwarded, failures included.
    pub responses_forwarded: u64,
    /// Requests that got a 503 of this proxy: they have not run and never will.
    pub not_executed: u64,
    /// Requests that ended in a 502 or 504 of this proxy.
    pub indeterminate: u64,
    /// Requests rejected before they were forwarded: 400, 404, 413, 431.
    pub rejected: u64,
    /// Streams resumed at another transcriber.
    pub streams_resumed: u64,
    /// Streams aborted before their end.
    pub streams_aborted: u64,
}

/// The metrics of one thread.
#[derive(Debug, Default)]
pub(crate) struct Metrics(Cell<ProxyMetrics>);

impl Metrics {
    /// Changes one of the counts.
    pub(crate) fn update(&self, change: impl FnOnce(&mut ProxyMetrics)) {
        let mut counts = self.0.get();
        change(&mut counts);
        self.0.set(counts);
    }

    /// The counts so far.
    pub(crate) fn get(&self) -> ProxyMetrics {
        self.0.get()
    }
}

/// One line of `name=value` for the log; operators read these names.
pub(crate) fn metrics_line(proxy: ProxyMetrics, client: ClientMetrics, runner: &impl Display) -> String {
    format!(
        "counts: requests={} answered={} refused={} failed={} connections={} first={} renewed={} sent={} reports={} {}",
        proxy.requests,
        proxy.responses_forwarded,
        proxy.not_executed,
        proxy.indeterminate,
        client.connection_attempts,
        client.initial_connection_attempts,
        client.replacement_connection_attempts,
        client.requests,
        client.load_reports,
        runner,
    )
}
