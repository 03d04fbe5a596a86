//! The time-out and the backoff of requests to the fleet store.

use rand::RngExt;
use std::time::Duration;

/// Time limit for the response of a replica.
pub(super) const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// Base of the backoff before a watch or a join is retried. It is doubled with each consecutive failure and multiplied by a
/// random factor of 0.5 to 1, so that the members of a fleet that lost its replicas do not all reconnect at the same time.
const BACKOFF_BASE: Duration = Duration::from_millis(100);
/// Limit of the backoff before the random factor is applied.
const MAX_BACKOFF: Duration = Duration::from_secs(3);
/// Number of consecutive failures after which the backoff is not doubled any more.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

/// Returns the backoff before the next attempt after this many consecutive failures.
pub(super) fn backoff(consecutive_failures: u32) -> Duration {
    let doubled = BACKOFF_BASE * (1 << consecutive_failures.min(MAX_BACKOFF_DOUBLINGS));
    doubled.min(MAX_BACKOFF).mul_f64(rand::rng().random_range(0.5..1.0))
}
