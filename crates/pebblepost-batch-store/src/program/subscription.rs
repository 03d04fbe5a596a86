//! The store's subscription to the feed of the control plane.

use crate::store::Store;
use pebblepost_messages::control::{SubscriberRole, ToControl};
use pebblepost_messages::feed::{ConfigurationUpdate, FeedBatch, FeedReply, FeedUpdate};
use pebblepost_settings::Settings;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Identity of the subscriber and the generation of the configuration that it acknowledges.
///
/// Clones share the generation.
#[derive(Clone, Debug)]
pub(super) struct Subscription {
    node: String,
    zone: String,
    generation: Rc<Cell<u64>>,
}

impl Subscription {
    pub(super) fn new(settings: &Settings) -> Subscription {
        Subscription {
            node: settings.node_name.clone(),
            zone: settings.zone.clone(),
            generation: Rc::default(),
        }
    }

    /// Returns the first message on each new connection to the control plane.
    pub(super) fn message(&self) -> ToControl {
        ToControl::Subscribe {
            node: self.node.clone(),
            zone: self.zone.clone(),
            role: SubscriberRole::Store,
            generation: self.generation.get(),
        }
    }

    /// Applies a batch of updates and returns its acknowledgement.
    pub(super) fn apply(&self, now: Duration, batch: &FeedBatch, store: &mut Store) -> ToControl {
        for update in &batch.updates {
            match update {
                FeedUpdate::StoreGroups(groups) => store.apply_assignments(now, groups),
                FeedUpdate::Configuration(update) => self.raise_generation(update),
                FeedUpdate::NamedVersions(versions) => store.apply_named_versions(versions),
                FeedUpdate::Instances { .. } | FeedUpdate::ProxyCount(_) => {}
            }
        }
        let generation = self.generation.get();
        ToControl::Reply(FeedReply::Acknowledge { sequence: batch.sequence, generation })
    }

    fn raise_generation(&self, update: &ConfigurationUpdate) {
        let (ConfigurationUpdate::Full { generation, .. }
        | ConfigurationUpdate::Compressed { generation, .. }
        | ConfigurationUpdate::Patch { generation, .. }) = update;
        self.generation.set(self.generation.get().max(*generation));
    }
}
