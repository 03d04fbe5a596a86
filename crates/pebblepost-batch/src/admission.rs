//! Admission of batch jobs by their estimated memory.
//!
//! The module holds no state: the caller passes the number of bytes in use.

/// Maximum share of the memory limit or the ring's capacity, whichever is smaller, that batch jobs may
/// use, in percent.
const MAX_CAPACITY_PERCENT: u64 = 60;

/// The limit on the estimated memory of the batch jobs on one machine.
#[derive(Clone, Copy, Debug)]
pub struct MemoryBudget {
    max_bytes: u64,
}

impl MemoryBudget {
    /// Derives the budget from a machine's memory limit and the capacity of its on-disk ring, both in
    /// bytes.
    pub fn new(memory_bytes: u64, ring_bytes: u64) -> MemoryBudget {
        MemoryBudget { max_bytes: memory_bytes.min(ring_bytes) / 100 * MAX_CAPACITY_PERCENT }
    }

    /// Returns the limit in bytes.
    pub fn max_bytes(&self) -> u64 {
        self.max_bytes
    }

    /// Returns whether a job with this estimated memory fits into the budget.
    ///
    /// `used_bytes` is the estimated memory of the stored jobs and of those proposed but not committed.
    pub fn admits(&self, used_bytes: u64, job_bytes: u64) -> bool {
        used_bytes.saturating_add(job_bytes) <= self.max_bytes
    }
}
