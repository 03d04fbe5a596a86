//! Bound on the memory that bodies of requests take together.

use std::cell::Cell;
use std::rc::Rc;

/// Bytes that bodies may take, and take.
#[derive(Clone, Debug)]
pub(crate) struct MemoryBudget(Rc<Usage>);

#[derive(Debug)]
struct Usage {
    most: Cell<usize>,
    used: Cell<usize>,
}

impl MemoryBudget {
    /// A budget of so many bytes.
    pub(crate) fn new(most: usize) -> MemoryBudget {
        MemoryBudget(Rc::new(Usage { most: Cell::new(most), used: Cell::new(0) }))
    }

    /// Changes the budget; what is reserved stays reserved.
    pub(crate) fn set_most(&self, most: usize) {
        self.0.most.set(most);
    }

    /// An empty reservation, to be grown.
    pub(crate) fn reservation(&self) -> Reservation {
        Reservation { budget: self.clone(), bytes: 0 }
    }
}

/// Bytes of one body; given back when dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    budget: MemoryBudget,
    bytes: usize,
}

impl Reservation {
    /// Reserves so many bytes in all; false if the budget does not allow it.
    pub(crate) fn grow_to(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let usage = &self.budget.0;
        let used = usage.used.get().saturating_add(more);
        if used > usage.most.get() {
            return false;
        }
        usage.used.set(used);
        self.bytes += more;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let usage = &self.budget.0;
        usage.used.set(usage.used.get() - self.bytes);
    }
}
