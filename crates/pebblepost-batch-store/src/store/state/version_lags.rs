//! Version lags: how many weight versions behind the newest named one the jobs of each model allow.

use pebblepost_messages::feed::ModelVersion;
use std::collections::BTreeMap;

/// Weight version that transcribers serve before any version is named.
const INITIAL_VERSION: u64 = 1;

/// The newest named version of each model, and the lag that its last stored job allows.
#[derive(Debug, Default)]
pub(crate) struct VersionLags {
    newest: BTreeMap<String, u64>,
    allowed: BTreeMap<String, u64>,
}

impl VersionLags {
    /// Records a named version.
    pub(crate) fn record_named_version(&mut self, version: &ModelVersion) {
        let newest = self.newest.entry(version.model.clone()).or_default();
        *newest = (*newest).max(version.generation);
    }

    /// Records a stored job that allows `min_version` and newer versions. Returns the lag that it allows.
    pub(crate) fn record_job(&mut self, model: &str, min_version: u64) -> u64 {
        let newest = self.newest.get(model).copied().unwrap_or(INITIAL_VERSION);
        let lag = newest.saturating_sub(min_version.max(INITIAL_VERSION));
        self.allowed.insert(model.to_owned(), lag);
        lag
    }

    /// Iterates over the models with the lag that the last stored job of each allows.
    pub(crate) fn allowed(&self) -> impl Iterator<Item = (&str, u64)> {
        self.allowed.iter().map(|(model, lag)| (model.as_str(), *lag))
    }
}
