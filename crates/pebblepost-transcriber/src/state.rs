//! State that the clones of a client share.

use crate::metrics::MetricsCell;
use crate::model::ClientLimits;
use crate::pool::ConnectionPool;
use std::cell::Cell;

/// Limits, counters and connections of a client.
pub(crate) struct ClientState {
    pub(crate) limits: Cell<ClientLimits>,
    pub(crate) metrics: MetricsCell,
    pub(crate) pool: ConnectionPool,
}

impl ClientState {
    /// Creates the state of a client without connections.
    pub(crate) fn new(limits: ClientLimits) -> ClientState {
        ClientState {
            limits: Cell::new(limits),
            metrics: MetricsCell::default(),
            pool: ConnectionPool::new(limits.max_connections_per_transcriber),
        }
    }
}
