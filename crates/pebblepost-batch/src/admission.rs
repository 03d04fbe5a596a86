//! Whether there is room for another batch job.

use crate::job::job_bytes;
use pebblepost_messages::batch::Job;

/// Share of a limit that batch jobs may take, in hundredths.
const SHARE_PERCENT: u64 = 60;

/// Bytes that batch jobs may take on one machine.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    most_bytes: u64,
}

impl Budget {
    /// The budget of a machine with so much memory and a ring of so many bytes on disk.
    pub fn new(memory_bytes: u64, ring_bytes: u64) -> Budget {
        Budget { most_bytes: memory_bytes.min(ring_bytes) / 100 * SHARE_PERCENT }
    }

    /// Bytes that may be taken in all.
    pub fn most_bytes(&self) -> u64 {
        self.most_bytes
    }

    /// Whether a job fits beside what is held already (and what is under way).
    pub fn has_room_for(&self, held_bytes: u64, job: &Job) -> bool {
        held_bytes.saturating_add(job_bytes(job)) <= self.most_bytes
    }
}
