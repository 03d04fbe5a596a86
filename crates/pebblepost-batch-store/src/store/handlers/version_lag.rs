//! Reports of version lags to the control plane, which plans roll-outs by them.

use crate::store::Store;
use pebblepost_messages::control::ToControl;
use pebblepost_messages::feed::ModelVersion;

impl Store {
    /// The feed of the control plane names the newest versions of models.
    pub fn apply_named_versions(&mut self, versions: &[ModelVersion]) {
        versions.iter().for_each(|version| self.version_lags.name_version(version));
    }

    /// Reports the lag that a job allows which was just stored.
    pub(crate) fn report_version_lag(&mut self, model: &str, min_version: u64) {
        if model.is_empty() {
            return;
        }
        let lag = self.version_lags.observe(model, min_version);
        self.outbox.send_to_control(ToControl::VersionLag { model: model.to_owned(), lag });
    }

    /// Reports the newest lag of each model to a new primary of the control plane.
    pub(crate) fn report_version_lags(&mut self) {
        for (model, lag) in self.version_lags.allowed() {
            let message = ToControl::VersionLag { model: model.to_owned(), lag };
            self.outbox.send_to_control(message);
        }
    }
}
