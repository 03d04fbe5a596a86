//! Becoming primary, acting as primary, stepping down.

use super::control_node::ControlNode;
use super::events::Output;
use super::primary::Primary;
use crate::feed::{ConnectionId, FeedAction};
use crate::membership::witnesses::{self, FailureEvidence};
use crate::registry::RegistryChange;
use crate::state::command::Command;
use crate::storage::GroupPlanner;
use pebblepost_messages::control::FromControl;
use std::time::Duration;

/// Time that a new primary gives witnesses to send something before a time-out counts as failure.
const WITNESS_GRACE: Duration = Duration::from_secs(2);

impl ControlNode {
    /// This process is primary of an epoch, maybe already of an earlier one.
    pub(super) fn become_primary(&mut self, now: Duration, epoch: u64) {
        if let Some(primary) = &mut self.primary {
            primary.epoch = epoch;
            return;
        }
        log::info!("became primary epoch={epoch}");
        self.registry.start_grace_period(now);
        self.apply_shutdowns();
        let state = self.group.state();
        let primary = Primary::new(now, epoch, &self.settings, state, &self.registry, self.proxy_count);
        self.primary = Some(primary);
        self.propose_barrier(now);
        self.introduce_epoch(now);
    }

    /// This process is no longer primary.
    pub(super) fn step_down(&mut self, now: Duration) {
        let Some(primary) = self.primary.take() else { return };
        log::info!("stepped down epoch={}", primary.epoch);
        self.abort_requests();
        let (feed, subscribers) = primary.feed.into_parts();
        self.proxy_count = feed.proxy_count();
        self.redirect_all(now, subscribers);
    }

    /// Entries up to an index are committed and applied.
    pub(super) fn committed(&mut self, now: Duration, index: u64) {
        if let Some(primary) = &mut self.primary {
            primary.publish(now, self.group.state());
        }
        self.respond_to_committed(index);
        self.respond_to_group_changes(now, index);
        if let Some(primary) = &mut self.primary {
            primary.storage_plan.committed(now, index);
        }
    }

    pub(super) fn publish_registry_change(&mut self, now: Duration, change: &RegistryChange) {
        if let Some(primary) = &mut self.primary {
            primary.publish_registry_change(now, change);
        }
    }

    pub(super) fn tick_primary(&mut self, now: Duration) {
        let is_acting = self.is_acting(now);
        if is_acting {
            self.propose_barrier(now);
            self.acquire_order_lease(now);
        }
        let Some(primary) = &mut self.primary else { return };
        if is_acting {
            primary.planner.tick(now);
        }
        primary.feed.tick(now);
    }

    /// Periodic checks of a primary.
    pub(super) fn primary_housekeeping(&mut self, now: Duration) {
        self.redirect_if_lapsed(now);
        if !self.is_acting(now) {
            return;
        }
        let change = self.registry.expire(now);
        if let Some(primary) = &mut self.primary {
            primary.publish_registry_change(now, &change);
            primary.complete_instances_if_due(now);
        }
        self.maintain_witnesses(now);
    }

    /// Processes the outputs of the primary's parts.
    pub(super) fn advance_primary(&mut self, now: Duration) {
        self.plan_storage(now);
        self.advance_rollout(now);
        let Some(primary) = &mut self.primary else { return };
        primary.feed.flush_if_due(now);
        for action in primary.feed.take_actions() {
            match action {
                FeedAction::Send { connection, sequence, updates } => {
                    self.inbound.note_sent(now, connection);
                    self.outputs.push(Output::SendFeed { connection, sequence, updates });
                }
                FeedAction::KeepAlive { connection } => self.send(now, connection, FromControl::KeepAlive),
                FeedAction::Disconnect { connection } => self.redirect(now, connection),
            }
        }
    }

    /// The replicated copy of the registrations may lack the newest shutdowns, or all of them after a restart.
    fn apply_shutdowns(&mut self) {
        for (instance, phase) in self.group.state().shutdowns().iter() {
            self.registry.apply_shutdown(instance, phase);
        }
    }

    /// Sends the epoch to all processes, also those without a replica: requests and links wait there for a primary.
    fn introduce_epoch(&mut self, now: Duration) {
        for peer in self.peers.statuses(now) {
            if peer.member.disk != self.settings.me.disk {
                self.group.introduce(&peer.member);
            }
        }
    }

    /// Proposes the barrier of this term, unless it was: with too few disks that may fail at first.
    fn propose_barrier(&mut self, now: Duration) {
        let Some(primary) = self.primary.as_mut().filter(|primary| !primary.barrier.is_proposed()) else {
            return;
        };
        if let Ok(index) = self.group.propose(now, &Command::barrier()) {
            primary.barrier.proposed(index);
        }
    }

    /// Whether nothing that former primaries left undecided can be decided any more: what was not taken stays so.
    pub(super) fn is_past_barrier(&self) -> bool {
        let committed = self.group.committed();
        self.primary.as_ref().is_some_and(|primary| primary.barrier.is_committed(committed))
    }

    fn acquire_order_lease(&mut self, now: Duration) {
        let Some(primary) = &mut self.primary else { return };
        let Some(command) = primary.order_lease.acquisition(now, self.group.state()) else { return };
        if self.group.propose(now, &command).is_ok() {
            primary.order_lease.proposed();
        }
    }

    /// A primary without a valid lease may be partitioned: its subscribers have to look for another one, as they would
    /// be sent nothing new here.
    fn redirect_if_lapsed(&mut self, now: Duration) {
        let is_acting = self.is_acting(now);
        let Some(primary) = &mut self.primary else { return };
        if primary.has_lapsed(now, is_acting) {
            let subscribers: Vec<ConnectionId> = primary.feed.connections().collect();
            self.redirect_all(now, subscribers);
        }
    }

    fn maintain_witnesses(&mut self, now: Duration) {
        let Some(primary) = self.primary.as_ref().filter(|_| !self.group.is_changing()) else { return };
        let is_new = now.saturating_sub(primary.since) < WITNESS_GRACE;
        let evidence = if is_new { FailureEvidence::Replacement } else { FailureEvidence::Timeout };
        let record = self.group.record();
        let peers = self.peers.statuses(now);
        let set_size = self.settings.witness_set_size();
        if let Some(next) = witnesses::next_witness_change(record, &peers, set_size, evidence) {
            let expected_epoch = record.epoch;
            log::info!("proposing other witnesses epoch={expected_epoch}");
            self.group.propose_witnesses(now, expected_epoch, next);
        }
    }

    /// Proposes the next changes of storage, if a plan is due.
    fn plan_storage(&mut self, now: Duration) {
        if !self.is_acting(now) {
            return;
        }
        let Some(primary) = &mut self.primary else { return };
        if !primary.storage_plan.start(now) {
            return;
        }
        let tolerance = &self.settings.tolerance;
        let planner = GroupPlanner { now, state: self.group.state(), nodes: &primary.storage, tolerance };
        for command in planner.plan() {
            log::info!("proposing command: {command}");
            if let Ok(index) = self.group.propose(now, &command) {
                primary.storage_plan.proposed(index);
            }
        }
        if primary.storage_plan.is_in_flight() {
            self.advance_group(now);
        }
    }

    fn advance_rollout(&mut self, now: Duration) {
        let lease_expires_at = self.group.lease_expires_at(now);
        let Some(primary) = &mut self.primary else { return };
        let is_holder = primary.order_lease.is_held(self.group.state());
        let order_until = lease_expires_at.filter(|_| is_holder);
        let node = &self.settings.me.node;
        primary.advance_rollout(now, order_until, node, &mut self.registry, &mut self.outputs);
    }
}
