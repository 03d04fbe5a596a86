//! Admission of batch jobs by the memory that they are estimated to take.
//!
//! Owns no state: the caller passes the bytes that are in use.

use crate::job::estimated_job_bytes;
use pebblepost_messages::batch::Job;

/// Share of the smaller of memory and disk that batch jobs may take, in percent.
const SHARE_PERCENT: u64 = 60;

/// Limit on the bytes that the batch jobs of one machine may take.
#[derive(Clone, Copy, Debug)]
pub struct MemoryBudget {
    max_bytes: u64,
}

impl MemoryBudget {
    /// The budget of a machine with this memory limit and this capacity of its on-disk ring, in bytes.
    pub fn new(memory_bytes: u64, ring_bytes: u64) -> MemoryBudget {
        MemoryBudget { max_bytes: memory_bytes.min(ring_bytes) / 100 * SHARE_PERCENT }
    }

    /// The limit in bytes.
    pub fn max_bytes(&self) -> u64 {
        self.max_bytes
    }

    /// Whether a job fits beside `used_bytes`, which count stored and proposed jobs.
    pub fn admits(&self, used_bytes: u64, job: &Job) -> bool {
        used_bytes.saturating_add(estimated_job_bytes(job)) <= self.max_bytes
    }
}
