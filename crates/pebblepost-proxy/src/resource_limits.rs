//! Limits of memory and connections, derived from the machine limits in the settings.

use pebblepost_settings::MachineLimits;
use pebblepost_transcriber::ClientLimits;
use std::time::Duration;

/// Time-out for connecting to a transcriber.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle time after which a connection to a transcriber is closed.
const CLIENT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Divisor of the memory limit that gives the memory budget of all request bodies together.
const REQUEST_BODIES_MEMORY_DIVISOR: u64 = 4;
/// Divisor of the memory limit that gives the maximum size of one transcriber response.
const RESPONSE_MEMORY_DIVISOR: u64 = 8;
/// Lower bound of the connection limit per transcriber.
const MIN_CONNECTIONS_PER_TRANSCRIBER: u32 = 2;
/// Connection limit per transcriber while no configuration sets one.
pub(crate) const DEFAULT_CONNECTIONS_PER_TRANSCRIBER: u32 = 16;

/// Returns the memory budget of all request bodies together, in bytes.
pub(crate) fn request_body_budget_bytes(machine: &MachineLimits) -> usize {
    usize::try_from(machine.memory_bytes / REQUEST_BODIES_MEMORY_DIVISOR).unwrap_or(usize::MAX)
}

/// Returns the limits of the client that sends requests to transcribers. `connections` is the maximum
/// number of connections per transcriber; it is raised to [`MIN_CONNECTIONS_PER_TRANSCRIBER`].
pub(crate) fn client_limits(machine: &MachineLimits, connections: u32) -> ClientLimits {
    ClientLimits {
        connect_timeout: CONNECT_TIMEOUT,
        max_connections_per_transcriber: connections.max(MIN_CONNECTIONS_PER_TRANSCRIBER) as usize,
        idle_timeout: CLIENT_IDLE_TIMEOUT,
        max_body_bytes: usize::try_from(machine.memory_bytes / RESPONSE_MEMORY_DIVISOR).unwrap_or(usize::MAX),
    }
}
