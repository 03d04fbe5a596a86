//! Pacing of bulk data on the links of a process that share the machine's network interface.
//!
//! Without pacing, a message to hundreds of subscribers fills the interface's queue at once and delays everything
//! else that the machine sends, such as heartbeats. The pacer is a token bucket in its virtual scheduling form (the
//! generic cell rate algorithm, ITU-T I.371): it stores the time at which the interface is free again.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Maximum number of bytes written between two reservations.
pub(crate) const MAX_PACED_CHUNK_BYTES: usize = 16 * 1024;
/// A link with at most this many queued bytes does not wait for the pacer, so that heartbeats and redirects are not
/// delayed by bulk data of other links. Its bytes still count toward the rate.
pub(crate) const MAX_UNPACED_BYTES: usize = 1024;
/// Maximum time by which writers may be ahead of the rate. It bounds the queue that they cause at the interface.
const MAX_BURST: Duration = Duration::from_millis(20);

/// Limits the total write rate of the links that share it.
#[derive(Debug)]
pub struct Pacer {
    bytes_per_second: u64,
    /// Time at which all bytes granted so far have been sent at the rate.
    free_at: Cell<Instant>,
}

impl Pacer {
    /// Creates a pacer for this many bytes per second; 0 is taken as 1.
    pub fn new(bytes_per_second: u64) -> Pacer {
        Pacer { bytes_per_second: bytes_per_second.max(1), free_at: Cell::new(Instant::now()) }
    }

    /// Reserves `bytes` after all earlier reservations and returns the time from which they may be written, which may
    /// lie before `now`.
    pub fn reserve(&self, now: Instant, bytes: usize) -> Instant {
        let earliest = now.checked_sub(MAX_BURST).unwrap_or(now);
        let start = self.free_at.get().max(earliest);
        self.free_at.set(start + self.transmission_time(bytes));
        start
    }

    /// Waits until `bytes` may be written.
    pub(crate) async fn wait(&self, bytes: usize) {
        let now = Instant::now();
        let start = self.reserve(now, bytes);
        if start > now {
            sleep_until(start).await;
        }
    }

    /// Counts bytes that are written without waiting.
    pub(crate) fn count_unpaced(&self, bytes: usize) {
        self.reserve(Instant::now(), bytes);
    }

    fn transmission_time(&self, bytes: usize) -> Duration {
        let nanoseconds =
            bytes as u128 * Duration::from_secs(1).as_nanos() / u128::from(self.bytes_per_second);
        Duration::from_nanos(u64::try_from(nanoseconds).unwrap_or(u64::MAX))
    }
}
