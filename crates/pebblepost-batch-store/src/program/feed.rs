//! The feed of the control plane, as far as a store needs it.

use crate::store::Store;
use pebblepost_messages::control::{SubscriberRole, ToControl};
use pebblepost_messages::feed::{ConfigurationUpdate, FeedBatch, FeedReply, FeedUpdate};
use pebblepost_settings::Settings;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// What a store keeps of the feed: the version of the configuration, which it acknowledges.
#[derive(Clone, Debug)]
pub(super) struct Feed {
    node: String,
    zone: String,
    generation: Rc<Cell<u64>>,
}

impl Feed {
    pub(super) fn new(settings: &Settings) -> Feed {
        Feed { node: settings.node_name.clone(), zone: settings.zone.clone(), generation: Rc::default() }
    }

    /// First message on each new connection to the control plane.
    pub(super) fn subscription(&self) -> ToControl {
        ToControl::Subscribe {
            node: self.node.clone(),
            zone: self.zone.clone(),
            role: SubscriberRole::Store,
            generation: self.generation.get(),
        }
    }

    /// Takes a batch in; its acknowledgement.
    pub(super) fn take(&self, now: Duration, batch: &FeedBatch, store: &mut Store) -> ToControl {
        for update in &batch.updates {
            match update {
                FeedUpdate::StoreGroups(groups) => store.assign(now, groups),
                FeedUpdate::Configuration(update) => self.note_generation(update),
                FeedUpdate::NamedVersions(versions) => store.name_versions(versions),
                FeedUpdate::Instances { .. } | FeedUpdate::ProxyCount(_) => {}
            }
        }
        let generation = self.generation.get();
        ToControl::Reply(FeedReply::Acknowledge { sequence: batch.sequence, generation })
    }

    fn note_generation(&self, update: &ConfigurationUpdate) {
        let (ConfigurationUpdate::Full { generation, .. }
        | ConfigurationUpdate::Compressed { generation, .. }
        | ConfigurationUpdate::Patch { generation, .. }) = update;
        self.generation.set(self.generation.get().max(*generation));
    }
}
