//! Time-out and backoff of requests to the fleet store.

use rand::RngExt;
use std::time::Duration;

/// How long a response of a replica is waited for.
pub(super) const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// Backoff before a watch or a join is retried: doubled with each failure in a row and drawn anew, so that a fleet that lost
/// its replicas does not return in one moment.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(3);
/// After this many failures the backoff is not doubled any more.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

/// The backoff before the next attempt, after this many failures in a row.
pub(super) fn backoff(failures: u32) -> Duration {
    let doubled = MIN_BACKOFF * (1 << failures.min(MAX_BACKOFF_DOUBLINGS));
    doubled.min(MAX_BACKOFF).mul_f64(rand::rng().random_range(0.5..1.0))
}
