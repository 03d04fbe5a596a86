//! What the data plane acts by, folded from the updates of the feed.
//!
//! Used by everything that receives the feed (proxies, agents, stores, standby control
//! processes) and by the control primary, which publishes it. Nothing in it goes back within one
//! life: an older configuration, announcement, epoch or version is ignored.

pub mod compression;
mod instances;

use instances::Instances;
use pebblepost_configuration::{Configuration, ConfigurationError};
use pebblepost_messages::feed::{ConfigurationUpdate, FeedUpdate, Instance, ModelVersion, StoreGroup};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// What an update changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FeedChanges {
    /// A newer configuration is in force.
    pub configuration: bool,
    /// Ids of transcribers that are new or changed in any way.
    pub instances: Vec<String>,
    /// Groups of batch jobs with a newer epoch.
    pub store_groups: Vec<u32>,
    /// A newer version of a model was named.
    pub named_versions: bool,
    /// The update was a patch on a configuration that is not the one held: the whole one must be
    /// asked for (by subscribing anew).
    pub gap: bool,
}

impl FeedChanges {
    /// Whether anything changed.
    pub fn any(&self) -> bool {
        *self != FeedChanges::default()
    }

    /// Adds the changes of a later update.
    pub fn merge(&mut self, mut later: FeedChanges) {
        self.configuration |= later.configuration;
        self.named_versions |= later.named_versions;
        self.gap |= later.gap;
        self.instances.append(&mut later.instances);
        self.store_groups.append(&mut later.store_groups);
    }
}

/// The folded state.
#[derive(Clone, Debug, Default)]
pub struct FeedState {
    configuration: Option<Arc<Configuration>>,
    instances: Instances,
    instances_complete: bool,
    store_groups: BTreeMap<u32, StoreGroup>,
    named_versions: BTreeMap<String, u64>,
    proxy_count: u32,
}

impl FeedState {
    /// Takes an update in.
    pub fn apply(&mut self, update: &FeedUpdate) -> FeedChanges {
        match update {
            FeedUpdate::Configuration(update) => self.apply_configuration(update),
            FeedUpdate::Instances { complete: whole, instances } => self.apply_instances(*whole, instances),
            FeedUpdate::StoreGroups(groups) => self.apply_store_groups(groups),
            FeedUpdate::NamedVersions(versions) => self.apply_named_versions(versions),
            FeedUpdate::ProxyCount(count) => {
                self.proxy_count = *count;
                FeedChanges::default()
            }
        }
    }

    /// Takes several updates in.
    pub fn apply_all(&mut self, updates: &[FeedUpdate]) -> FeedChanges {
        let mut changes = FeedChanges::default();
        for update in updates {
            changes.merge(self.apply(update));
        }
        changes
    }

    /// Updates that give a newcomer all of this. The list of transcribers is sent as a complete one only if it is
    /// known to be ([`FeedState::instances_are_complete`]); otherwise those that are gone are in it.
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
        updates.push(FeedUpdate::NamedVersions(self.named_versions_update()));
        updates.push(FeedUpdate::ProxyCount(self.proxy_count));
        updates
    }

    /// Whether a complete list of transcribers was received, or [`FeedState::set_instances_complete`] was called.
    pub fn instances_are_complete(&self) -> bool {
        self.instances_complete
    }

    /// For a publisher: every transcriber that lives has had the time to announce itself, so that a snapshot may
    /// say that all others are gone.
    pub fn set_instances_complete(&mut self) {
        self.instances_complete = true;
    }

    /// The configuration in force, if any.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Version of the configuration in force; 0 for none.
    pub fn generation(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |configuration| configuration.generation())
    }

    /// All transcribers that are not gone, by id. Those that are gone are remembered, so that a late announcement
    /// does not revive them, but not returned.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.instances.present()
    }

    /// A transcriber, also one that is gone.
    pub fn instance(&self, id: &str) -> Option<&Instance> {
        self.instances.get(id)
    }

    /// Who serves a group of batch jobs.
    pub fn store_group(&self, group: u32) -> Option<&StoreGroup> {
        self.store_groups.get(&group)
    }

    /// All groups of batch jobs.
    pub fn store_groups(&self) -> impl Iterator<Item = &StoreGroup> {
        self.store_groups.values()
    }

    /// Newest named version of a model, 1 if none was named.
    pub fn named_version(&self, model: &str) -> u64 {
        self.named_versions.get(model).copied().unwrap_or(1)
    }

    /// Proxies connected to the control plane, at least 1.
    pub fn proxy_count(&self) -> u32 {
        self.proxy_count.max(1)
    }

    fn apply_configuration(&mut self, update: &ConfigurationUpdate) -> FeedChanges {
        let newer = match update {
            ConfigurationUpdate::Full { generation, document } => {
                if *generation <= self.generation() {
                    return FeedChanges::default();
                }
                Configuration::parse(document)
            }
            ConfigurationUpdate::Compressed { generation, uncompressed_bytes: bytes, compressed: packed } => {
                if *generation <= self.generation() {
                    return FeedChanges::default();
                }
                match compression::decompress(*bytes, packed) {
                    Ok(document) => Configuration::parse(&document),
                    Err(damaged) => {
                        log::error!("configuration {generation} from the feed can't be used: {damaged}");
                        return FeedChanges { gap: true, ..FeedChanges::default() };
                    }
                }
            }
            ConfigurationUpdate::Patch { base, generation, patch } => {
                if *generation <= self.generation() {
                    return FeedChanges::default();
                }
                match &self.configuration {
                    Some(held) if held.generation() == *base => held.patched(patch),
                    _ => return FeedChanges { gap: true, ..FeedChanges::default() },
                }
            }
        };
        self.take_configuration(newer)
    }

    fn take_configuration(&mut self, newer: Result<Configuration, ConfigurationError>) -> FeedChanges {
        match newer {
            Ok(configuration) => {
                log::info!("configuration {} is in force", configuration.generation());
                self.configuration = Some(Arc::new(configuration));
                FeedChanges { configuration: true, ..FeedChanges::default() }
            }
            Err(error) => {
                log::error!("a configuration from the feed can't be used: {error}");
                FeedChanges::default()
            }
        }
    }

    fn apply_instances(&mut self, whole: bool, announced: &[Instance]) -> FeedChanges {
        let mut changed: Vec<String> = announced
            .iter()
            .filter(|instance| self.instances.announce(instance))
            .map(|instance| instance.id.clone())
            .collect();
        if whole {
            self.instances_complete = true;
            let ids: BTreeSet<&str> = announced.iter().map(|instance| instance.id.as_str()).collect();
            changed.append(&mut self.instances.retain(&ids));
        }
        FeedChanges { instances: changed, ..FeedChanges::default() }
    }

    fn apply_store_groups(&mut self, groups: &[StoreGroup]) -> FeedChanges {
        let mut changed = Vec::new();
        for group in groups {
            let known = self.store_groups.get(&group.group);
            if known.is_none_or(|known| known.epoch <= group.epoch && known != group) {
                self.store_groups.insert(group.group, group.clone());
                changed.push(group.group);
            }
        }
        FeedChanges { store_groups: changed, ..FeedChanges::default() }
    }

    fn apply_named_versions(&mut self, versions: &[ModelVersion]) -> FeedChanges {
        let mut risen = false;
        for version in versions {
            if version.generation > self.named_version(&version.model) {
                self.named_versions.insert(version.model.clone(), version.generation);
                risen = true;
            }
        }
        FeedChanges { named_versions: risen, ..FeedChanges::default() }
    }

    fn instances_update(&self) -> FeedUpdate {
        let whole = self.instances_complete;
        let instances = if whole {
            self.instances.present().cloned().collect()
        } else {
            self.instances.all().cloned().collect()
        };
        FeedUpdate::Instances { complete: whole, instances }
    }

    fn named_versions_update(&self) -> Vec<ModelVersion> {
        self.named_versions
            .iter()
            .map(|(model, generation)| ModelVersion { model: model.clone(), generation: *generation })
            .collect()
    }
}
