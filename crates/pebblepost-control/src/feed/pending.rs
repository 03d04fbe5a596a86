//! Updates that wait for the next flush of the feed.

use pebblepost_messages::feed::{FeedUpdate, Instance, ModelVersion, StoreGroup};
use std::collections::BTreeMap;
use std::time::Duration;

/// Minimum time over which updates that are not urgent are coalesced into one flush.
const MIN_COALESCE_DELAY: Duration = Duration::from_millis(20);
/// Coalescing time per subscriber. A flush costs one message and one acknowledgement per subscriber, so this bounds the
/// share of processor time that flushes take.
const COALESCE_DELAY_PER_SUBSCRIBER: Duration = Duration::from_micros(250);

/// Urgency with which an update is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// The update is flushed immediately.
    Immediate,
    /// The update is coalesced with others for a short time.
    Coalesced,
}

/// Updates since the last flush. A later update of an item replaces an earlier one.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingUpdates {
    /// Whether the configuration has changed.
    pub(super) configuration: bool,
    /// Whether the number of proxies has changed.
    pub(super) proxy_count: bool,
    /// Whether all instances are sent, as a complete list.
    pub(super) all_instances: bool,
    instances: BTreeMap<String, Instance>,
    groups: BTreeMap<u32, StoreGroup>,
    named_versions: BTreeMap<String, u64>,
    flush_at: Option<Duration>,
}

impl PendingUpdates {
    /// Returns when the next flush is due, or `None` if nothing is pending.
    pub(super) fn due_at(&self) -> Option<Duration> {
        self.flush_at
    }

    /// Schedules the flush of an update of this urgency, unless an earlier flush is scheduled already. `subscribers`
    /// is the number of recipients, which determines the coalescing time.
    pub(super) fn schedule(&mut self, now: Duration, urgency: Urgency, subscribers: usize) {
        let at = match urgency {
            Urgency::Immediate => now,
            Urgency::Coalesced => now + coalesce_delay(subscribers),
        };
        self.flush_at = Some(self.flush_at.map_or(at, |flush_at| flush_at.min(at)));
    }

    pub(super) fn add_instances(&mut self, instances: &[Instance]) {
        for instance in instances {
            self.instances.insert(instance.id.clone(), instance.clone());
        }
    }

    pub(super) fn add_groups(&mut self, groups: Vec<StoreGroup>) {
        self.groups.extend(groups.into_iter().map(|group| (group.group, group)));
    }

    pub(super) fn add_named_versions(&mut self, versions: Vec<ModelVersion>) {
        self.named_versions.extend(versions.into_iter().map(|version| (version.model, version.generation)));
    }

    /// Returns the updates of single items, in the order in which they are sent.
    pub(super) fn items(&self) -> Vec<FeedUpdate> {
        let mut updates = Vec::new();
        if !self.instances.is_empty() {
            let instances = self.instances.values().cloned().collect();
            updates.push(FeedUpdate::Instances { complete: false, instances });
        }
        if !self.groups.is_empty() {
            updates.push(FeedUpdate::StoreGroups(self.groups.values().cloned().collect()));
        }
        if !self.named_versions.is_empty() {
            let version = |(model, generation): (&String, &u64)| ModelVersion {
                model: model.clone(),
                generation: *generation,
            };
            updates.push(FeedUpdate::NamedVersions(self.named_versions.iter().map(version).collect()));
        }
        updates
    }
}

fn coalesce_delay(subscribers: usize) -> Duration {
    let subscribers = u32::try_from(subscribers).unwrap_or(u32::MAX);
    COALESCE_DELAY_PER_SUBSCRIBER.saturating_mul(subscribers).max(MIN_COALESCE_DELAY)
}
