//! Metrics: counters since the start of the proxy.

use pebblepost_transcriber::ClientMetrics;
use std::cell::Cell;
use std::fmt::Display;

/// Counters since the start of the proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProxyMetrics {
    /// Client connections that were accepted.
    pub connections: u64,
    /// Requests that were read completely.
    pub requests: u64,
    /// Responses of transcribers that were forwarded, including failures.
    pub responses_forwarded: u64,
    /// Requests that got a 503 of this proxy after dispatch: no transcriber has executed them.
    pub not_executed: u64,
    /// Requests that got a 502 or 504 of this proxy: a transcriber may have executed them.
    pub indeterminate: u64,
    /// Requests that were rejected before dispatch: 400, 404, 413, 431, or 503 for lack of memory or of a
    /// configuration.
    pub rejected: u64,
    /// Streams that were resumed by another attempt, counted once per resumption.
    pub streams_resumed: u64,
    /// Streams that were aborted before they were complete.
    pub streams_aborted: u64,
}

/// Counters that the tasks of one thread update.
#[derive(Debug, Default)]
pub(crate) struct Metrics(Cell<ProxyMetrics>);

impl Metrics {
    /// Applies a change to the counters.
    pub(crate) fn update(&self, change: impl FnOnce(&mut ProxyMetrics)) {
        let mut counts = self.0.get();
        change(&mut counts);
        self.0.set(counts);
    }

    /// Returns a copy of the counters.
    pub(crate) fn get(&self) -> ProxyMetrics {
        self.0.get()
    }
}

/// Formats the metrics as one log line of `name=value` pairs. Operators rely on these names.
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
