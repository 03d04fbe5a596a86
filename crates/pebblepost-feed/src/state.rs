//! The state of the data plane and the rules by which updates change it.

use crate::changes::FeedChanges;
use crate::compression::{self, DecompressError};
use crate::instance_table::InstanceTable;
use pebblepost_configuration::{Configuration, ConfigurationError};
use pebblepost_messages::feed::{ConfigurationUpdate, FeedUpdate, Instance, ModelVersion, StoreGroup};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Weight version of a model for which no version was named.
const INITIAL_WEIGHT_VERSION: u64 = 1;

/// State of the data plane after the updates applied so far.
#[derive(Clone, Debug, Default)]
pub struct FeedState {
    configuration: Option<Arc<Configuration>>,
    instances: InstanceTable,
    instances_complete: bool,
    store_groups: BTreeMap<u32, StoreGroup>,
    named_versions: BTreeMap<String, u64>,
    proxy_count: u32,
}

/// Why a newer configuration was not applied.
#[derive(Debug, thiserror::Error)]
enum ConfigurationUpdateError {
    /// The update is a patch for another generation than the current one.
    #[error("the patch applies to another generation than the current one")]
    BaseMismatch,
    #[error(transparent)]
    Decompress(#[from] DecompressError),
    #[error(transparent)]
    Invalid(#[from] ConfigurationError),
}

impl FeedState {
    /// Applies an update and returns what it changed.
    pub fn apply(&mut self, update: &FeedUpdate) -> FeedChanges {
        match update {
            FeedUpdate::Configuration(update) => self.apply_configuration(update),
            FeedUpdate::Instances { complete, instances } => self.apply_instances(*complete, instances),
            FeedUpdate::StoreGroups(groups) => self.apply_store_groups(groups),
            FeedUpdate::NamedVersions(versions) => self.apply_named_versions(versions),
            FeedUpdate::ProxyCount(count) => {
                self.proxy_count = *count;
                FeedChanges::default()
            }
        }
    }

    /// Applies several updates in order.
    pub fn apply_all(&mut self, updates: &[FeedUpdate]) -> FeedChanges {
        let mut changes = FeedChanges::default();
        for update in updates {
            changes.merge(self.apply(update));
        }
        changes
    }

    /// Returns the updates that bring a new subscriber to this state.
    ///
    /// The list of instances is marked as complete only if it is known to be
    /// ([`FeedState::instances_are_complete`]). Otherwise it also contains the tombstones.
    pub fn snapshot(&self) -> Vec<FeedUpdate> {
        let mut updates = Vec::new();
        if let Some(configuration) = &self.configuration {
            updates.push(FeedUpdate::Configuration(ConfigurationUpdate::Full {
                generation: configuration.generation(),
                document: configuration.document().to_vec(),
            }));
        }
        updates.push(self.instances_update());
        updates.push(FeedUpdate::StoreGroups(self.store_groups.values().cloned().collect()));
        updates.push(FeedUpdate::NamedVersions(self.named_version_list()));
        updates.push(FeedUpdate::ProxyCount(self.proxy_count));
        updates
    }

    /// Whether the list of instances is known to be complete: a complete list was received, or
    /// [`FeedState::set_instances_complete`] was called.
    pub fn instances_are_complete(&self) -> bool {
        self.instances_complete
    }

    /// Marks the list of instances as complete, so that subscribers take all others as terminated.
    ///
    /// A publisher calls this once every live transcriber has had the time to announce itself.
    pub fn set_instances_complete(&mut self) {
        self.instances_complete = true;
    }

    /// Returns the current configuration, if there is one.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Returns the generation of the current configuration, or 0 if there is none.
    pub fn generation(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |configuration| configuration.generation())
    }

    /// Iterates over the live instances, by id, without the tombstones.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.instances.live()
    }

    /// Returns an instance, which may be a tombstone.
    pub fn instance(&self, id: &str) -> Option<&Instance> {
        self.instances.get(id)
    }

    /// Returns the assignment of a store group.
    pub fn store_group(&self, group: u32) -> Option<&StoreGroup> {
        self.store_groups.get(&group)
    }

    /// Iterates over the assignments of all store groups, by number.
    pub fn store_groups(&self) -> impl Iterator<Item = &StoreGroup> {
        self.store_groups.values()
    }

    /// Returns the newest named version of a model, or 1 if none was named.
    pub fn named_version(&self, model: &str) -> u64 {
        self.named_versions.get(model).copied().unwrap_or(INITIAL_WEIGHT_VERSION)
    }

    /// Returns the number of proxies that are connected to the control plane, but at least 1.
    pub fn proxy_count(&self) -> u32 {
        self.proxy_count.max(1)
    }

    fn apply_configuration(&mut self, update: &ConfigurationUpdate) -> FeedChanges {
        let generation = update.generation();
        if generation <= self.generation() {
            return FeedChanges::default();
        }
        match self.resolve(update) {
            Ok(configuration) => {
                log::info!("configuration applied generation={}", configuration.generation());
                self.configuration = Some(Arc::new(configuration));
                FeedChanges { configuration_changed: true, ..FeedChanges::default() }
            }
            Err(ConfigurationUpdateError::BaseMismatch) => {
                FeedChanges { resync_needed: true, ..FeedChanges::default() }
            }
            Err(error @ ConfigurationUpdateError::Decompress(_)) => {
                log::error!("configuration rejected generation={generation}: {error}");
                FeedChanges { resync_needed: true, ..FeedChanges::default() }
            }
            // A new subscription would deliver the same document, so no resync is requested.
            Err(error @ ConfigurationUpdateError::Invalid(_)) => {
                log::error!("configuration rejected generation={generation}: {error}");
                FeedChanges::default()
            }
        }
    }

    /// Returns the configuration that an update describes.
    fn resolve(&self, update: &ConfigurationUpdate) -> Result<Configuration, ConfigurationUpdateError> {
        match update {
            ConfigurationUpdate::Full { document, .. } => Ok(Configuration::parse(document)?),
            ConfigurationUpdate::Compressed { uncompressed_bytes, compressed, .. } => {
                let document = compression::decompress(*uncompressed_bytes, compressed)?;
                Ok(Configuration::parse(&document)?)
            }
            ConfigurationUpdate::Patch { base_generation, patch, .. } => {
                let current = self
                    .configuration
                    .as_ref()
                    .filter(|current| current.generation() == *base_generation)
                    .ok_or(ConfigurationUpdateError::BaseMismatch)?;
                Ok(current.patched(patch)?)
            }
        }
    }

    fn apply_instances(&mut self, complete: bool, announcements: &[Instance]) -> FeedChanges {
        let mut changed: Vec<String> = announcements
            .iter()
            .filter(|announcement| self.instances.apply(announcement))
            .map(|announcement| announcement.id.clone())
            .collect();
        if complete {
            self.instances_complete = true;
            let ids: BTreeSet<&str> =
                announcements.iter().map(|announcement| announcement.id.as_str()).collect();
            changed.append(&mut self.instances.terminate_absent(&ids));
        }
        FeedChanges { changed_instances: changed, ..FeedChanges::default() }
    }

    fn apply_store_groups(&mut self, groups: &[StoreGroup]) -> FeedChanges {
        let mut changed = Vec::new();
        for group in groups {
            let current = self.store_groups.get(&group.group);
            if current.is_none_or(|current| current.epoch <= group.epoch && current != group) {
                self.store_groups.insert(group.group, group.clone());
                changed.push(group.group);
            }
        }
        FeedChanges { changed_store_groups: changed, ..FeedChanges::default() }
    }

    fn apply_named_versions(&mut self, versions: &[ModelVersion]) -> FeedChanges {
        let mut has_newer_version = false;
        for version in versions {
            if version.generation > self.named_version(&version.model) {
                self.named_versions.insert(version.model.clone(), version.generation);
                has_newer_version = true;
            }
        }
        FeedChanges { named_versions_changed: has_newer_version, ..FeedChanges::default() }
    }

    fn instances_update(&self) -> FeedUpdate {
        let complete = self.instances_complete;
        let instances = if complete {
            self.instances.live().cloned().collect()
        } else {
            self.instances.all().cloned().collect()
        };
        FeedUpdate::Instances { complete, instances }
    }

    fn named_version_list(&self) -> Vec<ModelVersion> {
        self.named_versions
            .iter()
            .map(|(model, generation)| ModelVersion { model: model.clone(), generation: *generation })
            .collect()
    }
}
