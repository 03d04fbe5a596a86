//! HTTP requests. They are answered immediately or after a commit, or are redirected to the primary.

use super::control_node::ControlNode;
use super::events::{Output, RequestId};
use crate::api::{HttpRequest, HttpResponse, Operation};
use crate::state::command::{Command, ConfigurationChange, Outcome, RetirementError};
use crate::state::shutdowns::ShutdownPhase;
use crate::storage::GroupPlanner;
use pebblepost_messages::feed::{Instance, InstanceState};
use pebblepost_replication::replica::ProposeError;
use std::net::SocketAddr;
use std::time::Duration;

impl ControlNode {
    pub(super) fn handle_request(&mut self, now: Duration, id: RequestId, request: HttpRequest) {
        if !self.is_acting(now) {
            self.redirect_or_defer_request(now, id, request);
            return;
        }
        match Operation::parse(&request) {
            Ok(operation) => self.execute(now, id, operation),
            Err(response) => self.respond(id, response),
        }
    }

    /// Responds to the requests whose entries up to index `committed` are committed.
    pub(super) fn respond_to_committed(&mut self, committed: u64) {
        for request in self.pending.take_committed(committed) {
            let response = outcome_response(self.state().outcome(request.index));
            self.respond(request.id, response);
        }
    }

    /// Responds to graceful shutdowns that are committed and are acknowledged by all subscribers or have reached their
    /// acknowledgement deadline.
    pub(super) fn respond_to_shutdowns(&mut self, now: Duration) {
        if self.pending.is_empty() || !self.is_acting(now) {
            return;
        }
        let committed = self.group.commit_index();
        let Some(primary) = &self.primary else { return };
        let is_acknowledged = |flush| primary.feed.is_acknowledged(flush);
        for id in self.pending.take_shutdowns(now, committed, is_acknowledged) {
            self.respond(id, HttpResponse::registered(self.settings.control_address));
        }
    }

    /// Responds to requests that were not committed in time. Whether they take effect is unknown.
    pub(super) fn expire_requests(&mut self, now: Duration) {
        for id in self.pending.take_expired(now) {
            self.respond(id, HttpResponse::unavailable("not known in time whether it was taken"));
        }
    }

    /// Responds to all waiting requests when this node steps down. Whether they take effect is unknown.
    pub(super) fn abort_requests(&mut self) {
        for id in self.pending.take_all() {
            self.respond(id, HttpResponse::unavailable("the primary changed; it may or may not be taken"));
        }
    }

    /// Serves or redirects deferred messages and requests, once a primary is known or their time limit is reached.
    pub(super) fn serve_deferred(&mut self, now: Duration) {
        if self.deferred.is_empty() {
            return;
        }
        let is_primary_known = self.is_primary_known(now);
        for (connection, messages) in self.deferred.take_links(now, is_primary_known) {
            if self.is_acting(now) {
                messages.into_iter().for_each(|message| self.handle_message(now, connection, message));
            } else {
                self.redirect(now, connection);
            }
        }
        for (id, request) in self.deferred.take_requests(now, is_primary_known) {
            if self.is_acting(now) {
                self.handle_request(now, id, request);
            } else {
                self.redirect_request(now, id, &request);
            }
        }
    }

    fn redirect_or_defer_request(&mut self, now: Duration, id: RequestId, request: HttpRequest) {
        if self.live_primary(now).is_some() || !self.deferred.has_capacity(&request) {
            self.redirect_request(now, id, &request);
        } else {
            self.deferred.defer_request(now, id, request);
        }
    }

    /// Redirects a request to the primary if one is known to be live, and responds with 503 otherwise.
    fn redirect_request(&mut self, now: Duration, id: RequestId, request: &HttpRequest) {
        let address = self.live_primary(now).and_then(|primary| primary.address.parse().ok());
        let response = match address {
            Some(link) => HttpResponse::redirect(self.control_address_of(link), &request.path),
            None => HttpResponse::unavailable("there is no primary now"),
        };
        self.respond(id, response);
    }

    /// Returns the address of the HTTP interface of the node with this link address. Ports are the same on all
    /// machines.
    fn control_address_of(&self, link: SocketAddr) -> SocketAddr {
        SocketAddr::new(link.ip(), self.settings.control_address.port())
    }

    fn execute(&mut self, now: Duration, id: RequestId, operation: Operation) {
        match operation {
            Operation::ChangeConfiguration(change) => self.change_configuration(now, id, change),
            Operation::ReadConfiguration => self.read_configuration(now, id),
            Operation::NameVersion { model, generation } => self.name_version(now, id, model, generation),
            Operation::Register(instance) => self.register(now, id, instance),
            Operation::Deregister { id: instance } => self.deregister(now, id, instance),
            Operation::Retire { node } => self.retire(now, id, node),
            Operation::ReadRetirement { node } => self.read_retirement(now, id, &node),
        }
    }

    fn change_configuration(&mut self, now: Duration, id: RequestId, change: ConfigurationChange) {
        if self.state().accepted_generation(&change).is_some() {
            self.respond(id, HttpResponse::ok());
            return;
        }
        if let Err(error) = self.state().validate(&change) {
            self.respond_under_lease(now, id, HttpResponse::change_rejected(&error));
            return;
        }
        self.propose_and_wait(now, id, &Command::ChangeConfiguration(change));
    }

    fn read_configuration(&mut self, now: Duration, id: RequestId) {
        let response = match self.state().configuration() {
            Some(configuration) => HttpResponse::configuration(configuration.document()),
            None => HttpResponse::error(404, "there is no configuration yet"),
        };
        self.respond_under_lease(now, id, response);
    }

    fn name_version(&mut self, now: Duration, id: RequestId, model: String, generation: u64) {
        let named = self.state().named_versions().get(&model).copied().unwrap_or(0);
        if named >= generation {
            self.respond(id, HttpResponse::ok());
            return;
        }
        self.propose_and_wait(now, id, &Command::NameVersion { model, generation });
    }

    fn register(&mut self, now: Duration, id: RequestId, mut instance: Instance) {
        if self.state().shutdowns().phase(&instance.id) == Some(ShutdownPhase::Draining) {
            // The instance may have reported to a former primary only that it drains.
            instance.state = InstanceState::Draining;
        }
        let is_draining = instance.state == InstanceState::Draining;
        let instance_id = instance.id.clone();
        let change = self.registry.register(now, instance);
        self.publish_registry_change(now, &change);
        if is_draining {
            self.record_shutdown(now, id, instance_id, ShutdownPhase::Draining);
        } else {
            self.respond(id, HttpResponse::registered(self.settings.control_address));
        }
    }

    fn deregister(&mut self, now: Duration, id: RequestId, instance: String) {
        let change = self.registry.deregister(&instance);
        self.publish_registry_change(now, &change);
        self.record_shutdown(now, id, instance, ShutdownPhase::Terminated);
    }

    /// Records a graceful shutdown. It is acknowledged once it is committed, so that later primaries know of it, and
    /// every subscriber has acknowledged the update.
    fn record_shutdown(&mut self, now: Duration, id: RequestId, instance: String, phase: ShutdownPhase) {
        let recorded = self.state().shutdowns().phase(&instance);
        let proposed = if recorded.is_some_and(|recorded| recorded >= phase) {
            Ok(0)
        } else {
            self.group.propose(now, &Command::RecordShutdown { instance, phase })
        };
        let Some(primary) = &mut self.primary else { return };
        primary.feed.flush(now);
        let flush = primary.feed.newest_flush();
        match proposed {
            Ok(index) => self.pending.await_shutdown(now, id, index, flush),
            Err(error) => self.respond(id, propose_error_response(error)),
        }
    }

    fn retire(&mut self, now: Duration, id: RequestId, node: String) {
        let Some(primary) = &self.primary else { return };
        let state = self.group.state();
        if state.retirements().contains_key(&node) {
            self.respond(id, HttpResponse::ok());
            return;
        }
        let tolerance = &self.settings.tolerance;
        let planner = GroupPlanner { now, state, nodes: &primary.storage, tolerance };
        if let Err(error) = planner.check_retirement(&node) {
            self.reject_retirement(now, id, error);
            return;
        }
        let min_remaining = planner.min_remaining();
        self.propose_and_wait(now, id, &Command::Retire { node, min_remaining });
    }

    /// Rejects a retirement. Before the barrier of the term is committed the response is 503 instead, because an
    /// entry of a former primary could still make the rejection wrong.
    fn reject_retirement(&mut self, now: Duration, id: RequestId, error: RetirementError) {
        if self.is_barrier_committed() {
            self.respond_under_lease(now, id, HttpResponse::retirement_rejected(error));
        } else {
            self.respond(
                id,
                HttpResponse::unavailable("the outcome of entries of former primaries is not known yet"),
            );
        }
    }

    fn read_retirement(&mut self, now: Duration, id: RequestId, node: &str) {
        let response = match self.state().retirements().get(node) {
            Some(state) => HttpResponse::retirement(*state),
            None => HttpResponse::error(404, "no such storage machine is being emptied"),
        };
        self.respond_under_lease(now, id, response);
    }

    /// Proposes a command. The response is sent when its entry is committed.
    fn propose_and_wait(&mut self, now: Duration, id: RequestId, command: &Command) {
        match self.group.propose(now, command) {
            Ok(index) => self.pending.await_commit(now, id, index),
            Err(error) => self.respond(id, propose_error_response(error)),
        }
    }

    fn respond(&mut self, id: RequestId, response: HttpResponse) {
        self.outputs.push(Output::Respond { id, response, send_by: None });
    }

    /// Sends a response that is valid only while this node holds the lease: the result of a read, or a rejection that
    /// depends on the current state.
    fn respond_under_lease(&mut self, now: Duration, id: RequestId, response: HttpResponse) {
        match self.group.lease_expires_at(now) {
            Some(expires_at) => {
                self.outputs.push(Output::Respond { id, response, send_by: Some(expires_at) });
            }
            None => self.respond(id, HttpResponse::unavailable("this control node is no longer the primary")),
        }
    }
}

fn propose_error_response(error: ProposeError) -> HttpResponse {
    match error {
        ProposeError::NotPrimary => HttpResponse::unavailable("this control node is no longer the primary"),
        ProposeError::TooFewReplicas => {
            HttpResponse::unavailable("too few replicas are available to store the change")
        }
    }
}

/// Returns the response to the request whose command had this outcome.
fn outcome_response(outcome: Option<&Outcome>) -> HttpResponse {
    match outcome {
        Some(Outcome::ConfigurationAccepted { .. } | Outcome::VersionNamed | Outcome::Retiring) => {
            HttpResponse::ok()
        }
        Some(Outcome::ConfigurationRejected(error)) => HttpResponse::change_rejected(error),
        Some(Outcome::RetirementRejected(error)) => HttpResponse::retirement_rejected(*error),
        Some(Outcome::GroupChanged { .. } | Outcome::Applied | Outcome::Undecodable) | None => {
            HttpResponse::unavailable(
                "the outcome of the request is unknown: it may or may not have taken effect",
            )
        }
    }
}
