//! The number of versions by which transcribers may lag behind the newest named version of a model.
//!
//! Each batch job states the lag that it allows. The strictest of the newest jobs of a model decides.

use std::collections::{BTreeMap, VecDeque};

/// Number of the newest jobs of a model whose allowed lags are taken into account.
const OBSERVED_JOBS_PER_MODEL: usize = 4;
/// Upper bound on the allowed lag, whatever the jobs allow: a transcriber skips at most this many versions in a row.
const MAX_ALLOWED_LAG_VERSIONS: u64 = 2;

/// The lags that the newest jobs of one model allow.
#[derive(Clone, Debug, Default)]
struct ObservedLags {
    newest: VecDeque<u64>,
}

impl ObservedLags {
    fn observe(&mut self, lag: u64) {
        if self.newest.len() == OBSERVED_JOBS_PER_MODEL {
            self.newest.pop_front();
        }
        self.newest.push_back(lag);
    }

    fn allowed(&self) -> u64 {
        self.newest.iter().copied().min().unwrap_or(0).min(MAX_ALLOWED_LAG_VERSIONS)
    }
}

/// Allowed version lags by model.
#[derive(Debug, Default)]
pub(crate) struct VersionLags {
    by_model: BTreeMap<String, ObservedLags>,
}

impl VersionLags {
    /// Records the lag that an accepted job of a model allows.
    pub(crate) fn observe(&mut self, model: &str, lag: u64) {
        self.by_model.entry(model.to_owned()).or_default().observe(lag);
    }

    /// Returns the lag, in versions, that all of the newest jobs of a model allow, or 0 if no job was observed.
    pub(crate) fn allowed(&self, model: &str) -> u64 {
        self.by_model.get(model).map_or(0, ObservedLags::allowed)
    }
}
