//! Taking over as primary, the duties of a primary, and stepping down.

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

/// Time after a takeover in which the silence of a witness does not count as its failure.
const WITNESS_GRACE_PERIOD: Duration = Duration::from_secs(2);

impl ControlNode {
    /// Starts to act as primary of an epoch. If this node was primary of the previous epoch already, only the epoch
    /// changes.
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
        self.announce_epoch_to_peers(now);
    }

    /// Drops the primary state, aborts waiting requests and redirects subscribers.
    pub(super) fn step_down(&mut self, now: Duration) {
        let Some(primary) = self.primary.take() else { return };
        log::info!("stepped down epoch={}", primary.epoch);
        self.abort_requests();
        let (feed, subscribers) = primary.feed.into_parts();
        self.proxy_count = feed.proxy_count();
        self.redirect_all(now, subscribers);
    }

    /// Publishes and answers what follows from the commit of all entries up to `index`.
    pub(super) fn handle_committed(&mut self, now: Duration, index: u64) {
        if let Some(primary) = &mut self.primary {
            primary.publish(now, self.group.state());
        }
        self.respond_to_committed(index);
        self.respond_to_group_changes(now, index);
        if let Some(primary) = &mut self.primary {
            primary.storage_plan.record_committed(now, index);
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

    /// Runs the periodic checks of a primary: its lease, expired registrations and witnesses.
    pub(super) fn run_primary_checks(&mut self, now: Duration) {
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

    /// Processes the outputs of the primary's components.
    pub(super) fn advance_primary(&mut self, now: Duration) {
        self.plan_storage(now);
        self.advance_rollout(now);
        let Some(primary) = &mut self.primary else { return };
        primary.feed.flush_if_due(now);
        for action in primary.feed.take_actions() {
            match action {
                FeedAction::Send { connection, sequence, updates } => {
                    self.inbound.record_sent(now, connection);
                    self.outputs.push(Output::SendFeed { connection, sequence, updates });
                }
                FeedAction::KeepAlive { connection } => self.send(now, connection, FromControl::KeepAlive),
                FeedAction::Disconnect { connection } => self.redirect(now, connection),
            }
        }
    }

    /// Applies the replicated graceful shutdowns to the registry, whose copy from the former primary's feed may lack
    /// the newest ones, or all of them after a restart.
    fn apply_shutdowns(&mut self) {
        for (instance, phase) in self.group.state().shutdowns().iter() {
            self.registry.apply_shutdown(instance, phase);
        }
    }

    /// Sends the epoch to all known control nodes, including those without a replica, where requests and links may wait
    /// for a primary.
    fn announce_epoch_to_peers(&mut self, now: Duration) {
        for peer in self.peers.statuses(now) {
            if peer.member.disk != self.settings.me.disk {
                self.group.announce_epoch(&peer.member);
            }
        }
    }

    /// Proposes the barrier of this term unless it was proposed already. A proposal fails while too few replicas are
    /// available, so it is repeated on each tick.
    fn propose_barrier(&mut self, now: Duration) {
        let Some(primary) = self.primary.as_mut().filter(|primary| !primary.barrier.is_proposed()) else {
            return;
        };
        if let Ok(index) = self.group.propose(now, &Command::barrier()) {
            primary.barrier.set_index(index);
        }
    }

    /// Returns whether the barrier of this term is committed. From then on no uncommitted entry of a former primary
    /// can be committed any more.
    pub(super) fn is_barrier_committed(&self) -> bool {
        let committed = self.group.commit_index();
        self.primary.as_ref().is_some_and(|primary| primary.barrier.is_committed(committed))
    }

    fn acquire_order_lease(&mut self, now: Duration) {
        let Some(primary) = &mut self.primary else { return };
        let Some(command) = primary.order_lease.due_acquisition(now, self.group.state()) else { return };
        if self.group.propose(now, &command).is_ok() {
            primary.order_lease.mark_proposed();
        }
    }

    /// Redirects all subscribers if the lease has been invalid for too long. This primary may be partitioned then,
    /// and would send its subscribers nothing new.
    fn redirect_if_lapsed(&mut self, now: Duration) {
        let is_acting = self.is_acting(now);
        let Some(primary) = &mut self.primary else { return };
        if primary.update_lapsed(now, is_acting) {
            let subscribers: Vec<ConnectionId> = primary.feed.connections().collect();
            self.redirect_all(now, subscribers);
        }
    }

    fn maintain_witnesses(&mut self, now: Duration) {
        let Some(primary) = self.primary.as_ref().filter(|_| !self.group.is_changing()) else { return };
        let is_new = now.saturating_sub(primary.since) < WITNESS_GRACE_PERIOD;
        let evidence = if is_new { FailureEvidence::Replacement } else { FailureEvidence::Timeout };
        let record = self.group.record();
        let peers = self.peers.statuses(now);
        let set_size = self.settings.witness_set_size();
        if let Some(next) = witnesses::next_witness_change(record, &peers, set_size, evidence) {
            let expected_epoch = record.epoch;
            log::info!("proposing witness set change epoch={expected_epoch}");
            self.group.propose_witnesses(now, expected_epoch, next);
        }
    }

    /// Proposes the next changes of the store groups, if a plan is due.
    fn plan_storage(&mut self, now: Duration) {
        if !self.is_acting(now) {
            return;
        }
        let Some(primary) = &mut self.primary else { return };
        if !primary.storage_plan.start_if_due(now) {
            return;
        }
        let tolerance = &self.settings.tolerance;
        let planner = GroupPlanner { now, state: self.group.state(), nodes: &primary.storage, tolerance };
        for command in planner.plan() {
            log::info!("proposing command: {command}");
            if let Ok(index) = self.group.propose(now, &command) {
                primary.storage_plan.record_proposed(index);
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
