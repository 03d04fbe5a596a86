//! What the data plane acts by, folded from the updates of the feed.
//!
//! Used by everything that receives the feed (proxies, agents, stores, standby control
//! processes) and by the control primary, which publishes it. Nothing in it goes back within one
//! life: an older configuration, announcement, epoch or version is ignored.

use pebblepost_configuration::Configuration;
use pebblepost_messages::feed::{FeedUpdate, Instance, StoreGroup};
use std::collections::BTreeMap;
use std::sync::Arc;

/// What an update changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
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

/// The folded state.
#[derive(Clone, Debug, Default)]
pub struct FeedState {
    configuration: Option<Arc<Configuration>>,
    instances: BTreeMap<String, Instance>,
    store_groups: BTreeMap<u32, StoreGroup>,
    named_versions: BTreeMap<String, u64>,
    proxy_count: u32,
}

#[allow(unused_variables)]
impl FeedState {
    /// Takes an update in.
    pub fn apply(&mut self, update: &FeedUpdate) -> Changes {
        todo!()
    }
    /// Updates that give a newcomer all of this.
    pub fn snapshot(&self) -> Vec<FeedUpdate> {
        todo!()
    }
    /// The configuration in force, if any.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }
    /// All transcribers that are not gone, by id. Those that are gone are remembered, so that a
    /// late announcement does not revive them, but not returned.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.instances.values()
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
}
