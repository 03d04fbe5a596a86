//! State that a primary has in addition to the replicated state: the feed, the liveness of storage nodes, the planner
//! of roll-outs and the lease on load orders.

use super::events::Output;
use super::group_changes::GroupChangeRequests;
use super::order_lease::OrderLease;
use super::settings::NodeSettings;
use super::storage_plan::StoragePlanSchedule;
use crate::feed::{FeedPublisher, PublishedConfiguration, PublishedPatch, Urgency};
use crate::load_order;
use crate::registry::{Registry, RegistryChange};
use crate::state::ControlState;
use crate::storage::StorageNodes;
use pebblepost_feed::FeedState;
use pebblepost_messages::batch::STORE_GROUPS;
use pebblepost_messages::feed::{FeedUpdate, ModelVersion, StoreGroup};
use pebblepost_messages::{DiskId, Member};
use pebblepost_replication::barrier::TermBarrier;
use pebblepost_rollout::{LoadOrder, OrderOutcome, PlanOutput, Planner};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time without a valid lease after which a primary redirects its subscribers to other control nodes.
const LAPSED_LEASE_TIMEOUT: Duration = Duration::from_millis(400);

/// State of a primary. It is dropped when the node steps down.
#[derive(Debug)]
pub(super) struct Primary {
    pub(super) epoch: u64,
    /// Time at which this node became primary.
    pub(super) since: Duration,
    pub(super) feed: FeedPublisher,
    pub(super) storage: StorageNodes,
    pub(super) storage_plan: StoragePlanSchedule,
    pub(super) group_changes: GroupChangeRequests,
    pub(super) planner: Planner,
    pub(super) order_lease: OrderLease,
    /// Commit state of the first entry of this term.
    pub(super) barrier: TermBarrier,
    /// Instances that rejected the fencing token of this term, because another holder has used a higher one.
    fenced: BTreeSet<String>,
    /// Time since which the lease of this primary is not valid; `None` while it is.
    lapsed_since: Option<Duration>,
    /// Store groups as they were last published.
    published_groups: BTreeMap<u32, StoreGroup>,
    /// Version of the configuration that the planner was last updated for.
    planner_generation: u64,
    /// Time at which the list of published instances counts as complete; `None` once it does.
    instances_complete_at: Option<Duration>,
}

impl Primary {
    /// Creates a primary that continues from the replicated `state` and from the `registry` and `proxy_count` that it
    /// received as a standby.
    pub(super) fn new(
        now: Duration, epoch: u64, settings: &NodeSettings, state: &ControlState, registry: &Registry,
        proxy_count: u32,
    ) -> Primary {
        let order_lease = OrderLease::new(now, settings.me.disk, state, settings.order_lease);
        let mut primary = Primary {
            epoch,
            since: now,
            feed: FeedPublisher::new(now, inherited_feed_state(registry, proxy_count)),
            storage: StorageNodes::new(now),
            storage_plan: StoragePlanSchedule::new(now),
            group_changes: GroupChangeRequests::default(),
            planner: Planner::new(order_lease.expected_holder_at(now, state)),
            order_lease,
            barrier: TermBarrier::default(),
            fenced: BTreeSet::new(),
            lapsed_since: None,
            published_groups: BTreeMap::new(),
            planner_generation: 0,
            instances_complete_at: Some(registry.grace_period_end()),
        };
        primary.publish(now, state);
        for instance in registry.live() {
            primary.planner.handle_instance_update(now, instance);
        }
        primary
    }

    /// Publishes the changes of the replicated state to the feed, and passes newly named versions to the planner.
    pub(super) fn publish(&mut self, now: Duration, state: &ControlState) {
        self.feed.publish_configuration(now, state.generation(), || published_configuration(state));
        self.publish_groups(now, state);
        let has_newer_versions = self.publish_named_versions(now, state);
        if has_newer_versions || self.planner_generation != state.generation() {
            self.update_planned_versions(now, state);
        }
    }

    /// Publishes changed instances to the feed, and passes them to the planner.
    pub(super) fn publish_registry_change(&mut self, now: Duration, change: &RegistryChange) {
        let urgency = if change.has_shutdown { Urgency::Immediate } else { Urgency::Coalesced };
        self.feed.publish_instances(now, &change.instances, urgency);
        for instance in &change.instances {
            self.planner.handle_instance_update(now, instance);
        }
    }

    /// Marks the list of published instances as complete once the registry's grace period has passed.
    pub(super) fn complete_instances_if_due(&mut self, now: Duration) {
        if self.instances_complete_at.is_some_and(|due| now >= due) {
            self.instances_complete_at = None;
            self.feed.mark_instances_complete(now);
        }
    }

    /// Records whether the lease is valid (`is_acting`), and returns whether it has been invalid for
    /// [`LAPSED_LEASE_TIMEOUT`], so that subscribers have to be redirected.
    pub(super) fn update_lapsed(&mut self, now: Duration, is_acting: bool) -> bool {
        if is_acting {
            self.lapsed_since = None;
            return false;
        }
        let since = *self.lapsed_since.get_or_insert(now);
        now.saturating_sub(since) >= LAPSED_LEASE_TIMEOUT
    }

    /// Processes the outcome of a load order. An instance that has seen a higher fencing token gets no further load
    /// orders in this term.
    pub(super) fn order_answered(&mut self, now: Duration, order: &LoadOrder, answer: OrderOutcome) {
        if answer == OrderOutcome::Fenced && self.fenced.insert(order.instance.clone()) {
            log::warn!(
                "load order rejected: stale fencing token instance={} fencing_token={}",
                order.instance,
                self.epoch
            );
        }
        self.planner.handle_order_outcome(now, order, answer);
    }

    /// Processes the outputs of the roll-out planner. Load orders are sent only under a valid lease, which is given
    /// by its expiry; without one they are reported back to the planner as rejected.
    pub(super) fn advance_rollout(
        &mut self, now: Duration, lease_expires_at: Option<Duration>, node: &str, registry: &mut Registry,
        outputs: &mut Vec<Output>,
    ) {
        for output in self.planner.take_outputs() {
            match (output, lease_expires_at) {
                (PlanOutput::SendOrder(order), Some(send_by)) if !self.fenced.contains(&order.instance) => {
                    log::info!(
                        "load order sent instance={} model={} generation={}",
                        order.instance,
                        order.model,
                        order.generation
                    );
                    let body = load_order::encode_body(&order, node, self.epoch);
                    outputs.push(Output::SendOrder { order, body, send_by });
                }
                (PlanOutput::SendOrder(order), _) => {
                    self.planner.handle_order_outcome(now, &order, OrderOutcome::Rejected);
                }
                (PlanOutput::FetchLoadReport { instance, address }, _) => {
                    outputs.push(Output::FetchLoadReport { instance, address });
                }
                (PlanOutput::VersionLoaded { instance, model, generation }, _) => {
                    let change = registry.version_loaded(&instance, &model, generation);
                    self.publish_registry_change(now, &change);
                }
            }
        }
    }

    fn publish_groups(&mut self, now: Duration, state: &ControlState) {
        let is_new = |group: &StoreGroup| self.published_groups.get(&group.group) != Some(group);
        let groups: Vec<StoreGroup> = feed_groups(state).filter(is_new).collect();
        for group in &groups {
            self.published_groups.insert(group.group, group.clone());
        }
        self.feed.publish_groups(now, groups);
    }

    /// Publishes newly named versions, and returns whether there were any.
    fn publish_named_versions(&mut self, now: Duration, state: &ControlState) -> bool {
        let named = state.named_versions().iter();
        let newer = named.filter(|(model, named)| self.feed.state().named_version(model) < **named);
        let version =
            |(model, named): (&String, &u64)| ModelVersion { model: model.clone(), generation: *named };
        let newer: Vec<ModelVersion> = newer.map(version).collect();
        let has_newer = !newer.is_empty();
        self.feed.publish_named_versions(now, newer);
        has_newer
    }

    fn update_planned_versions(&mut self, now: Duration, state: &ControlState) {
        self.planner_generation = state.generation();
        for (model, generation) in state.named_versions() {
            let is_single = state
                .configuration()
                .is_some_and(|configuration| load_order::requires_single_version(configuration, model));
            self.planner.set_named_version(now, model, *generation, is_single);
        }
    }
}

/// Returns the feed state as this node received it while it was a standby.
fn inherited_feed_state(registry: &Registry, proxy_count: u32) -> FeedState {
    let mut feed = FeedState::default();
    let instances = registry.live().chain(registry.recently_terminated()).cloned().collect();
    feed.apply(&FeedUpdate::Instances { complete: false, instances });
    feed.apply(&FeedUpdate::ProxyCount(proxy_count));
    feed
}

fn published_configuration(state: &ControlState) -> PublishedConfiguration {
    let document = state.configuration().map(|configuration| configuration.document().to_vec());
    let patch = state.last_patch().filter(|patch| patch.generation == state.generation());
    PublishedConfiguration {
        generation: state.generation(),
        document: document.unwrap_or_default(),
        patch: patch.map(|last| PublishedPatch { base: last.base, patch: last.patch.clone() }),
    }
}

/// Returns the store groups in the form of the feed, with the addresses of their disks.
fn feed_groups(state: &ControlState) -> impl Iterator<Item = StoreGroup> {
    let member = |disk: &DiskId| {
        let unknown = || Member { disk: *disk, ..Member::default() };
        state.stores().get(disk).cloned().unwrap_or_else(unknown)
    };
    let groups = state.groups().iter().filter(|(group, _)| **group < STORE_GROUPS);
    groups.map(move |(group, assignment)| StoreGroup {
        group: *group,
        epoch: assignment.epoch.epoch,
        primary: member(&assignment.epoch.primary),
        in_sync: assignment.epoch.in_sync.iter().map(member).collect(),
        targets: assignment.targets.iter().map(member).collect(),
    })
}
