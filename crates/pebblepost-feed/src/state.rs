//! The folded state and the rules by which updates change it.

use crate::changes::FeedChanges;
use crate::compression::{self, DecompressError};
use crate::instance_table::InstanceTable;
use pebblepost_configuration::{Configuration, ConfigurationError};
use pebblepost_messages::feed::{ConfigurationUpdate, FeedUpdate, Instance, ModelVersion, StoreGroup};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Version of a model's weights before any was named.
const INITIAL_MODEL_VERSION: u64 = 1;

/// State of the data plane as of the updates applied so far.
#[derive(Clone, Debug, Default)]
pub struct FeedState {
    configuration: Option<Arc<Configuration>>,
    instances: InstanceTable,
    instances_complete: bool,
    store_groups: BTreeMap<u32, StoreGroup>,
    named_versions: BTreeMap<String, u64>,
    proxy_count: u32,
}

/// Why a newer configuration is not applied.
#[derive(Debug, thiserror::Error)]
enum ConfigurationUpdateError {
    /// The update is a patch on another generation than the current one.
    #[error("the patch is on another generation")]
    BaseMismatch,
    #[error(transparent)]
    Decompress(#[from] DecompressError),
    #[error(transparent)]
    Invalid(#[from] ConfigurationError),
}

impl FeedState {
    /// Applies an update.
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

    /// Updates that bring a new subscriber to this state. The list of transcribers is marked as complete only if it
    /// is known to be ([`FeedState::instances_are_complete`]); otherwise it contains the tombstones.
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
        updates.push(FeedUpdate::NamedVersions(self.model_versions()));
        updates.push(FeedUpdate::ProxyCount(self.proxy_count));
        updates
    }

    /// Whether the list of transcribers is complete: a complete one was received, or
    /// [`FeedState::set_instances_complete`] was called.
    pub fn instances_are_complete(&self) -> bool {
        self.instances_complete
    }

    /// Marks the list of transcribers as complete. For a publisher, once every live transcriber has had the time to
    /// announce itself, so that a snapshot may say that all others are gone.
    pub fn set_instances_complete(&mut self) {
        self.instances_complete = true;
    }

    /// The current configuration, if there is one.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Generation of the current configuration; 0 if there is none.
    pub fn generation(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |configuration| configuration.generation())
    }

    /// All live transcribers, by id. Tombstones are not among them.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.instances.live()
    }

    /// A transcriber, possibly a tombstone.
    pub fn instance(&self, id: &str) -> Option<&Instance> {
        self.instances.get(id)
    }

    /// Assignment of a group of batch jobs.
    pub fn store_group(&self, group: u32) -> Option<&StoreGroup> {
        self.store_groups.get(&group)
    }

    /// Assignments of all groups of batch jobs, by number.
    pub fn store_groups(&self) -> impl Iterator<Item = &StoreGroup> {
        self.store_groups.values()
    }

    /// Newest named version of a model; 1 if none was named.
    pub fn named_version(&self, model: &str) -> u64 {
        self.named_versions.get(model).copied().unwrap_or(INITIAL_MODEL_VERSION)
    }

    /// Number of proxies connected to the control plane, at least 1.
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
                FeedChanges { configuration: true, ..FeedChanges::default() }
            }
            Err(ConfigurationUpdateError::BaseMismatch) => {
                FeedChanges { resync_needed: true, ..FeedChanges::default() }
            }
            Err(error @ ConfigurationUpdateError::Decompress(_)) => {
                log::error!("configuration rejected generation={generation}: {error}");
                FeedChanges { resync_needed: true, ..FeedChanges::default() }
            }
            // Subscribing again would bring the same document.
            Err(error @ ConfigurationUpdateError::Invalid(_)) => {
                log::error!("configuration rejected generation={generation}: {error}");
                FeedChanges::default()
            }
        }
    }

    /// The configuration that an update makes.
    fn resolve(&self, update: &ConfigurationUpdate) -> Result<Configuration, ConfigurationUpdateError> {
        match update {
            ConfigurationUpdate::Full { document, .. } => Ok(Configuration::parse(document)?),
            ConfigurationUpdate::Compressed { uncompressed_bytes, compressed, .. } => {
                let document = compression::decompress(*uncompressed_bytes, compressed)?;
                Ok(Configuration::parse(&document)?)
            }
            ConfigurationUpdate::Patch { base_generation: base, patch, .. } => {
                let current = self
                    .configuration
                    .as_ref()
                    .filter(|current| current.generation() == *base)
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
            changed.append(&mut self.instances.retain(&ids));
        }
        FeedChanges { instances: changed, ..FeedChanges::default() }
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
        FeedChanges { store_groups: changed, ..FeedChanges::default() }
    }

    fn apply_named_versions(&mut self, versions: &[ModelVersion]) -> FeedChanges {
        let mut raised = false;
        for version in versions {
            if version.generation > self.named_version(&version.model) {
                self.named_versions.insert(version.model.clone(), version.generation);
                raised = true;
            }
        }
        FeedChanges { named_versions: raised, ..FeedChanges::default() }
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

    fn model_versions(&self) -> Vec<ModelVersion> {
        self.named_versions
            .iter()
            .map(|(model, generation)| ModelVersion { model: model.clone(), generation: *generation })
            .collect()
    }
}
