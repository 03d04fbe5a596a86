//! The newest version of each model that the configuration names.

use std::collections::BTreeMap;
use std::time::Duration;

/// The newest named version of a model.
#[derive(Clone, Debug)]
pub(crate) struct NamedVersion {
    /// The version.
    pub(crate) generation: u64,
    /// Whether a text must be made under a single version.
    pub(crate) single_version: bool,
    /// When it was named.
    pub(crate) named_at: Duration,
}

/// Newest named versions by model.
#[derive(Debug, Default)]
pub(crate) struct NamedVersions {
    by_model: BTreeMap<String, NamedVersion>,
}

impl NamedVersions {
    /// Names a version, or changes whether texts must be made under a single one; whether it is the newest.
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

    /// The newest named version, if it is newer than the one loaded.
    pub(crate) fn newer_than(&self, model: &str, loaded: u64) -> Option<&NamedVersion> {
        self.get(model).filter(|newest| newest.generation > loaded)
    }
}
