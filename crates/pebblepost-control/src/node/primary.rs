//! What a primary has beside the replicated state: the feed, liveness of storage nodes, the planner of version
//! roll-outs and the lease on its orders.

use super::events::Output;
use super::group_changes::GroupChangeRequests;
use super::order_lease::OrderLease;
use super::settings::NodeSettings;
use super::storage_plan::StoragePlan;
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

/// Time without a valid lease after which a primary redirects its subscribers.
const LAPSED_LEASE_TIMEOUT: Duration = Duration::from_millis(400);

/// State of a primary. It ends when the process steps down.
#[derive(Debug)]
pub(super) struct Primary {
    pub(super) epoch: u64,
    /// When this process became primary.
    pub(super) since: Duration,
    pub(super) feed: FeedPublisher,
    pub(super) storage: StorageNodes,
    pub(super) storage_plan: StoragePlan,
    pub(super) group_changes: GroupChangeRequests,
    pub(super) planner: Planner,
    pub(super) order_lease: OrderLease,
    /// The first entry of this term.
    pub(super) barrier: TermBarrier,
    /// Transcribers that have rejected the fencing token of this term: another holder has used a higher one.
    fenced: BTreeSet<String>,
    /// Since when the lease of this primary is not valid.
    lapsed_since: Option<Duration>,
    published_groups: BTreeMap<u32, StoreGroup>,
    /// Version of the configuration that the planner has.
    planned_generation: u64,
    /// When the published transcribers become complete; `None` if they are.
    instances_complete_at: Option<Duration>,
}

impl Primary {
    /// A primary that continues from the replicated `state` and the `registry` and `proxy_count` of a standby.
    pub(super) fn new(
        now: Duration, epoch: u64, settings: &NodeSettings, state: &ControlState, registry: &Registry,
        proxy_count: u32,
    ) -> Primary {
        let order_lease = OrderLease::new(now, settings.me.disk, state, settings.order_lease);
        let mut primary = Primary {
            epoch,
            since: now,
            feed: FeedPublisher::new(now, first_feed(registry, proxy_count)),
            storage: StorageNodes::new(now),
            storage_plan: StoragePlan::new(now),
            group_changes: GroupChangeRequests::default(),
            planner: Planner::new(order_lease.expected_at(now, state)),
            order_lease,
            barrier: TermBarrier::default(),
            fenced: BTreeSet::new(),
            lapsed_since: None,
            published_groups: BTreeMap::new(),
            planned_generation: 0,
            instances_complete_at: Some(registry.grace_period_end()),
        };
        primary.publish(now, state);
        for instance in registry.live() {
            primary.planner.instance_announced(now, instance);
        }
        primary
    }

    /// Publishes what has changed in the replicated state.
    pub(super) fn publish(&mut self, now: Duration, state: &ControlState) {
        self.feed.publish_configuration(now, state.generation(), || published_configuration(state));
        self.publish_groups(now, state);
        let has_newer_versions = self.publish_named_versions(now, state);
        if has_newer_versions || self.planned_generation != state.generation() {
            self.update_planned_versions(now, state);
        }
    }

    /// Publishes what has changed in the registry.
    pub(super) fn publish_registry_change(&mut self, now: Duration, change: &RegistryChange) {
        let urgency = if change.has_shutdown { Urgency::Immediate } else { Urgency::Coalesced };
        self.feed.publish_instances(now, &change.instances, urgency);
        for instance in &change.instances {
            self.planner.instance_announced(now, instance);
        }
    }

    /// Declares the published transcribers complete once the registry's grace period has passed.
    pub(super) fn complete_instances_if_due(&mut self, now: Duration) {
        if self.instances_complete_at.is_some_and(|due| now >= due) {
            self.instances_complete_at = None;
            self.feed.mark_instances_complete(now);
        }
    }

    /// Whether the lease has not been valid for so long that subscribers should be redirected.
    pub(super) fn has_lapsed(&mut self, now: Duration, is_acting: bool) -> bool {
        if is_acting {
            self.lapsed_since = None;
            return false;
        }
        let since = *self.lapsed_since.get_or_insert(now);
        now.saturating_sub(since) >= LAPSED_LEASE_TIMEOUT
    }

    /// A transcriber answered a load order. One that has seen a higher fencing token gets no more orders with this one.
    pub(super) fn order_answered(&mut self, now: Duration, order: &LoadOrder, answer: OrderOutcome) {
        if answer == OrderOutcome::Fenced && self.fenced.insert(order.instance.clone()) {
            log::warn!("load order fenced instance={} fencing_token={}", order.instance, self.epoch);
        }
        self.planner.order_answered(now, order, answer);
    }

    /// Processes the outputs of the roll-out planner. Load orders are sent under a lease only, and not after its end.
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
                    self.planner.order_answered(now, &order, OrderOutcome::Rejected);
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

    /// Whether there were newer versions than those published.
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
        self.planned_generation = state.generation();
        for (model, generation) in state.named_versions() {
            let is_single = state
                .configuration()
                .is_some_and(|configuration| load_order::requires_single_version(configuration, model));
            self.planner.name_version(now, model, *generation, is_single);
        }
    }
}

/// The feed as a standby has replicated it.
fn first_feed(registry: &Registry, proxy_count: u32) -> FeedState {
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

/// The groups in the form of the feed, with the addresses of their disks.
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
