//! Memory budget, which bounds the total size of the request bodies in memory.

use std::cell::Cell;
use std::rc::Rc;

/// Limit and current usage of memory for request bodies. Clones share the budget.
#[derive(Clone, Debug)]
pub(crate) struct MemoryBudget(Rc<Usage>);

#[derive(Debug)]
struct Usage {
    limit_bytes: Cell<usize>,
    reserved_bytes: Cell<usize>,
}

impl MemoryBudget {
    /// Creates a budget without reservations.
    pub(crate) fn new(limit_bytes: usize) -> MemoryBudget {
        let usage = Usage { limit_bytes: Cell::new(limit_bytes), reserved_bytes: Cell::new(0) };
        MemoryBudget(Rc::new(usage))
    }

    /// Changes the limit. Existing reservations are kept, even if they exceed the new limit.
    pub(crate) fn set_limit(&self, limit_bytes: usize) {
        self.0.limit_bytes.set(limit_bytes);
    }

    /// Creates a reservation of zero bytes, which can grow.
    pub(crate) fn empty_reservation(&self) -> MemoryReservation {
        MemoryReservation { budget: self.clone(), bytes: 0 }
    }
}

/// Memory reserved for one body. Dropping it returns the bytes to the budget.
#[derive(Debug)]
pub(crate) struct MemoryReservation {
    budget: MemoryBudget,
    bytes: usize,
}

impl MemoryReservation {
    /// Grows the reservation to `bytes` in total. Returns false, and reserves nothing more, if the budget
    /// does not allow it.
    pub(crate) fn grow_to(&mut self, bytes: usize) -> bool {
        let additional = bytes.saturating_sub(self.bytes);
        let usage = &self.budget.0;
        let reserved = usage.reserved_bytes.get().saturating_add(additional);
        if reserved > usage.limit_bytes.get() {
            return false;
        }
        usage.reserved_bytes.set(reserved);
        self.bytes += additional;
        true
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        let usage = &self.budget.0;
        usage.reserved_bytes.set(usage.reserved_bytes.get() - self.bytes);
    }
}
