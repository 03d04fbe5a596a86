//! What a release trial is asked to consist of.

use crate::fault::schedule::{Schedule, ScheduleParameters};
use crate::workload::spec::RunSpec;
use serde::Serialize;

/// The version that all dispatchers begin with.
pub(super) const INITIAL_VERSION: &str = "v0";

/// How dispatchers are brought to a new version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, clap::ValueEnum)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// By permits, under a budget.
    Permits,
    /// All at once, by SIGTERM.
    AtOnce,
    /// Not at all: the same faults and no release.
    None,
}

/// A release trial.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Dispatchers.
    pub dispatchers: usize,
    /// Simulated workers.
    pub workers: usize,
    /// Replicas of the agreed store.
    pub replicas: usize,
    /// Most dispatchers out at once.
    pub budget: DisruptionBudget,
    /// Most workers out at once; one maintenance crew more switches them off and on.
    pub worker_budget: u32,
    /// Seconds for which a driver observes a wave that is back.
    pub watch_s: f64,
    /// Seconds of faults and releases.
    pub seconds: f64,
    /// The seed.
    pub seed: u64,
    /// Whether faults are injected.
    pub faults: bool,
    /// How releases are made.
    pub mode: Mode,
}

/// Most dispatchers that may be out at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DisruptionBudget {
    /// In all.
    pub total: u32,
    /// In each zone.
    pub per_zone: u32,
}

impl Plan {
    /// The faults of the store's replicas; none if the plan asks for none.
    pub fn schedule(&self) -> Schedule {
        if !self.faults {
            return Schedule::default();
        }
        let parameters = ScheduleParameters {
            processes: self.replicas,
            seconds: self.seconds,
            mean_interval_s: 1.5,
            longest_s: 2.5,
        };
        Schedule::draw(parameters, self.seed)
    }

    /// The dispatchers, workers and clients of the trial.
    pub fn run_spec(&self) -> RunSpec {
        RunSpec {
            dispatchers: self.dispatchers,
            workers: self.workers,
            fault_rate: 0.0,
            ..RunSpec::mixed(self.seconds + 15.0, 0.5)
        }
    }
}
