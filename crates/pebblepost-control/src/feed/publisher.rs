//! Turns changes into batches for the subscribers.
//!
//! Changes are coalesced and sent together with a flush. Flushes are numbered; an acknowledgement tells up to which
//! flush a subscriber acts.

use super::pending::{PendingUpdates, Urgency};
use super::subscriptions::{ConnectionId, SubscriberStatus, Subscription, Subscriptions};
use pebblepost_feed::{FeedState, compression};
use pebblepost_messages::control::SubscriberRole;
use pebblepost_messages::feed::{
    ConfigurationUpdate, FeedReply, FeedUpdate, Instance, ModelVersion, StoreGroup,
};
use std::cell::OnceCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Time in which agents that have not reconnected to a new primary still count as proxies.
const INHERITED_COUNT_TIMEOUT: Duration = Duration::from_secs(3);
/// Sequence number of a subscription's first batch.
const FIRST_SEQUENCE: u64 = 1;

/// A patch in the form in which it is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublishedPatch {
    /// Version that it is based on.
    pub base: u64,
    /// The patch, JSON.
    pub patch: Vec<u8>,
}

/// A configuration in the forms in which it is sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PublishedConfiguration {
    /// Its version, 0 for none.
    pub generation: u64,
    /// The complete document.
    pub document: Vec<u8>,
    /// The patch that produced it, if it was produced by one.
    pub patch: Option<PublishedPatch>,
}

/// Updates of a batch, in one allocation for all subscribers that are sent the same.
pub type SharedUpdates = Rc<[FeedUpdate]>;

/// How a batch carries the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ConfigurationForm {
    /// Not at all: the subscriber has it.
    Absent,
    /// As a patch of the version that the subscriber has.
    Patch,
    /// As the complete document.
    Complete,
}

/// An action that the caller has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum FeedAction {
    /// Send a batch to a subscriber.
    Send {
        /// Its connection.
        connection: ConnectionId,
        /// Sequence number of the batch on the connection.
        sequence: u64,
        /// Its updates.
        updates: SharedUpdates,
    },
    /// Send a keep-alive to a subscriber.
    KeepAlive {
        /// Its connection.
        connection: ConnectionId,
    },
    /// Disconnect a subscriber that has timed out.
    Disconnect {
        /// Its connection.
        connection: ConnectionId,
    },
}

/// The feed of a primary.
#[derive(Debug)]
pub struct FeedPublisher {
    /// Everything published except the configuration.
    state: FeedState,
    configuration: PublishedConfiguration,
    /// The complete configuration as it is sent to subscribers whose version the patch does not fit; compressed when
    /// it is first needed.
    compressed: OnceCell<ConfigurationUpdate>,
    /// Snapshots of what is published now, for new subscribers.
    snapshots: BTreeMap<ConfigurationForm, SharedUpdates>,
    subscriptions: Subscriptions,
    pending: PendingUpdates,
    /// Number of the newest flush.
    newest_flush: u64,
    /// Number of proxies that the former primary counted; 0 once it has timed out.
    inherited_count: u32,
    inherited_until: Duration,
    actions: Vec<FeedAction>,
}

impl FeedPublisher {
    /// A publisher that continues from the `state` replicated as a standby. The transcribers count as
    /// incomplete until [`Self::mark_instances_complete`].
    pub fn new(now: Duration, state: FeedState) -> FeedPublisher {
        FeedPublisher {
            inherited_count: state.proxy_count(),
            inherited_until: now + INHERITED_COUNT_TIMEOUT,
            state,
            configuration: PublishedConfiguration::default(),
            compressed: OnceCell::new(),
            snapshots: BTreeMap::new(),
            subscriptions: Subscriptions::default(),
            pending: PendingUpdates::default(),
            newest_flush: 1,
            actions: Vec::new(),
        }
    }

    /// Everything published except the configuration.
    pub fn state(&self) -> &FeedState {
        &self.state
    }

    /// Ends the publication: what was published, and the subscribers.
    pub fn into_parts(self) -> (FeedState, Vec<ConnectionId>) {
        (self.state, self.subscriptions.into_connections())
    }

    /// Adds a subscriber that has the configuration `generation`, and sends it a snapshot. Updates that wait for the
    /// next flush are in the snapshot, and are sent to it again with the flush: when all subscribers come at once, none
    /// of them causes a flush to the others.
    pub fn subscribe(
        &mut self, now: Duration, connection: ConnectionId, node: String, role: SubscriberRole,
        generation: u64,
    ) {
        let subscription = Subscription::new(now, node, role, self.newest_flush, generation);
        self.subscriptions.insert(connection, subscription);
        let updates = self.snapshot_for(generation);
        self.send(now, connection, FIRST_SEQUENCE, updates);
        if role == SubscriberRole::Agent {
            self.proxy_count_changed(now);
        }
    }

    /// Removes a subscriber.
    pub fn unsubscribe(&mut self, now: Duration, connection: ConnectionId) {
        if self.subscriptions.remove(connection) == Some(SubscriberRole::Agent) {
            self.proxy_count_changed(now);
        }
    }

    /// A message of any kind arrived from a subscriber.
    pub fn record_message(&mut self, now: Duration, connection: ConnectionId) {
        self.subscriptions.record_message(now, connection);
    }

    /// Processes an acknowledgement.
    pub fn acknowledge(&mut self, now: Duration, connection: ConnectionId, reply: &FeedReply) {
        self.subscriptions.acknowledge(now, connection, reply, self.newest_flush);
    }

    /// Publishes a configuration, at once, if `generation` is newer than the published one.
    pub fn publish_configuration(
        &mut self, now: Duration, generation: u64, configuration: impl FnOnce() -> PublishedConfiguration,
    ) {
        if generation <= self.configuration.generation {
            return;
        }
        self.configuration = configuration();
        self.compressed = OnceCell::new();
        self.pending.configuration = true;
        self.published(now, Urgency::Immediate);
    }

    /// Publishes transcribers.
    pub fn publish_instances(&mut self, now: Duration, instances: &[Instance], urgency: Urgency) {
        if instances.is_empty() {
            return;
        }
        self.state.apply(&FeedUpdate::Instances { complete: false, instances: instances.to_vec() });
        self.pending.add_instances(instances);
        self.published(now, urgency);
    }

    /// Declares the published transcribers complete: one that is not among them has terminated.
    pub fn mark_instances_complete(&mut self, now: Duration) {
        self.state.set_instances_complete();
        self.pending.all_instances = true;
        self.published(now, Urgency::Coalesced);
    }

    /// Publishes groups of batch jobs, at once: jobs wait for them.
    pub fn publish_groups(&mut self, now: Duration, groups: Vec<StoreGroup>) {
        if groups.is_empty() {
            return;
        }
        self.state.apply(&FeedUpdate::StoreGroups(groups.clone()));
        self.pending.add_groups(groups);
        self.published(now, Urgency::Immediate);
    }

    /// Publishes named versions, at once.
    pub fn publish_named_versions(&mut self, now: Duration, versions: Vec<ModelVersion>) {
        if versions.is_empty() {
            return;
        }
        self.state.apply(&FeedUpdate::NamedVersions(versions.clone()));
        self.pending.add_named_versions(versions);
        self.published(now, Urgency::Immediate);
    }

    /// Number of the newest flush.
    pub fn newest_flush(&self) -> u64 {
        self.newest_flush
    }

    /// Whether every subscriber has acknowledged everything up to a flush.
    pub fn is_acknowledged(&self, flush: u64) -> bool {
        self.subscriptions.is_acknowledged(flush)
    }

    /// Sends all pending updates now.
    pub fn flush(&mut self, now: Duration) {
        if self.pending.due_at().is_none() {
            return;
        }
        self.newest_flush += 1;
        let pending = std::mem::take(&mut self.pending);
        let common = self.common_updates(&pending);
        let mut batches: BTreeMap<ConfigurationForm, SharedUpdates> = BTreeMap::new();
        let connections: Vec<ConnectionId> = self.subscriptions.connections().collect();
        for connection in connections {
            let Some(subscription) = self.subscriptions.get(connection) else { continue };
            let sequence = subscription.sequence_of(self.newest_flush);
            let form = self.configuration_form(subscription.sent_generation());
            let batch = batches.entry(form).or_insert_with(|| {
                self.configuration_in(form).into_iter().chain(common.iter().cloned()).collect()
            });
            let updates = Rc::clone(batch);
            self.send(now, connection, sequence, updates);
        }
    }

    /// Sends pending updates if they are due.
    pub fn flush_if_due(&mut self, now: Duration) {
        if self.pending.due_at().is_some_and(|due| due <= now) {
            self.flush(now);
        }
    }

    /// Sends what is due and keep-alives, and disconnects subscribers that have timed out.
    pub fn tick(&mut self, now: Duration) {
        if now >= self.inherited_until && self.inherited_count > 0 {
            self.inherited_count = 0;
            self.proxy_count_changed(now);
        }
        self.flush_if_due(now);
        for connection in self.subscriptions.timed_out(now) {
            self.actions.push(FeedAction::Disconnect { connection });
            self.unsubscribe(now, connection);
        }
        for connection in self.subscriptions.idle(now) {
            self.subscriptions.keep_alive_sent(now, connection);
            self.actions.push(FeedAction::KeepAlive { connection });
        }
    }

    /// When pending updates have to be sent.
    pub fn due_at(&self) -> Option<Duration> {
        self.pending.due_at()
    }

    /// Connections of all subscribers.
    pub fn connections(&self) -> impl Iterator<Item = ConnectionId> {
        self.subscriptions.connections()
    }

    /// All subscribers, for the operator's status.
    pub fn subscribers(&self) -> Vec<SubscriberStatus> {
        self.subscriptions.statuses(self.newest_flush)
    }

    /// Takes the pending actions, in order.
    pub fn take_actions(&mut self) -> Vec<FeedAction> {
        std::mem::take(&mut self.actions)
    }

    /// Something was published: earlier snapshots are outdated, and a flush is due.
    fn published(&mut self, now: Duration, urgency: Urgency) {
        self.snapshots.clear();
        self.schedule(now, urgency);
    }

    fn schedule(&mut self, now: Duration, urgency: Urgency) {
        self.pending.schedule(now, urgency, self.subscriptions.len());
    }

    fn proxy_count_changed(&mut self, now: Duration) {
        self.pending.proxy_count = true;
        self.schedule(now, Urgency::Coalesced);
    }

    /// Number of proxies, by which they divide quotas among themselves; at least 1.
    fn proxy_count(&self) -> u32 {
        let agents = u32::try_from(self.subscriptions.agent_count()).unwrap_or(u32::MAX);
        agents.max(self.inherited_count).max(1)
    }

    /// The updates that all subscribers get.
    fn common_updates(&mut self, pending: &PendingUpdates) -> Vec<FeedUpdate> {
        let mut updates = Vec::new();
        if pending.all_instances {
            let instances = self.state.instances().cloned().collect();
            updates.push(FeedUpdate::Instances { complete: true, instances });
        }
        updates.extend(pending.items());
        if pending.proxy_count {
            let count = FeedUpdate::ProxyCount(self.proxy_count());
            self.state.apply(&count);
            self.snapshots.clear();
            updates.push(count);
        }
        updates
    }

    /// How the configuration is sent to a subscriber that has version `known`: as a patch if that fits.
    fn configuration_form(&self, known: u64) -> ConfigurationForm {
        if known >= self.configuration.generation {
            return ConfigurationForm::Absent;
        }
        match &self.configuration.patch {
            Some(patch) if patch.base == known => ConfigurationForm::Patch,
            _ => ConfigurationForm::Complete,
        }
    }

    /// The configuration in this form.
    fn configuration_in(&self, form: ConfigurationForm) -> Option<FeedUpdate> {
        let PublishedConfiguration { generation, document, patch } = &self.configuration;
        let generation = *generation;
        let update = match (form, patch) {
            (ConfigurationForm::Absent, _) => return None,
            (ConfigurationForm::Patch, Some(PublishedPatch { base, patch })) => {
                ConfigurationUpdate::Patch { base_generation: *base, generation, patch: patch.clone() }
            }
            (ConfigurationForm::Patch, None) | (ConfigurationForm::Complete, _) => {
                self.compressed.get_or_init(|| compression::compress(generation, document)).clone()
            }
        };
        Some(FeedUpdate::Configuration(update))
    }

    /// All that a new subscriber with the configuration `generation` needs.
    fn snapshot_for(&mut self, generation: u64) -> SharedUpdates {
        let form = self.configuration_form(generation);
        if let Some(snapshot) = self.snapshots.get(&form) {
            return Rc::clone(snapshot);
        }
        let is_of_state = |update: &FeedUpdate| !matches!(update, FeedUpdate::Configuration(_));
        let state = self.state.snapshot().into_iter().filter(is_of_state);
        let snapshot: SharedUpdates = self.configuration_in(form).into_iter().chain(state).collect();
        self.snapshots.insert(form, Rc::clone(&snapshot));
        snapshot
    }

    fn send(&mut self, now: Duration, connection: ConnectionId, sequence: u64, updates: SharedUpdates) {
        self.subscriptions.batch_sent(now, connection, self.configuration.generation);
        self.actions.push(FeedAction::Send { connection, sequence, updates });
    }
}
