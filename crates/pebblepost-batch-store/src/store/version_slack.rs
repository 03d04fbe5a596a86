//! How far behind the newest named version of its model a job may be, as observed when it was taken.

use super::Store;
use pebblepost_messages::control::ToControl;
use pebblepost_messages::feed::ModelVersion;
use std::collections::BTreeMap;

/// The version that transcribers have before any is named.
const FIRST_VERSION: u64 = 1;

/// Named versions, and what the last job of each model allowed.
#[derive(Debug, Default)]
pub(super) struct VersionSlack {
    named: BTreeMap<String, u64>,
    last: BTreeMap<String, u64>,
}

impl VersionSlack {
    /// A job of a model was taken that allows this version and newer ones.
    fn observe(&mut self, model: &str, min_version: u64) -> u64 {
        let named = self.named.get(model).copied().unwrap_or(FIRST_VERSION);
        let slack = named.saturating_sub(min_version.max(FIRST_VERSION));
        self.last.insert(model.to_owned(), slack);
        slack
    }
}

impl Store {
    /// The feed says which versions are named.
    pub fn name_versions(&mut self, versions: &[ModelVersion]) {
        for version in versions {
            let named = self.versions.named.entry(version.model.clone()).or_default();
            *named = (*named).max(version.generation);
        }
    }

    /// Tells the control plane how old the versions may be that a job just taken wants.
    pub(super) fn observe_version_slack(&mut self, model: &str, min_version: u64) {
        if model.is_empty() {
            return;
        }
        let slack = self.versions.observe(model, min_version);
        self.outbox.send_to_control(ToControl::VersionSlack { model: model.to_owned(), slack });
    }

    /// Tells a new primary of the control plane what was observed last.
    pub(super) fn repeat_version_slack(&mut self) {
        for (model, slack) in &self.versions.last {
            let message = ToControl::VersionSlack { model: model.clone(), slack: *slack };
            self.outbox.send_to_control(message);
        }
    }
}
