//! Routing of inputs to components, and the order in which the components are processed after each input.

use super::control_group::GroupEvent;
use super::control_node::ControlNode;
use super::events::Input;
use std::net::SocketAddr;
use std::time::Duration;

/// Interval of the periodic checks of links, registrations and peers.
const PERIODIC_CHECK_INTERVAL: Duration = Duration::from_millis(250);

impl ControlNode {
    /// Processes an input. The resulting actions are returned by [`ControlNode::take_outputs`].
    pub fn handle(&mut self, now: Duration, input: Input) {
        match input {
            Input::Request { id, request } => self.handle_request(now, id, request),
            Input::Message { connection, message } => self.handle_message(now, connection, message),
            Input::Disconnected { connection } => self.handle_disconnected(now, connection),
            Input::PeerConnected { address } => self.handle_peer_connected(now, &address),
            Input::PeerMessage { address, message } => self.handle_peer_message(now, &address, message),
            Input::PeerDisconnected { address } => self.peer_links.remove(&address),
            Input::Persisted { write } => self.group.handle_persisted(now, write),
            Input::OrderAnswered { order, answer } => {
                if let Some(primary) = &mut self.primary {
                    primary.order_answered(now, &order, answer);
                }
            }
            Input::LoadReported { instance, report } => {
                if let Some(primary) = &mut self.primary {
                    primary.planner.handle_report(now, &instance, report);
                }
            }
            Input::SeedsChanged(seeds) => self.set_seeds(seeds),
            Input::Terminate => self.group.hand_over(now),
            Input::Tick => self.tick(now),
        }
        self.advance(now);
    }

    /// Runs the time-outs of the control group. A primary skips the reachability of its peers, which only matters for
    /// an election.
    pub(super) fn tick_group(&mut self, now: Duration) {
        if self.primary.is_none() {
            self.group.set_reachable(self.peers.reachable(now));
        }
        self.group.tick(now);
    }

    /// Processes all outputs of the register and the replica, and the events that follow from them.
    pub(super) fn advance_group(&mut self, now: Duration) {
        while let Some(event) = self.group.poll(now, &mut self.outputs) {
            match event {
                GroupEvent::Committed { index } => self.handle_committed(now, index),
                GroupEvent::BecamePrimary { epoch } => self.become_primary(now, epoch),
                GroupEvent::SteppedDown => self.step_down(now),
            }
        }
    }

    fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.settings.seeds = seeds;
        self.peers.set_seeds(self.settings.seed_links());
    }

    fn tick(&mut self, now: Duration) {
        self.tick_group(now);
        self.tick_primary(now);
        self.expire_requests(now);
        if now >= self.next_periodic_checks {
            self.next_periodic_checks = now + PERIODIC_CHECK_INTERVAL;
            self.run_periodic_checks(now);
        }
    }

    fn run_periodic_checks(&mut self, now: Duration) {
        self.peers.expire(now, self.group.record());
        self.peer_links.send_keep_alives(now, self.primary.is_some(), &mut self.outputs);
        self.inbound.send_keep_alives(now, &mut self.outputs);
        self.advertise_members(now);
        self.subscribe_to_primary(now);
        self.run_primary_checks(now);
    }

    /// Processes everything that follows from the last input. The order of the calls is significant: it determines the
    /// order of the outputs.
    fn advance(&mut self, now: Duration) {
        self.advance_group(now);
        self.serve_deferred(now);
        self.advance_primary(now);
        self.respond_to_shutdowns(now);
        self.peer_links.set_addresses(self.peers.addresses_to_dial(self.group.record()), &mut self.outputs);
    }
}
