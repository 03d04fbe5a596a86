//! What only the acting primary does: the feed, the storage machines, orders to transcribers, the
//! witness set.

use super::calls::WaitingChange;
use super::{Core, Output};
use crate::feed::{FeedAction, FeedPublisher, PublishedConfiguration};
use crate::membership::witnesses::{self, FailureEvidence};
use crate::orders;
use crate::state::ControlState;
use crate::state::command::Command;
use crate::storage::{GroupPlanner, StorageNodes};
use pebblepost_feed::FeedState;
use pebblepost_messages::batch::STORE_GROUPS;
use pebblepost_messages::feed::{FeedUpdate, ModelVersion, StoreGroup};
use pebblepost_messages::{DiskId, Member};
use pebblepost_rollout::{Order, OrderAnswer, PlanOutput, Planner, Reported};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Added to the lease of orders before a new holder sends its first one.
const ORDER_SLACK: Duration = Duration::from_millis(300);
/// Time for the entry by which a primary becomes the holder of orders to be committed.
const TAKE_OVER_TIME: Duration = Duration::from_millis(100);
/// Pause between looks at the groups of batch jobs when nothing happened.
const PLAN_EVERY: Duration = Duration::from_millis(250);
/// Time in which a new primary has to hear witnesses before their silence counts.
const WITNESS_GRACE: Duration = Duration::from_secs(2);
/// Time without a lease after which a primary sends its subscribers elsewhere.
const LEAST_TIME_NOT_ACTING: Duration = Duration::from_millis(400);

/// What the acting primary keeps beside the replicated state.
#[derive(Debug)]
pub(super) struct Primary {
    pub(super) epoch: u64,
    pub(super) since: Duration,
    pub(super) feed: FeedPublisher,
    pub(super) stores: StorageNodes,
    pub(super) planner: Planner,
    /// Orders of another holder are old from then on.
    orders_from: Duration,
    /// This process has proposed to be the holder of orders.
    hold_proposed: bool,
    pub(super) changes: BTreeMap<u64, WaitingChange>,
    pub(super) plan_at: Duration,
    /// Entries of the last plan that are not committed.
    planned: BTreeSet<u64>,
    not_acting_since: Option<Duration>,
    published_groups: BTreeMap<u32, StoreGroup>,
    planned_generation: u64,
    list_complete_at: Option<Duration>,
}

impl Core {
    pub(super) fn became_primary(&mut self, now: Duration, epoch: u64) {
        if let Some(primary) = &mut self.primary {
            primary.epoch = epoch;
            return;
        }
        log::info!("primary of epoch {epoch}");
        self.registry.start_grace_period(now);
        self.recall_departures();
        let orders_from = now + self.wait_for_orders_of_others();
        self.primary = Some(Primary {
            epoch,
            since: now,
            feed: self.first_feed(now),
            stores: StorageNodes::new(now),
            planner: Planner::new(if self.holds_orders() { now } else { orders_from + TAKE_OVER_TIME }),
            orders_from,
            hold_proposed: false,
            changes: BTreeMap::new(),
            plan_at: now,
            planned: BTreeSet::new(),
            not_acting_since: None,
            published_groups: BTreeMap::new(),
            planned_generation: 0,
            list_complete_at: Some(self.registry.grace_until()),
        });
        self.publish(now);
        self.teach_planner(now);
        self.introduce_epoch(now);
    }

    /// The copy of the registrations may lack the newest departures, or all of them after a restart.
    fn recall_departures(&mut self) {
        for (instance, departure) in self.group.replica.state().shutdowns().iter() {
            self.registry.apply_shutdown(instance, departure);
        }
    }

    /// How long a new primary orders nothing: another one may have done so just before.
    fn wait_for_orders_of_others(&self) -> Duration {
        let holder = self.state().order_lease_holder();
        let is_other = holder != DiskId::default() && holder != self.settings.me.disk;
        if is_other { self.settings.order_lease + ORDER_SLACK } else { Duration::ZERO }
    }

    /// Whether the replicated state says that this process orders transcribers: a successor can tell then.
    fn holds_orders(&self) -> bool {
        self.state().order_lease_holder() == self.settings.me.disk
    }

    /// Becomes the holder of orders once those of another one are old.
    fn take_orders_over(&mut self, now: Duration) {
        let holds = self.holds_orders();
        let Some(primary) = &mut self.primary else { return };
        if holds || primary.hold_proposed || now < primary.orders_from {
            return;
        }
        let command = Command::AcquireOrderLease { holder: self.settings.me.disk };
        primary.hold_proposed = self.group.replica.propose(now, command.encode()).is_ok();
    }

    /// Whoever is connected learns of the epoch, also those that hold nothing: callers and links wait there.
    fn introduce_epoch(&mut self, now: Duration) {
        for standing in self.peers.statuses(now) {
            if standing.member.disk != self.settings.me.disk {
                self.group.introduce(&standing.member);
            }
        }
    }

    fn first_feed(&self, now: Duration) -> FeedPublisher {
        let mut state = FeedState::default();
        let known = self.registry.live().chain(self.registry.recently_terminated());
        let instances = known.cloned().collect();
        state.apply(&FeedUpdate::Instances { complete: false, instances });
        state.apply(&FeedUpdate::ProxyCount(self.proxy_count));
        FeedPublisher::new(now, state)
    }

    pub(super) fn stopped(&mut self, now: Duration) {
        let Some(primary) = self.primary.take() else { return };
        log::info!("no primary any more (epoch {})", primary.epoch);
        self.abandon_calls();
        let (state, subscribers) = primary.feed.into_parts();
        self.proxy_count = state.proxy_count();
        self.send_elsewhere(now, subscribers);
    }

    /// A primary whose lease has run out may be cut off: whoever is fed by it has to look for
    /// another, as it would hear of nothing new here.
    fn release_subscribers(&mut self, now: Duration) {
        let acting = self.is_acting(now);
        let Some(primary) = &mut self.primary else { return };
        if acting {
            primary.not_acting_since = None;
            return;
        }
        let since = *primary.not_acting_since.get_or_insert(now);
        if now.saturating_sub(since) < LEAST_TIME_NOT_ACTING {
            return;
        }
        let subscribers: Vec<_> = primary.feed.connections().collect();
        self.send_elsewhere(now, subscribers);
    }

    /// Entries up to an index are committed and applied.
    pub(super) fn committed(&mut self, now: Duration, index: u64) {
        self.publish(now);
        self.answer_committed(now, index);
        if let Some(primary) = &mut self.primary {
            primary.planned.retain(|planned| *planned > index);
            primary.plan_at = now;
        }
    }

    /// Passes on what changed in the replicated state.
    fn publish(&mut self, now: Duration) {
        let state = self.group.replica.state();
        let Some(primary) = &mut self.primary else { return };
        primary.feed.publish_configuration(now, state.generation(), || published(state));
        let groups: Vec<StoreGroup> = feed_groups(state)
            .into_iter()
            .filter(|group| primary.published_groups.get(&group.group) != Some(group))
            .collect();
        for group in &groups {
            primary.published_groups.insert(group.group, group.clone());
        }
        primary.feed.publish_groups(now, groups);
        let versions = state.named_versions().iter();
        let newer = versions.filter(|(model, named)| primary.feed.state().named_version(model) < **named);
        let version =
            |(model, named): (&String, &u64)| ModelVersion { model: model.clone(), generation: *named };
        let newer: Vec<ModelVersion> = newer.map(version).collect();
        let named = !newer.is_empty();
        primary.feed.publish_named_versions(now, newer);
        if named || primary.planned_generation != state.generation() {
            self.teach_versions(now);
        }
    }

    fn teach_versions(&mut self, now: Duration) {
        let state = self.group.replica.state();
        let Some(primary) = &mut self.primary else { return };
        primary.planned_generation = state.generation();
        for (model, generation) in state.named_versions() {
            let single =
                state.configuration().is_some_and(|known| orders::needs_single_version(known, model));
            primary.planner.name_version(now, model, *generation, single);
        }
    }

    fn teach_planner(&mut self, now: Duration) {
        let Some(primary) = &mut self.primary else { return };
        for instance in self.registry.live() {
            primary.planner.instance(now, instance);
        }
    }

    pub(super) fn order_answered(&mut self, now: Duration, order: &Order, answer: OrderAnswer) {
        if let Some(primary) = &mut self.primary {
            primary.planner.order_answered(now, order, answer);
        }
    }

    pub(super) fn reported(&mut self, now: Duration, instance: &str, report: Option<Reported>) {
        if let Some(primary) = &mut self.primary {
            primary.planner.reported(now, instance, report);
        }
    }

    pub(super) fn tick_primary(&mut self, now: Duration) {
        let acting = self.is_acting(now);
        if acting {
            self.take_orders_over(now);
        }
        let Some(primary) = &mut self.primary else { return };
        if acting {
            primary.planner.tick(now);
        }
        primary.feed.tick(now);
    }

    /// Looks over registrations and witnesses.
    pub(super) fn look_over_primary(&mut self, now: Duration) {
        self.release_subscribers(now);
        if !self.is_acting(now) {
            return;
        }
        let change = self.registry.expire(now);
        self.registry_changed(now, &change);
        if let Some(primary) = &mut self.primary
            && primary.list_complete_at.is_some_and(|due| now >= due)
        {
            primary.list_complete_at = None;
            primary.feed.complete_list(now);
        }
        self.look_over_witnesses(now);
    }

    fn look_over_witnesses(&mut self, now: Duration) {
        let Some(primary) = self.primary.as_ref().filter(|_| !self.group.is_changing()) else { return };
        let is_early = now.saturating_sub(primary.since) < WITNESS_GRACE;
        let evidence = if is_early { FailureEvidence::Replacement } else { FailureEvidence::Timeout };
        let record = self.group.replica.record();
        let standings = self.peers.statuses(now);
        let wanted = self.settings.wanted_witnesses();
        let change = witnesses::next_change(record, &standings, wanted, evidence);
        if let Some(next) = change {
            let expected = record.epoch;
            log::info!("changing the witnesses of epoch {expected}");
            self.group.propose_witnesses(now, expected, next);
        }
    }

    /// Carries out what the primary's parts want.
    pub(super) fn settle_primary(&mut self, now: Duration) {
        self.plan_stores(now);
        self.settle_planner(now);
        let Some(primary) = &mut self.primary else { return };
        primary.feed.flush_due(now);
        for output in primary.feed.take_actions() {
            match output {
                FeedAction::Send(connection, message) => self.send(now, connection, message),
                FeedAction::Disconnect(connection) => self.redirect(now, connection),
            }
        }
    }

    fn plan_stores(&mut self, now: Duration) {
        if !self.is_acting(now) {
            return;
        }
        let state: &ControlState = self.group.replica.state();
        let Some(primary) = &mut self.primary else { return };
        if now < primary.plan_at || !primary.planned.is_empty() {
            return;
        }
        primary.plan_at = now + PLAN_EVERY;
        let tolerance = &self.settings.tolerance;
        let planner = GroupPlanner { now, state, nodes: &primary.stores, tolerance };
        for command in planner.plan() {
            log::info!("proposing command: {}", command);
            if let Ok(index) = self.group.replica.propose(now, command.encode()) {
                primary.planned.insert(index);
            }
        }
        if !primary.planned.is_empty() {
            self.settle_group(now);
        }
    }

    fn settle_planner(&mut self, now: Duration) {
        let may_order = self.is_acting(now) && self.holds_orders();
        let Some(primary) = &mut self.primary else { return };
        let epoch = primary.epoch;
        for output in primary.planner.take_outputs() {
            match output {
                PlanOutput::Send(order) if may_order => {
                    log::info!(
                        "ordering {} to load version {} of {}",
                        order.instance,
                        order.generation,
                        order.model
                    );
                    let body = orders::body(&order, &self.settings.me.node, epoch);
                    self.outputs.push(Output::SendOrder { order, body, decided: now });
                }
                PlanOutput::Send(order) => self.order_answered(now, &order, OrderAnswer::Refused),
                PlanOutput::Ask { instance, address } => {
                    self.outputs.push(Output::AskReport { instance, address });
                }
                PlanOutput::Holds { instance, model, generation } => {
                    let change = self.registry.version_loaded(&instance, &model, generation);
                    self.registry_changed(now, &change);
                }
            }
        }
    }
}

fn published(state: &ControlState) -> PublishedConfiguration {
    let document = state.configuration().map(|known| known.document().to_vec());
    let patch = state.last_patch().filter(|patch| patch.generation == state.generation());
    PublishedConfiguration {
        generation: state.generation(),
        document: document.unwrap_or_default(),
        patch: patch.map(|patch| (patch.base, patch.patch.clone())),
    }
}

/// The groups as the feed publishes them.
fn feed_groups(state: &ControlState) -> Vec<StoreGroup> {
    let member = |disk: &DiskId| {
        let unknown = || Member { disk: *disk, ..Member::default() };
        state.stores().get(disk).cloned().unwrap_or_else(unknown)
    };
    let groups = state.groups().iter().filter(|(group, _)| **group < STORE_GROUPS);
    let feed = groups.map(|(group, assignment)| StoreGroup {
        group: *group,
        epoch: assignment.epoch.epoch,
        primary: member(&assignment.epoch.primary),
        in_sync: assignment.epoch.in_sync.iter().map(member).collect(),
        targets: assignment.targets.iter().map(member).collect(),
    });
    feed.collect()
}
