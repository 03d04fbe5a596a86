//! The feed's serving side: who subscribes, what was sent, what was acknowledged.
//!
//! Changes are gathered and sent together: a transcriber that drains and a configuration at once,
//! everything else within [`COALESCE`]. Each flush has a number; a subscriber's acknowledgement
//! says up to which flush it acts.

use pebblepost_feed::{FeedState, compression};
use pebblepost_messages::control::{FromControl, SubscriberRole};
use pebblepost_messages::feed::{
    ConfigurationUpdate, FeedBatch, FeedReply, FeedUpdate, Instance, ModelVersion, StoreGroup,
};
use std::cell::OnceCell;
use std::collections::BTreeMap;
use std::time::Duration;

/// Number of a connection of this process, never used again.
pub type ConnectionId = u64;

/// How long changes that are not urgent are gathered.
const COALESCE: Duration = Duration::from_millis(20);
/// A subscriber that was sent nothing for so long gets a sign of life.
const KEEP_ALIVE: Duration = Duration::from_millis(500);
/// A subscriber that said nothing for so long is dropped.
const SILENCE: Duration = Duration::from_secs(2);
/// Time in which proxies that have not found this primary yet are still counted.
const COUNT_CARRIED: Duration = Duration::from_secs(3);

/// A configuration in force, as it is sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PublishedConfiguration {
    /// Its version, 0 for none.
    pub generation: u64,
    /// The whole document.
    pub document: Vec<u8>,
    /// The patch that made it, with the version that it builds on.
    pub patch: Option<(u64, Vec<u8>)>,
}

/// Something the caller must do.
#[derive(Clone, Debug, PartialEq)]
pub enum FeedOutput {
    /// Send a message.
    Send(ConnectionId, FromControl),
    /// The subscriber is dropped.
    Drop(ConnectionId),
}

#[derive(Clone, Debug)]
struct Subscriber {
    node: String,
    role: SubscriberRole,
    /// Flush that its first batch held.
    first_flush: u64,
    acknowledged_flush: u64,
    sent_generation: u64,
    acknowledged_generation: u64,
    heard: Duration,
    sent: Duration,
}

/// A subscriber, for displays.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubscriberStatus {
    /// Name of the machine.
    pub node: String,
    /// What it is.
    pub role: SubscriberRole,
    /// Version of the configuration that it acts by.
    pub generation: u64,
    /// Flushes that it has not acknowledged.
    pub behind: u64,
}

/// Changes that wait to be sent.
#[derive(Clone, Debug, Default)]
struct Pending {
    configuration: bool,
    instances: BTreeMap<String, Instance>,
    groups: BTreeMap<u32, StoreGroup>,
    named_versions: BTreeMap<String, u64>,
    count: bool,
    whole_list: bool,
    due: Option<Duration>,
}

/// The feed's serving side of an acting primary.
#[derive(Debug)]
pub struct FeedServer {
    /// Everything that is published but the configuration.
    state: FeedState,
    configuration: PublishedConfiguration,
    /// The whole of it, as subscribers get it that have none to patch; packed when the first one comes.
    packed: OnceCell<ConfigurationUpdate>,
    subscribers: BTreeMap<ConnectionId, Subscriber>,
    pending: Pending,
    flushes: u64,
    carried_count: u32,
    carried_until: Duration,
    outputs: Vec<FeedOutput>,
}

impl FeedServer {
    /// A server that publishes from `state` on, which this process kept as a standby. The list of
    /// transcribers is not told to be whole until [`Self::complete_list`].
    pub fn new(now: Duration, state: FeedState) -> FeedServer {
        FeedServer {
            carried_count: state.proxy_count(),
            carried_until: now + COUNT_CARRIED,
            state,
            configuration: PublishedConfiguration::default(),
            packed: OnceCell::new(),
            subscribers: BTreeMap::new(),
            pending: Pending::default(),
            flushes: 1,
            outputs: Vec::new(),
        }
    }

    /// What is published, but for the configuration.
    pub fn state(&self) -> &FeedState {
        &self.state
    }

    /// Ends the service; what was published, and who subscribed.
    pub fn into_parts(self) -> (FeedState, Vec<ConnectionId>) {
        (self.state, self.subscribers.into_keys().collect())
    }

    /// A subscriber came.
    pub fn subscribe(
        &mut self, now: Duration, connection: ConnectionId, node: String, role: SubscriberRole,
        generation: u64,
    ) {
        self.flush(now);
        let subscriber = Subscriber {
            node,
            role,
            first_flush: self.flushes,
            acknowledged_flush: 0,
            sent_generation: generation,
            acknowledged_generation: 0,
            heard: now,
            sent: now,
        };
        self.subscribers.insert(connection, subscriber);
        let updates = self.snapshot_for(generation);
        self.send(now, connection, 1, updates);
        if role == SubscriberRole::Agent {
            self.count_changed(now);
        }
    }

    /// A subscriber's connection ended.
    pub fn unsubscribe(&mut self, now: Duration, connection: ConnectionId) {
        let Some(subscriber) = self.subscribers.remove(&connection) else { return };
        if subscriber.role == SubscriberRole::Agent {
            self.count_changed(now);
        }
    }

    /// Whether a connection subscribes.
    pub fn is_subscriber(&self, connection: ConnectionId) -> bool {
        self.subscribers.contains_key(&connection)
    }

    /// A subscriber said anything.
    pub fn heard(&mut self, now: Duration, connection: ConnectionId) {
        if let Some(subscriber) = self.subscribers.get_mut(&connection) {
            subscriber.heard = now;
        }
    }

    /// A subscriber acknowledged.
    pub fn reply(&mut self, now: Duration, connection: ConnectionId, reply: &FeedReply) {
        let flushes = self.flushes;
        let Some(subscriber) = self.subscribers.get_mut(&connection) else { return };
        let FeedReply::Acknowledge { sequence, generation } = reply;
        let flush = subscriber.first_flush.saturating_add(sequence.saturating_sub(1)).min(flushes);
        if *sequence > 0 {
            subscriber.acknowledged_flush = subscriber.acknowledged_flush.max(flush);
        }
        subscriber.acknowledged_generation = subscriber.acknowledged_generation.max(*generation);
        subscriber.heard = now;
    }

    /// Publishes a configuration, at once, if it is newer than the one before.
    pub fn publish_configuration(
        &mut self, now: Duration, generation: u64, configuration: impl FnOnce() -> PublishedConfiguration,
    ) {
        if generation <= self.configuration.generation {
            return;
        }
        self.configuration = configuration();
        self.packed = OnceCell::new();
        self.pending.configuration = true;
        self.due(now);
    }

    /// Publishes transcribers; `urgent`: at once.
    pub fn publish_instances(&mut self, now: Duration, instances: &[Instance], urgent: bool) {
        if instances.is_empty() {
            return;
        }
        self.state.apply(&FeedUpdate::Instances { complete: false, instances: instances.to_vec() });
        for instance in instances {
            self.pending.instances.insert(instance.id.clone(), instance.clone());
        }
        self.due(if urgent { now } else { now + COALESCE });
    }

    /// From now on the list of transcribers is complete: whoever was not heard by now is gone.
    pub fn complete_list(&mut self, now: Duration) {
        self.state.set_instances_complete();
        self.pending.whole_list = true;
        self.due(now + COALESCE);
    }

    /// Publishes groups of batch jobs, at once: jobs wait for them.
    pub fn publish_groups(&mut self, now: Duration, groups: Vec<StoreGroup>) {
        if groups.is_empty() {
            return;
        }
        self.state.apply(&FeedUpdate::StoreGroups(groups.clone()));
        self.pending.groups.extend(groups.into_iter().map(|group| (group.group, group)));
        self.due(now);
    }

    /// Publishes named versions.
    pub fn publish_named_versions(&mut self, now: Duration, versions: Vec<ModelVersion>) {
        if versions.is_empty() {
            return;
        }
        self.state.apply(&FeedUpdate::NamedVersions(versions.clone()));
        let named = versions.into_iter().map(|version| (version.model, version.generation));
        self.pending.named_versions.extend(named);
        self.due(now);
    }

    /// Number of the newest flush.
    pub fn newest_flush(&self) -> u64 {
        self.flushes
    }

    /// Whether every subscriber acts by everything up to a flush.
    pub fn is_acknowledged(&self, flush: u64) -> bool {
        self.subscribers.values().all(|subscriber| subscriber.acknowledged_flush >= flush)
    }

    /// Sends what waits.
    pub fn flush(&mut self, now: Duration) {
        if self.pending.due.is_none() {
            return;
        }
        self.flushes += 1;
        let pending = std::mem::take(&mut self.pending);
        let common = self.common_updates(&pending);
        let connections: Vec<ConnectionId> = self.subscribers.keys().copied().collect();
        for connection in connections {
            let subscriber = &self.subscribers[&connection];
            let sequence = self.flushes - subscriber.first_flush + 1;
            let mut updates = Vec::with_capacity(common.len() + 1);
            if pending.configuration {
                updates.extend(self.configuration_for(subscriber.sent_generation));
            }
            updates.extend(common.iter().cloned());
            self.send(now, connection, sequence, updates);
        }
    }

    /// Sends what is due, signs of life, and drops silent subscribers.
    pub fn tick(&mut self, now: Duration) {
        if now >= self.carried_until && self.carried_count > 0 {
            self.carried_count = 0;
            self.count_changed(now);
        }
        if self.pending.due.is_some_and(|due| due <= now) {
            self.flush(now);
        }
        let silent = |subscriber: &Subscriber| now.saturating_sub(subscriber.heard) >= SILENCE;
        let dropped: Vec<ConnectionId> = self.matching(silent);
        for connection in dropped {
            self.outputs.push(FeedOutput::Drop(connection));
            self.unsubscribe(now, connection);
        }
        let quiet = |subscriber: &Subscriber| now.saturating_sub(subscriber.sent) >= KEEP_ALIVE;
        for connection in self.matching(quiet) {
            if let Some(subscriber) = self.subscribers.get_mut(&connection) {
                subscriber.sent = now;
            }
            self.outputs.push(FeedOutput::Send(connection, FromControl::KeepAlive));
        }
    }

    /// When something that waits has to be sent.
    pub fn due_at(&self) -> Option<Duration> {
        self.pending.due
    }

    /// Connections of all subscribers.
    pub fn connections(&self) -> impl Iterator<Item = ConnectionId> {
        self.subscribers.keys().copied()
    }

    /// All subscribers, for displays.
    pub fn subscribers(&self) -> Vec<SubscriberStatus> {
        let status = |subscriber: &Subscriber| SubscriberStatus {
            node: subscriber.node.clone(),
            role: subscriber.role,
            generation: subscriber.acknowledged_generation,
            behind: self.flushes.saturating_sub(subscriber.acknowledged_flush),
        };
        self.subscribers.values().map(status).collect()
    }

    /// Takes what the caller must do.
    pub fn take_outputs(&mut self) -> Vec<FeedOutput> {
        std::mem::take(&mut self.outputs)
    }

    fn matching(&self, wanted: impl Fn(&Subscriber) -> bool) -> Vec<ConnectionId> {
        let matching = self.subscribers.iter().filter(|(_, subscriber)| wanted(subscriber));
        matching.map(|(connection, _)| *connection).collect()
    }

    fn due(&mut self, at: Duration) {
        self.pending.due = Some(self.pending.due.map_or(at, |due| due.min(at)));
    }

    fn count_changed(&mut self, now: Duration) {
        self.pending.count = true;
        self.due(now + COALESCE);
    }

    fn count(&self) -> u32 {
        let agents = self.subscribers.values().filter(|one| one.role == SubscriberRole::Agent).count();
        u32::try_from(agents).unwrap_or(u32::MAX).max(self.carried_count).max(1)
    }

    fn common_updates(&mut self, pending: &Pending) -> Vec<FeedUpdate> {
        let mut updates = Vec::new();
        if pending.whole_list {
            let instances = self.state.instances().cloned().collect();
            updates.push(FeedUpdate::Instances { complete: true, instances });
        }
        if !pending.instances.is_empty() {
            let instances = pending.instances.values().cloned().collect();
            updates.push(FeedUpdate::Instances { complete: false, instances });
        }
        if !pending.groups.is_empty() {
            updates.push(FeedUpdate::StoreGroups(pending.groups.values().cloned().collect()));
        }
        if !pending.named_versions.is_empty() {
            let named = pending.named_versions.iter();
            let version = |(model, generation): (&String, &u64)| ModelVersion {
                model: model.clone(),
                generation: *generation,
            };
            updates.push(FeedUpdate::NamedVersions(named.map(version).collect()));
        }
        if pending.count {
            let count = FeedUpdate::ProxyCount(self.count());
            self.state.apply(&count);
            updates.push(count);
        }
        updates
    }

    fn configuration_for(&self, known: u64) -> Option<FeedUpdate> {
        if known >= self.configuration.generation {
            return None;
        }
        let PublishedConfiguration { generation, document, .. } = &self.configuration;
        let generation = *generation;
        let update = match &self.configuration.patch {
            Some((base, patch)) if *base == known => {
                ConfigurationUpdate::Patch { base: *base, generation, patch: patch.clone() }
            }
            _ => self.packed.get_or_init(|| compression::compress(generation, document)).clone(),
        };
        Some(FeedUpdate::Configuration(update))
    }

    fn snapshot_for(&self, generation: u64) -> Vec<FeedUpdate> {
        let mut updates: Vec<FeedUpdate> = self.configuration_for(generation).into_iter().collect();
        for update in self.state.snapshot() {
            match update {
                FeedUpdate::Configuration(_) | FeedUpdate::ProxyCount(_) => {}
                other => updates.push(other),
            }
        }
        updates.push(FeedUpdate::ProxyCount(self.count()));
        updates
    }

    fn send(&mut self, now: Duration, connection: ConnectionId, sequence: u64, updates: Vec<FeedUpdate>) {
        if let Some(subscriber) = self.subscribers.get_mut(&connection) {
            subscriber.sent = now;
            subscriber.sent_generation = subscriber.sent_generation.max(self.configuration.generation);
        }
        self.outputs.push(FeedOutput::Send(connection, FromControl::Feed(FeedBatch { sequence, updates })));
    }
}
