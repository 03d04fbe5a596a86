//! How many versions behind the newest named one the batch jobs of a model allow transcribers to be.

use std::collections::{BTreeMap, VecDeque};

/// Number of the newest jobs of a model that count.
const OBSERVED_JOBS: usize = 4;
/// Limit on the lag: most versions that a transcriber skips in a row.
const MAX_LAG: u64 = 2;

/// The lags that the newest jobs of a model allow.
#[derive(Clone, Debug, Default)]
struct ObservedLags {
    newest: VecDeque<u64>,
}

impl ObservedLags {
    fn observe(&mut self, lag: u64) {
        if self.newest.len() == OBSERVED_JOBS {
            self.newest.pop_front();
        }
        self.newest.push_back(lag);
    }

    fn allowed(&self) -> u64 {
        self.newest.iter().copied().min().unwrap_or(0).min(MAX_LAG)
    }
}

/// Allowed lags by model.
#[derive(Debug, Default)]
pub(crate) struct VersionLags {
    by_model: BTreeMap<String, ObservedLags>,
}

impl VersionLags {
    /// A job of a model was accepted that allows this lag.
    pub(crate) fn observe(&mut self, model: &str, lag: u64) {
        self.by_model.entry(model.to_owned()).or_default().observe(lag);
    }

    /// The lag that each of the newest jobs of a model allows, in versions; 0 without any.
    pub(crate) fn allowed(&self, model: &str) -> u64 {
        self.by_model.get(model).map_or(0, ObservedLags::allowed)
    }
}
