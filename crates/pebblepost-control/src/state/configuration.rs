//! The replicated configuration: its current version and the history of changes.

use super::change_history::{ChangeHistory, ChangeLookup};
use super::command::{ChangeError, ChangeMethod, ConfigurationChange, Outcome};
use pebblepost_configuration::Configuration;
use std::sync::Arc;

/// The patch that produced the current version. It is kept so that subscribers can be sent the patch alone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LastPatch {
    /// Version that the patch is based on.
    pub base: u64,
    /// Version that the patch produced.
    pub generation: u64,
    /// The patch, JSON.
    pub patch: Vec<u8>,
}

/// The current configuration and the history of changes.
#[derive(Clone, Debug, Default)]
pub(super) struct ConfigurationState {
    current: Option<Arc<Configuration>>,
    history: ChangeHistory,
    /// Not part of the snapshot. While it is absent, subscribers are sent the complete document.
    last_patch: Option<LastPatch>,
}

impl ConfigurationState {
    pub(super) fn new(current: Option<Configuration>, history: ChangeHistory) -> ConfigurationState {
        ConfigurationState { current: current.map(Arc::new), history, last_patch: None }
    }

    pub(super) fn current(&self) -> Option<&Arc<Configuration>> {
        self.current.as_ref()
    }

    /// Returns the version of the configuration, 0 for none.
    pub(super) fn generation(&self) -> u64 {
        self.current.as_ref().map_or(0, |configuration| configuration.generation())
    }

    pub(super) fn history(&self) -> &ChangeHistory {
        &self.history
    }

    pub(super) fn last_patch(&self) -> Option<&LastPatch> {
        self.last_patch.as_ref()
    }

    /// Returns the configuration that `change` would produce.
    pub(super) fn validate(&self, change: &ConfigurationChange) -> Result<Configuration, ChangeError> {
        let current = self.generation();
        if change.base != current {
            return Err(self.base_error(change));
        }
        let configuration = match (change.method, &self.current) {
            (ChangeMethod::Replace, _) => Configuration::parse(&change.body)?,
            (ChangeMethod::Patch, Some(configuration)) => configuration.patched(&change.body)?,
            (ChangeMethod::Patch, None) => return Err(ChangeError::NothingToPatch),
        };
        let generation = configuration.generation();
        if generation <= current {
            return Err(ChangeError::StaleGeneration { generation, current });
        }
        Ok(configuration)
    }

    /// Returns why a change that is not based on the current version is rejected.
    fn base_error(&self, change: &ConfigurationChange) -> ChangeError {
        match self.history.lookup(change) {
            ChangeLookup::Evicted => ChangeError::HistoryEvicted { base: change.base },
            ChangeLookup::Accepted { .. } | ChangeLookup::NotAccepted => {
                ChangeError::VersionMismatch { current: self.generation() }
            }
        }
    }

    /// Applies a change. The retry of an accepted change has the same outcome and no further effect.
    pub(super) fn apply(&mut self, change: ConfigurationChange) -> Outcome {
        if let ChangeLookup::Accepted { generation } = self.history.lookup(&change) {
            return Outcome::ConfigurationAccepted { generation };
        }
        let configuration = match self.validate(&change) {
            Ok(configuration) => configuration,
            Err(error) => return Outcome::ConfigurationRejected(error),
        };
        let generation = configuration.generation();
        self.history.record(&change, generation);
        self.last_patch = match change.method {
            ChangeMethod::Replace => None,
            ChangeMethod::Patch => Some(LastPatch { base: change.base, generation, patch: change.body }),
        };
        self.current = Some(Arc::new(configuration));
        Outcome::ConfigurationAccepted { generation }
    }
}
