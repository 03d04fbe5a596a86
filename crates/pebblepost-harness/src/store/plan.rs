//! Parameters of a trial of the replicated store.

use crate::fault::schedule::{Schedule, ScheduleParameters};

/// Parameters of a trial of the replicated store.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Number of replicas.
    pub replicas: usize,
    /// Number of concurrent clients.
    pub clients: usize,
    /// Duration of the load under faults, in seconds.
    pub seconds: f64,
    /// Seed of all random draws.
    pub seed: u64,
    /// Pause between two operations of a client, in milliseconds.
    pub pause_ms: u64,
    /// Number of dispatchers that follow the store while they serve requests; 0 for none.
    pub dispatchers: usize,
}

impl Plan {
    /// Draws the faults of the replicas.
    pub fn schedule(&self) -> Schedule {
        let parameters = ScheduleParameters {
            processes: self.replicas,
            duration_s: self.seconds,
            mean_interval_s: 0.85,
            max_fault_duration_s: 2.0,
        };
        Schedule::draw(parameters, self.seed)
    }
}
