//! Memory budget, which bounds the total size of what is reserved from it.

use std::cell::Cell;
use std::error::Error;
use std::fmt;
use std::rc::Rc;

/// The budget does not allow a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutOfMemory {
    /// Bytes of the reservation that was refused.
    pub wanted_bytes: usize,
}

impl fmt::Display for OutOfMemory {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "memory budget does not allow {} bytes", self.wanted_bytes)
    }
}

impl Error for OutOfMemory {}

/// Limit and current usage of memory. Clones share the budget.
#[derive(Clone, Debug)]
pub struct MemoryBudget(Rc<Usage>);

#[derive(Debug)]
struct Usage {
    limit_bytes: Cell<usize>,
    reserved_bytes: Cell<usize>,
}

impl MemoryBudget {
    /// Creates a budget without reservations.
    pub fn new(limit_bytes: usize) -> MemoryBudget {
        let usage = Usage { limit_bytes: Cell::new(limit_bytes), reserved_bytes: Cell::new(0) };
        MemoryBudget(Rc::new(usage))
    }

    /// Changes the limit. Existing reservations are kept, even if they exceed the new limit.
    pub fn set_limit(&self, limit_bytes: usize) {
        self.0.limit_bytes.set(limit_bytes);
    }

    /// Returns the bytes that are reserved at present.
    pub fn reserved_bytes(&self) -> usize {
        self.0.reserved_bytes.get()
    }

    /// Creates a reservation of zero bytes, which can grow.
    pub fn empty_reservation(&self) -> MemoryReservation {
        MemoryReservation { budget: self.clone(), bytes: 0 }
    }

    /// Reserves bytes.
    ///
    /// # Errors
    /// The budget does not allow them.
    pub fn reserve(&self, bytes: usize) -> Result<MemoryReservation, OutOfMemory> {
        let mut reservation = self.empty_reservation();
        reservation.resize_to(bytes)?;
        Ok(reservation)
    }
}

/// Reserved memory. Dropping it returns the bytes to the budget.
#[derive(Debug)]
pub struct MemoryReservation {
    budget: MemoryBudget,
    bytes: usize,
}

impl MemoryReservation {
    /// Returns the reserved bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Grows the reservation to `bytes` in total. A larger reservation stays as it is.
    ///
    /// # Errors
    /// The budget does not allow it. The reservation is then unchanged.
    pub fn grow_to(&mut self, bytes: usize) -> Result<(), OutOfMemory> {
        self.resize_to(bytes.max(self.bytes))
    }

    /// Grows or shrinks the reservation to `bytes` in total.
    ///
    /// # Errors
    /// The budget does not allow it. The reservation is then unchanged. Shrinking does not fail.
    pub fn resize_to(&mut self, bytes: usize) -> Result<(), OutOfMemory> {
        let usage = &self.budget.0;
        let others_bytes = usage.reserved_bytes.get() - self.bytes;
        let reserved_bytes = others_bytes.saturating_add(bytes);
        if bytes > self.bytes && reserved_bytes > usage.limit_bytes.get() {
            return Err(OutOfMemory { wanted_bytes: bytes });
        }
        usage.reserved_bytes.set(reserved_bytes);
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        let usage = &self.budget.0;
        usage.reserved_bytes.set(usage.reserved_bytes.get() - self.bytes);
    }
}
