//! How many versions behind the newest named one the jobs of each model allow.
//!
//! The control plane plans roll-outs by it. The wire calls it slack.

use super::Store;
use pebblepost_messages::control::ToControl;
use pebblepost_messages::feed::ModelVersion;
use std::collections::BTreeMap;

/// The version that transcribers hold before any is named.
const FIRST_VERSION: u64 = 1;

/// Newest named versions, and the lag that the last job of each model allows.
#[derive(Debug, Default)]
pub(super) struct VersionLags {
    newest: BTreeMap<String, u64>,
    allowed: BTreeMap<String, u64>,
}

impl VersionLags {
    /// A version was named.
    fn name_version(&mut self, version: &ModelVersion) {
        let newest = self.newest.entry(version.model.clone()).or_default();
        *newest = (*newest).max(version.generation);
    }

    /// A job was stored that allows this version and newer ones; the versions behind that it allows.
    fn observe(&mut self, model: &str, min_version: u64) -> u64 {
        let newest = self.newest.get(model).copied().unwrap_or(FIRST_VERSION);
        let lag = newest.saturating_sub(min_version.max(FIRST_VERSION));
        self.allowed.insert(model.to_owned(), lag);
        lag
    }
}

impl Store {
    /// The feed of the control plane names the newest versions of models.
    pub fn name_versions(&mut self, versions: &[ModelVersion]) {
        versions.iter().for_each(|version| self.version_lags.name_version(version));
    }

    /// Reports the lag that a job allows which was just stored.
    pub(super) fn report_version_lag(&mut self, model: &str, min_version: u64) {
        if model.is_empty() {
            return;
        }
        let slack = self.version_lags.observe(model, min_version);
        self.outbox.send_to_control(ToControl::VersionSlack { model: model.to_owned(), slack });
    }

    /// Reports the newest lag of each model to a new primary of the control plane.
    pub(super) fn report_version_lags(&mut self) {
        for (model, slack) in &self.version_lags.allowed {
            let message = ToControl::VersionSlack { model: model.clone(), slack: *slack };
            self.outbox.send_to_control(message);
        }
    }
}
