//! Reports of version lags to the control plane, which uses them to plan roll-outs.

use crate::store::Store;
use pebblepost_messages::control::ToControl;
use pebblepost_messages::feed::ModelVersion;

impl Store {
    /// Applies the newest weight versions of models from the feed of the control plane.
    pub fn apply_named_versions(&mut self, versions: &[ModelVersion]) {
        versions.iter().for_each(|version| self.version_lags.record_named_version(version));
    }

    /// Reports the version lag that a newly stored job allows. Jobs without a model are not reported.
    pub(crate) fn report_version_lag(&mut self, model: &str, min_version: u64) {
        if model.is_empty() {
            return;
        }
        let lag = self.version_lags.record_job(model, min_version);
        self.outbox.send_to_control(ToControl::VersionLag { model: model.to_owned(), lag });
    }

    /// Reports the last recorded lag of each model, for a new connection to the control plane.
    pub(crate) fn report_version_lags(&mut self) {
        for (model, lag) in self.version_lags.allowed() {
            let message = ToControl::VersionLag { model: model.to_owned(), lag };
            self.outbox.send_to_control(message);
        }
    }
}
