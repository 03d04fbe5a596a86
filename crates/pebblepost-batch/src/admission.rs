//! Admission of batch jobs by their estimated memory.
//!
//! The module holds no state: the caller passes the number of bytes in use.

/// Maximum share of the memory limit or the ring's capacity, whichever is smaller, that batch jobs may
/// use, in percent.
const MAX_CAPACITY_PERCENT: u64 = 60;

/// Maximum share of the memory limit that jobs may use while they are being accepted, in percent. Until a job is stored,
/// its messages, log entry and records are in memory besides its state: about as much again as its estimate.
const MAX_ACCEPTING_PERCENT: u64 = 100 - MAX_CAPACITY_PERCENT;

/// The limits on the estimated memory of the batch jobs on one machine.
#[derive(Clone, Copy, Debug)]
pub struct MemoryBudget {
    max_bytes: u64,
    max_accepting_bytes: u64,
}

/// Estimated memory of the jobs on one machine, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryUse {
    /// Jobs in the state.
    pub stored_bytes: u64,
    /// Jobs that are proposed, or for which memory is reserved.
    pub accepting_bytes: u64,
}

impl MemoryUse {
    /// Returns the sum.
    pub fn total_bytes(self) -> u64 {
        self.stored_bytes.saturating_add(self.accepting_bytes)
    }
}

impl MemoryBudget {
    /// Derives the budget from a machine's memory limit and the capacity of its on-disk ring, both in
    /// bytes.
    pub fn new(memory_bytes: u64, ring_bytes: u64) -> MemoryBudget {
        MemoryBudget {
            max_bytes: memory_bytes.min(ring_bytes) / 100 * MAX_CAPACITY_PERCENT,
            max_accepting_bytes: memory_bytes / 100 * MAX_ACCEPTING_PERCENT,
        }
    }

    /// Returns the limit in bytes.
    pub fn max_bytes(&self) -> u64 {
        self.max_bytes
    }

    /// Returns whether a job with this estimated memory fits into the budget. Of jobs that are accepted at the same time
    /// one may exceed the share for them by itself.
    pub fn admits(&self, used: MemoryUse, job_bytes: u64) -> bool {
        let accepting_bytes = used.accepting_bytes.saturating_add(job_bytes);
        let can_accept = used.accepting_bytes == 0 || accepting_bytes <= self.max_accepting_bytes;
        can_accept && used.total_bytes().saturating_add(job_bytes) <= self.max_bytes
    }
}
