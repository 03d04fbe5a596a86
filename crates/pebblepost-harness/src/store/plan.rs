//! What a trial of the agreed store is asked to consist of.

use crate::fault::schedule::{Schedule, ScheduleParameters};

/// A trial of the agreed store.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Replicas.
    pub replicas: usize,
    /// Clients that work at the same time.
    pub clients: usize,
    /// Seconds of work under faults.
    pub seconds: f64,
    /// The seed.
    pub seed: u64,
    /// Pause between two operations of a client, in milliseconds.
    pub pause_ms: u64,
    /// Dispatchers that follow the store while they serve requests; 0: none.
    pub dispatchers: usize,
}

impl Plan {
    /// The faults of the replicas.
    pub fn schedule(&self) -> Schedule {
        let parameters = ScheduleParameters {
            processes: self.replicas,
            seconds: self.seconds,
            mean_interval_s: 0.85,
            longest_s: 2.0,
        };
        Schedule::draw(parameters, self.seed)
    }
}
