//! Limits of memory and connections that follow from the machine's settings.

use pebblepost_settings::MachineLimits;
use pebblepost_transcriber::ClientLimits;
use std::time::Duration;

/// Time for a connection to a transcriber to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle connections to transcribers are closed after this time.
const CLIENT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Request bodies may take one part in this many of the memory together.
const REQUEST_BODIES_MEMORY_DIVISOR: u64 = 4;
/// One response of a transcriber may take one part in this many of the memory.
const RESPONSE_MEMORY_DIVISOR: u64 = 8;
/// Fewest connections to one transcriber.
const MIN_CONNECTIONS_PER_TRANSCRIBER: u32 = 2;
/// Connections to one transcriber while no configuration says how many it takes.
pub(crate) const DEFAULT_CONNECTIONS_PER_TRANSCRIBER: u32 = 16;

/// Bytes that request bodies may take together.
pub(crate) fn request_body_budget_bytes(machine: &MachineLimits) -> usize {
    usize::try_from(machine.memory_bytes / REQUEST_BODIES_MEMORY_DIVISOR).unwrap_or(usize::MAX)
}

/// Limits of the client that reaches transcribers. `connections`: most to one transcriber.
pub(crate) fn client_limits(machine: &MachineLimits, connections: u32) -> ClientLimits {
    ClientLimits {
        connect_timeout: CONNECT_TIMEOUT,
        max_connections_per_transcriber: connections.max(MIN_CONNECTIONS_PER_TRANSCRIBER) as usize,
        idle_timeout: CLIENT_IDLE_TIMEOUT,
        max_body_bytes: usize::try_from(machine.memory_bytes / RESPONSE_MEMORY_DIVISOR).unwrap_or(usize::MAX),
    }
}
