//! How many versions behind the newest named one the jobs of each model allow.

use pebblepost_messages::feed::ModelVersion;
use std::collections::BTreeMap;

/// The version that transcribers hold before any is named.
const FIRST_VERSION: u64 = 1;

/// Newest named versions, and the lag that the last job of each model allows.
#[derive(Debug, Default)]
pub(crate) struct VersionLags {
    newest: BTreeMap<String, u64>,
    allowed: BTreeMap<String, u64>,
}

impl VersionLags {
    /// A version was named.
    pub(crate) fn name_version(&mut self, version: &ModelVersion) {
        let newest = self.newest.entry(version.model.clone()).or_default();
        *newest = (*newest).max(version.generation);
    }

    /// A job was stored that allows this version and newer ones; the versions behind that it allows.
    pub(crate) fn observe(&mut self, model: &str, min_version: u64) -> u64 {
        let newest = self.newest.get(model).copied().unwrap_or(FIRST_VERSION);
        let lag = newest.saturating_sub(min_version.max(FIRST_VERSION));
        self.allowed.insert(model.to_owned(), lag);
        lag
    }

    /// The lag that the newest job of each model allows, by model.
    pub(crate) fn allowed(&self) -> impl Iterator<Item = (&str, u64)> {
        self.allowed.iter().map(|(model, lag)| (model.as_str(), *lag))
    }
}
