//! The newest named version of each model, which is the target of its roll-out.

use std::collections::BTreeMap;
use std::time::Duration;

/// The newest named version of one model.
#[derive(Clone, Debug)]
pub(crate) struct NamedVersion {
    /// The weight version.
    pub(crate) generation: u64,
    /// Whether each text must be generated under a single version.
    pub(crate) single_version: bool,
    /// Time at which the version was named.
    pub(crate) named_at: Duration,
}

/// The newest named versions by model.
#[derive(Debug, Default)]
pub(crate) struct NamedVersions {
    by_model: BTreeMap<String, NamedVersion>,
}

impl NamedVersions {
    /// Records a named version. For the version that is already the newest, only `single_version` is updated.
    ///
    /// Returns `false`, without an effect, if a newer version of the model is known.
    pub(crate) fn insert(
        &mut self, now: Duration, model: &str, generation: u64, single_version: bool,
    ) -> bool {
        match self.by_model.get_mut(model) {
            Some(named) if named.generation > generation => return false,
            Some(named) if named.generation == generation => named.single_version = single_version,
            _ => {
                let named = NamedVersion { generation, single_version, named_at: now };
                self.by_model.insert(model.to_owned(), named);
            }
        }
        true
    }

    pub(crate) fn get(&self, model: &str) -> Option<&NamedVersion> {
        self.by_model.get(model)
    }

    /// Returns the newest named version of a model if it is newer than the loaded one.
    pub(crate) fn newer_than(&self, model: &str, loaded: u64) -> Option<&NamedVersion> {
        self.get(model).filter(|newest| newest.generation > loaded)
    }
}
