//! Pacing of bulk data: many links of one process share its machine's network link.
//!
//! Without it, a message to hundreds of subscribers fills the queue of the machine's interface at once, and everything
//! else that the machine sends waits behind it, heartbeats first of all. The pacer is a token bucket in its virtual
//! scheduling form (the generic cell rate algorithm, ITU-T I.371): it keeps the time at which the link is free again.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Bytes of bulk data written at once, between two looks at the pacer.
pub(crate) const CHUNK_BYTES: usize = 16 * 1024;
/// A link with no more than this to write does not wait, so that heartbeats and redirects pass bulk data. It is counted.
pub(crate) const UNPACED_BYTES: usize = 1024;
/// How far the writers may be ahead of the rate: the longest queue that they cause at the interface.
const BURST: Duration = Duration::from_millis(20);

/// Limits the rate at which the links that share it write.
#[derive(Debug)]
pub struct Pacer {
    bytes_per_second: u64,
    /// When everything granted so far has left at the rate.
    free_at: Cell<Instant>,
}

impl Pacer {
    /// A pacer for this many bytes a second, at least one.
    pub fn new(bytes_per_second: u64) -> Pacer {
        Pacer { bytes_per_second: bytes_per_second.max(1), free_at: Cell::new(Instant::now()) }
    }

    /// Grants `bytes` in the order of the calls; they may be written from the returned time on.
    pub fn reserve(&self, now: Instant, bytes: usize) -> Instant {
        let earliest = now.checked_sub(BURST).unwrap_or(now);
        let start = self.free_at.get().max(earliest);
        self.free_at.set(start + self.duration_of(bytes));
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
    pub(crate) fn count(&self, bytes: usize) {
        self.reserve(Instant::now(), bytes);
    }

    fn duration_of(&self, bytes: usize) -> Duration {
        let nanoseconds =
            bytes as u128 * Duration::from_secs(1).as_nanos() / u128::from(self.bytes_per_second);
        Duration::from_nanos(u64::try_from(nanoseconds).unwrap_or(u64::MAX))
    }
}
