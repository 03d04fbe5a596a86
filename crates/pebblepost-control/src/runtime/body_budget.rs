//! Limit on the memory that the bodies of all HTTP requests use together. A configuration may have 32 MiB, and the
//! system kills a process that exceeds its memory limit.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Memory budget shared by all requests.
#[derive(Debug)]
pub struct BodyBudget {
    max_bytes: usize,
    used_bytes: AtomicUsize,
}

impl BodyBudget {
    /// Creates a budget of `max_bytes`.
    pub fn new(max_bytes: usize) -> Arc<BodyBudget> {
        Arc::new(BodyBudget { max_bytes, used_bytes: AtomicUsize::new(0) })
    }

    /// Returns the number of reserved bytes.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes.load(Ordering::Relaxed)
    }
}

/// Share of the budget that one request has reserved. It is released when this value is dropped.
#[derive(Debug)]
pub struct BodyReservation {
    budget: Arc<BodyBudget>,
    bytes: usize,
}

impl BodyReservation {
    /// Creates an empty reservation.
    pub fn new(budget: &Arc<BodyBudget>) -> BodyReservation {
        BodyReservation { budget: Arc::clone(budget), bytes: 0 }
    }

    /// Reserves `bytes` more, and returns whether the budget suffices. The bytes are reserved in either case, until
    /// this reservation is dropped.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let used = self.budget.used_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        self.bytes += bytes;
        used <= self.budget.max_bytes
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.budget.used_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
