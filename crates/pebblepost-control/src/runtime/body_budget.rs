//! Memory that the bodies of all requests may take together: a configuration may have 32 MiB, and a process that exceeds
//! its memory is ended.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The budget.
#[derive(Debug)]
pub struct BodyBudget {
    max_bytes: usize,
    used_bytes: AtomicUsize,
}

impl BodyBudget {
    /// A budget of this many bytes.
    pub fn new(max_bytes: usize) -> Arc<BodyBudget> {
        Arc::new(BodyBudget { max_bytes, used_bytes: AtomicUsize::new(0) })
    }

    /// Bytes in use.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes.load(Ordering::Relaxed)
    }
}

/// What one request takes of the budget, until it is answered.
#[derive(Debug)]
pub struct BodyReservation {
    budget: Arc<BodyBudget>,
    bytes: usize,
}

impl BodyReservation {
    /// A reservation of nothing yet.
    pub fn new(budget: &Arc<BodyBudget>) -> BodyReservation {
        BodyReservation { budget: Arc::clone(budget), bytes: 0 }
    }

    /// Takes more of the budget; whether there is as much.
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
