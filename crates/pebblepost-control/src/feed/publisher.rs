//! Sends changes to the subscribers in batches.
//!
//! Changes are coalesced until a flush sends them together. Flushes are numbered, and an acknowledgement confirms all
//! flushes up to a number.

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

/// Time after a takeover in which the former primary's number of proxies is a lower bound, because agents may not have
/// reconnected yet.
const INHERITED_PROXY_COUNT_TIMEOUT: Duration = Duration::from_secs(3);
/// Sequence number of a subscription's first batch.
const FIRST_SEQUENCE: u64 = 1;

/// A configuration patch as it is sent to subscribers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublishedPatch {
    /// Version that the patch is based on.
    pub base: u64,
    /// The patch, JSON.
    pub patch: Vec<u8>,
}

/// A configuration in all forms in which it is sent to subscribers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PublishedConfiguration {
    /// Version of the configuration, 0 for none.
    pub generation: u64,
    /// The complete document.
    pub document: Vec<u8>,
    /// The patch that produced this version, if it was produced by one.
    pub patch: Option<PublishedPatch>,
}

/// Updates of a batch. Subscribers that are sent the same updates share one allocation.
pub type SharedUpdates = Rc<[FeedUpdate]>;

/// Form in which a batch contains the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ConfigurationForm {
    /// The configuration is omitted, because the subscriber has it.
    Absent,
    /// A patch of the version that the subscriber has.
    Patch,
    /// The complete document.
    Complete,
}

/// An action that the caller has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum FeedAction {
    /// Send a batch to a subscriber.
    Send {
        /// Connection of the subscriber.
        connection: ConnectionId,
        /// Sequence number of the batch on the connection.
        sequence: u64,
        /// Updates of the batch.
        updates: SharedUpdates,
    },
    /// Send a keep-alive to a subscriber.
    KeepAlive {
        /// Connection of the subscriber.
        connection: ConnectionId,
    },
    /// Disconnect a subscriber that has timed out.
    Disconnect {
        /// Connection of the subscriber.
        connection: ConnectionId,
    },
}

/// The feed of a primary.
#[derive(Debug)]
pub struct FeedPublisher {
    /// Everything published except the configuration.
    state: FeedState,
    configuration: PublishedConfiguration,
    /// The complete configuration for subscribers to whose version the patch does not apply. It is compressed when
    /// first needed.
    compressed: OnceCell<ConfigurationUpdate>,
    /// Snapshots of the published data for new subscribers, built when first needed.
    snapshots: BTreeMap<ConfigurationForm, SharedUpdates>,
    subscriptions: Subscriptions,
    pending: PendingUpdates,
    /// Number of the newest flush.
    newest_flush: u64,
    /// Number of proxies that the former primary counted, 0 once it has expired.
    inherited_proxy_count: u32,
    inherited_count_expires_at: Duration,
    actions: Vec<FeedAction>,
}

impl FeedPublisher {
    /// Creates a publisher that continues from the feed `state` that this node received as a standby. The list of
    /// instances counts as incomplete until [`Self::mark_instances_complete`].
    pub fn new(now: Duration, state: FeedState) -> FeedPublisher {
        FeedPublisher {
            inherited_proxy_count: state.proxy_count(),
            inherited_count_expires_at: now + INHERITED_PROXY_COUNT_TIMEOUT,
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

    /// Returns everything published except the configuration.
    pub fn state(&self) -> &FeedState {
        &self.state
    }

    /// Ends the publication, and returns the published state and the connections of the subscribers.
    pub fn into_parts(self) -> (FeedState, Vec<ConnectionId>) {
        (self.state, self.subscriptions.into_connections())
    }

    /// Adds a subscriber that has the configuration `generation`, and sends it a snapshot.
    ///
    /// Pending updates are part of the snapshot and are sent again with the next flush. A subscription therefore
    /// needs no flush of its own to the other subscribers, even when all of them subscribe at once.
    pub fn subscribe(
        &mut self, now: Duration, connection: ConnectionId, node: String, role: SubscriberRole,
        generation: u64,
    ) {
        let subscription = Subscription::new(now, node, role, self.newest_flush, generation);
        self.subscriptions.insert(connection, subscription);
        let updates = self.snapshot_for(generation);
        self.send(now, connection, FIRST_SEQUENCE, updates);
        if role == SubscriberRole::Agent {
            self.schedule_proxy_count(now);
        }
    }

    /// Removes a subscriber.
    pub fn unsubscribe(&mut self, now: Duration, connection: ConnectionId) {
        if self.subscriptions.remove(connection) == Some(SubscriberRole::Agent) {
            self.schedule_proxy_count(now);
        }
    }

    /// Records that a message arrived from a subscriber, which restarts its time-out.
    pub fn record_message(&mut self, now: Duration, connection: ConnectionId) {
        self.subscriptions.record_message(now, connection);
    }

    /// Processes an acknowledgement.
    pub fn acknowledge(&mut self, now: Duration, connection: ConnectionId, reply: &FeedReply) {
        self.subscriptions.acknowledge(now, connection, reply, self.newest_flush);
    }

    /// Publishes a configuration immediately, if `generation` is newer than the published one.
    pub fn publish_configuration(
        &mut self, now: Duration, generation: u64, configuration: impl FnOnce() -> PublishedConfiguration,
    ) {
        if generation <= self.configuration.generation {
            return;
        }
        self.configuration = configuration();
        self.compressed = OnceCell::new();
        self.pending.configuration = true;
        self.invalidate_and_schedule(now, Urgency::Immediate);
    }

    /// Publishes new or changed instances.
    pub fn publish_instances(&mut self, now: Duration, instances: &[Instance], urgency: Urgency) {
        if instances.is_empty() {
            return;
        }
        self.state.apply(&FeedUpdate::Instances { complete: false, instances: instances.to_vec() });
        self.pending.add_instances(instances);
        self.invalidate_and_schedule(now, urgency);
    }

    /// Marks the list of published instances as complete. Subscribers treat instances that are not in it as terminated.
    pub fn mark_instances_complete(&mut self, now: Duration) {
        self.state.set_instances_complete();
        self.pending.all_instances = true;
        self.invalidate_and_schedule(now, Urgency::Coalesced);
    }

    /// Publishes store groups immediately, because jobs wait for them.
    pub fn publish_groups(&mut self, now: Duration, groups: Vec<StoreGroup>) {
        if groups.is_empty() {
            return;
        }
        self.state.apply(&FeedUpdate::StoreGroups(groups.clone()));
        self.pending.add_groups(groups);
        self.invalidate_and_schedule(now, Urgency::Immediate);
    }

    /// Publishes named versions immediately.
    pub fn publish_named_versions(&mut self, now: Duration, versions: Vec<ModelVersion>) {
        if versions.is_empty() {
            return;
        }
        self.state.apply(&FeedUpdate::NamedVersions(versions.clone()));
        self.pending.add_named_versions(versions);
        self.invalidate_and_schedule(now, Urgency::Immediate);
    }

    /// Returns the number of the newest flush.
    pub fn newest_flush(&self) -> u64 {
        self.newest_flush
    }

    /// Returns whether every subscriber has acknowledged all flushes up to `flush`.
    pub fn is_acknowledged(&self, flush: u64) -> bool {
        self.subscriptions.is_acknowledged(flush)
    }

    /// Sends all pending updates to all subscribers. Has no effect if none are pending.
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
            let sequence = subscription.batch_sequence(self.newest_flush);
            let form = self.configuration_form(subscription.sent_generation());
            let batch = batches.entry(form).or_insert_with(|| {
                self.configuration_update(form).into_iter().chain(common.iter().cloned()).collect()
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

    /// Sends updates that are due and keep-alives, disconnects subscribers that have timed out, and expires the
    /// inherited number of proxies.
    pub fn tick(&mut self, now: Duration) {
        if now >= self.inherited_count_expires_at && self.inherited_proxy_count > 0 {
            self.inherited_proxy_count = 0;
            self.schedule_proxy_count(now);
        }
        self.flush_if_due(now);
        for connection in self.subscriptions.timed_out(now) {
            self.actions.push(FeedAction::Disconnect { connection });
            self.unsubscribe(now, connection);
        }
        for connection in self.subscriptions.idle(now) {
            self.subscriptions.record_keep_alive(now, connection);
            self.actions.push(FeedAction::KeepAlive { connection });
        }
    }

    /// Returns when pending updates are due, or `None` if there are none.
    pub fn due_at(&self) -> Option<Duration> {
        self.pending.due_at()
    }

    /// Returns the connections of all subscribers.
    pub fn connections(&self) -> impl Iterator<Item = ConnectionId> {
        self.subscriptions.connections()
    }

    /// Returns the status of all subscribers for operators.
    pub fn subscribers(&self) -> Vec<SubscriberStatus> {
        self.subscriptions.statuses(self.newest_flush)
    }

    /// Removes and returns the pending actions, in the order in which they have to be carried out.
    pub fn take_actions(&mut self) -> Vec<FeedAction> {
        std::mem::take(&mut self.actions)
    }

    /// Discards the outdated snapshots and schedules a flush after a change of the published data.
    fn invalidate_and_schedule(&mut self, now: Duration, urgency: Urgency) {
        self.snapshots.clear();
        self.schedule(now, urgency);
    }

    fn schedule(&mut self, now: Duration, urgency: Urgency) {
        self.pending.schedule(now, urgency, self.subscriptions.len());
    }

    fn schedule_proxy_count(&mut self, now: Duration) {
        self.pending.proxy_count = true;
        self.schedule(now, Urgency::Coalesced);
    }

    /// Returns the number of proxies, at least 1. Proxies divide quotas by it.
    fn proxy_count(&self) -> u32 {
        let agents = u32::try_from(self.subscriptions.agent_count()).unwrap_or(u32::MAX);
        agents.max(self.inherited_proxy_count).max(1)
    }

    /// Returns the updates of a flush that are the same for all subscribers.
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

    /// Returns the form of the configuration for a subscriber that has version `known`. A patch is used if it applies
    /// to that version.
    fn configuration_form(&self, known: u64) -> ConfigurationForm {
        if known >= self.configuration.generation {
            return ConfigurationForm::Absent;
        }
        match &self.configuration.patch {
            Some(patch) if patch.base == known => ConfigurationForm::Patch,
            _ => ConfigurationForm::Complete,
        }
    }

    /// Returns the update with the configuration in this form.
    fn configuration_update(&self, form: ConfigurationForm) -> Option<FeedUpdate> {
        let PublishedConfiguration { generation, document, patch } = &self.configuration;
        let generation = *generation;
        let update = match (form, patch) {
            (ConfigurationForm::Absent, _) => return None,
            (ConfigurationForm::Patch, Some(PublishedPatch { base, patch })) => {
                ConfigurationUpdate::Patch { base_generation: *base, generation, patch: patch.clone() }
            }
            (ConfigurationForm::Patch, None) | (ConfigurationForm::Complete, _) => self
                .compressed
                .get_or_init(|| compression::compress_configuration(generation, document))
                .clone(),
        };
        Some(FeedUpdate::Configuration(update))
    }

    /// Returns a snapshot of the published data for a subscriber that has the configuration `generation`.
    fn snapshot_for(&mut self, generation: u64) -> SharedUpdates {
        let form = self.configuration_form(generation);
        if let Some(snapshot) = self.snapshots.get(&form) {
            return Rc::clone(snapshot);
        }
        let is_not_configuration = |update: &FeedUpdate| !matches!(update, FeedUpdate::Configuration(_));
        let state = self.state.snapshot().into_iter().filter(is_not_configuration);
        let snapshot: SharedUpdates = self.configuration_update(form).into_iter().chain(state).collect();
        self.snapshots.insert(form, Rc::clone(&snapshot));
        snapshot
    }

    fn send(&mut self, now: Duration, connection: ConnectionId, sequence: u64, updates: SharedUpdates) {
        self.subscriptions.record_batch(now, connection, self.configuration.generation);
        self.actions.push(FeedAction::Send { connection, sequence, updates });
    }
}
