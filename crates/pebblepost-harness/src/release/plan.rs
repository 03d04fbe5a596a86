//! Parameters of a release trial.

use crate::fault::schedule::{Schedule, ScheduleParameters};
use crate::workload::spec::RunSpec;
use serde::Serialize;

/// Version that all dispatchers start with.
pub(super) const INITIAL_VERSION: &str = "v0";

/// How dispatchers are brought to a new version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, clap::ValueEnum)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Under permits and a disruption budget.
    Permits,
    /// All at once, by SIGTERM.
    AtOnce,
    /// Not at all: the same faults without releases.
    None,
}

/// Parameters of a release trial.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Number of dispatchers.
    pub dispatchers: usize,
    /// Number of simulated workers.
    pub workers: usize,
    /// Number of replicas of the replicated store.
    pub replicas: usize,
    /// Maximum number of dispatchers that may be out at once.
    pub budget: DisruptionBudget,
    /// Maximum number of workers that may be out at once. The number of maintenance crews is one higher, so that
    /// crews compete for permits.
    pub worker_budget: u32,
    /// Seconds for which a driver observes a wave after its dispatchers are ready again.
    pub watch_s: f64,
    /// Duration of the faults and releases, in seconds.
    pub seconds: f64,
    /// Seed of all random draws.
    pub seed: u64,
    /// Whether faults are injected.
    pub faults: bool,
    /// How releases are made.
    pub mode: Mode,
}

/// Disruption budget: the maximum number of dispatchers that may be out at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DisruptionBudget {
    /// Limit for the whole fleet.
    pub total: u32,
    /// Limit for each zone.
    pub per_zone: u32,
}

impl Plan {
    /// Draws the faults of the store's replicas. The schedule is empty if the plan has no faults.
    pub fn schedule(&self) -> Schedule {
        if !self.faults {
            return Schedule::default();
        }
        let parameters = ScheduleParameters {
            processes: self.replicas,
            duration_s: self.seconds,
            mean_interval_s: 1.5,
            max_fault_duration_s: 2.5,
        };
        Schedule::draw(parameters, self.seed)
    }

    /// Specifies the dispatchers, workers and clients of the trial.
    pub fn run_spec(&self) -> RunSpec {
        RunSpec {
            dispatchers: self.dispatchers,
            workers: self.workers,
            fault_rate: 0.0,
            ..RunSpec::mixed(self.seconds + 15.0, 0.5)
        }
    }
}
