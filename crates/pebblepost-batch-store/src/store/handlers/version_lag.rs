//! Reports of version lags to the control plane, which plans roll-outs by them. The wire calls a lag slack.

use crate::store::Store;
use pebblepost_messages::control::ToControl;
use pebblepost_messages::feed::ModelVersion;

impl Store {
    /// The feed of the control plane names the newest versions of models.
    pub fn name_versions(&mut self, versions: &[ModelVersion]) {
        versions.iter().for_each(|version| self.version_lags.name_version(version));
    }

    /// Reports the lag that a job allows which was just stored.
    pub(crate) fn report_version_lag(&mut self, model: &str, min_version: u64) {
        if model.is_empty() {
            return;
        }
        let slack = self.version_lags.observe(model, min_version);
        self.outbox.send_to_control(ToControl::VersionSlack { model: model.to_owned(), slack });
    }

    /// Reports the newest lag of each model to a new primary of the control plane.
    pub(crate) fn report_version_lags(&mut self) {
        for (model, slack) in self.version_lags.allowed() {
            let message = ToControl::VersionSlack { model: model.to_owned(), slack };
            self.outbox.send_to_control(message);
        }
    }
}
