//! Calls over HTTP: answered at once, or when what they wait for has happened.

use super::{Core, Output, RequestId};
use crate::api::{HttpRequest, HttpResponse, Operation};
use crate::feed::{ConnectionId, Urgency};
use crate::registry::RegistryChange;
use crate::state::command::{Command, ConfigurationChange, Outcome};
use crate::state::shutdowns::ShutdownPhase;
use crate::storage::GroupPlanner;
use pebblepost_messages::control::{FromControl, GroupEpoch};
use pebblepost_messages::feed::{Instance, InstanceState};
use pebblepost_replication::replica::ProposeError;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a departure waits for the subscribers' acknowledgements.
const SUBSCRIBERS_WAIT: Duration = Duration::from_millis(300);
/// How long a call waits until its entry is committed.
const COMMIT_WAIT: Duration = Duration::from_secs(4);

/// What a call waits for.
#[derive(Debug)]
pub(super) enum Waiting {
    /// Its entry is committed.
    Commit { index: u64, give_up: Duration },
    /// The entry that notes the departure is committed, and every subscriber acts by this flush of the feed or the
    /// time is up.
    Departure { index: u64, flush: u64, due: Duration },
}

/// A storage machine's request that waits until its entry is committed.
#[derive(Debug)]
pub(super) struct WaitingChange {
    pub(super) connection: ConnectionId,
    pub(super) request: u64,
    pub(super) group: u32,
}

impl Core {
    pub(super) fn call(&mut self, now: Duration, id: RequestId, call: &HttpRequest) {
        if !self.is_acting(now) {
            self.answer_elsewhere_or_hold(now, id, call);
            return;
        }
        match Operation::parse(call) {
            Ok(request) => self.request(now, id, request),
            Err(answer) => self.answer(id, answer),
        }
    }

    /// Sends a caller to the primary, if one is known.
    pub(super) fn answer_elsewhere(&mut self, now: Duration, id: RequestId, call: &HttpRequest) {
        self.answer(id, self.elsewhere(now, &call.path));
    }

    /// Where the caller should go while this process is not the acting primary.
    fn elsewhere(&self, now: Duration, path: &str) -> HttpResponse {
        let address = self.live_primary(now).and_then(|primary| primary.address.parse().ok());
        match address {
            Some(address) => HttpResponse::redirect(self.control_address(address), path),
            None => HttpResponse::unavailable("there is no primary now"),
        }
    }

    /// Where a control process takes calls: ports are the same on all machines.
    fn control_address(&self, link: SocketAddr) -> SocketAddr {
        SocketAddr::new(link.ip(), self.settings.control.port())
    }

    fn request(&mut self, now: Duration, id: RequestId, request: Operation) {
        match request {
            Operation::ChangeConfiguration(change) => self.change_configuration(now, id, change),
            Operation::ReadConfiguration => {
                let document = self.state().configuration().map(|known| known.document().to_vec());
                let missing = || HttpResponse::error(404, "there is no configuration yet");
                self.answer(
                    id,
                    document.map_or_else(missing, |document| HttpResponse::configuration(&document)),
                );
            }
            Operation::NameVersion { model, generation } => self.name_version(now, id, model, generation),
            Operation::Register(instance) => self.announce(now, id, instance),
            Operation::Deregister { id: instance } => {
                let change = self.registry.deregister(&instance);
                self.registry_changed(now, &change);
                self.note_departure(now, id, instance, ShutdownPhase::Terminated);
            }
            Operation::Retire { node } => self.retire(now, id, node),
            Operation::ReadRetirement { node } => {
                let state = self.state().retirements().get(&node).copied();
                let unknown = || HttpResponse::error(404, "no such storage machine is being emptied");
                self.answer(id, state.map_or_else(unknown, HttpResponse::retirement));
            }
        }
    }

    fn change_configuration(&mut self, now: Duration, id: RequestId, change: ConfigurationChange) {
        if self.state().accepted_generation(&change).is_some() {
            self.answer(id, HttpResponse::ok());
            return;
        }
        if let Err(refusal) = self.state().validate(&change) {
            self.answer(id, HttpResponse::change_rejected(&refusal));
            return;
        }
        self.propose_for(now, id, &Command::ChangeConfiguration(change));
    }

    fn name_version(&mut self, now: Duration, id: RequestId, model: String, generation: u64) {
        let named = self.state().named_versions().get(&model).copied().unwrap_or(0);
        if named >= generation {
            self.answer(id, HttpResponse::ok());
            return;
        }
        self.propose_for(now, id, &Command::NameVersion { model, generation });
    }

    fn announce(&mut self, now: Duration, id: RequestId, mut instance: Instance) {
        if self.state().shutdowns().phase(&instance.id) == Some(ShutdownPhase::Draining) {
            // It may have been known to a former primary only.
            instance.state = InstanceState::Draining;
        }
        let drains = instance.state == InstanceState::Draining;
        let instance_id = instance.id.clone();
        let change = self.registry.register(now, instance);
        self.registry_changed(now, &change);
        if drains {
            self.note_departure(now, id, instance_id, ShutdownPhase::Draining);
        } else {
            self.answer(id, HttpResponse::registered(self.settings.control));
        }
    }

    /// A departure is acknowledged once later primaries know of it and every subscriber acts by it.
    fn note_departure(&mut self, now: Duration, id: RequestId, instance: String, phase: ShutdownPhase) {
        let is_noted = self.state().shutdowns().phase(&instance).is_some_and(|noted| noted >= phase);
        let proposed = match is_noted {
            true => Ok(0),
            false => self.group.replica.propose(now, Command::RecordShutdown { instance, phase }.encode()),
        };
        let Some(primary) = &mut self.primary else { return };
        primary.feed.flush(now);
        let flush = primary.feed.newest_flush();
        match proposed {
            Ok(index) => {
                let due = now + SUBSCRIBERS_WAIT;
                self.waiting.insert(id, Waiting::Departure { index, flush, due });
            }
            Err(error) => self.answer(id, not_proposed(error)),
        }
    }

    fn retire(&mut self, now: Duration, id: RequestId, node: String) {
        let Some(primary) = &self.primary else { return };
        if self.state().retirements().contains_key(&node) {
            self.answer(id, HttpResponse::ok());
            return;
        }
        let nodes = &primary.stores;
        let planner = GroupPlanner { now, state: self.state(), nodes, tolerance: &self.settings.tolerance };
        if let Err(refusal) = planner.check_retirement(&node) {
            self.answer(id, HttpResponse::retirement_rejected(refusal));
            return;
        }
        let min_remaining = planner.min_remaining();
        self.propose_for(now, id, &Command::Retire { node, min_remaining });
    }

    fn propose_for(&mut self, now: Duration, id: RequestId, command: &Command) {
        match self.group.replica.propose(now, command.encode()) {
            Ok(index) => {
                self.waiting.insert(id, Waiting::Commit { index, give_up: now + COMMIT_WAIT });
            }
            Err(error) => self.answer(id, not_proposed(error)),
        }
    }

    /// A storage machine asks for a new epoch of a group.
    pub(super) fn change_group(
        &mut self, now: Duration, connection: ConnectionId, request: u64, group: u32, expected_epoch: u64,
        proposed: GroupEpoch,
    ) {
        if !self.is_acting(now) {
            self.redirect(now, connection);
            return;
        }
        let store = self.connections.get(&connection).and_then(|known| known.store);
        let proposer = store.unwrap_or_default();
        let command = Command::ChangeGroup { proposer, group, expected_epoch, proposed };
        let proposal = self.group.replica.propose(now, command.encode());
        let Some(primary) = &mut self.primary else { return };
        match proposal {
            Ok(index) => {
                primary.changes.insert(index, WaitingChange { connection, request, group });
            }
            Err(_) => self.group_changed(now, connection, request, group, false),
        }
    }

    fn group_changed(
        &mut self, now: Duration, connection: ConnectionId, request: u64, group: u32, accepted: bool,
    ) {
        let known = self.state().groups().get(&group);
        let current = known.map(|assignment| assignment.epoch.clone()).unwrap_or_default();
        self.send(now, connection, FromControl::GroupChanged { request, group, accepted, current });
    }

    /// Entries up to an index are committed: whoever waits for them is answered.
    pub(super) fn answer_committed(&mut self, now: Duration, committed: u64) {
        let done = |(_, waiting): &(&RequestId, &Waiting)| matches!(waiting, Waiting::Commit { index, .. } if *index <= committed);
        let ready: Vec<RequestId> = self.waiting.iter().filter(done).map(|(id, _)| *id).collect();
        for id in ready {
            let Some(Waiting::Commit { index, .. }) = self.waiting.remove(&id) else { continue };
            let answer = answer_to(self.state().outcome(index));
            self.answer(id, answer);
        }
        let Some(primary) = &mut self.primary else { return };
        let later = primary.changes.split_off(&(committed + 1));
        for (index, waiting) in std::mem::replace(&mut primary.changes, later) {
            let outcome = self.state().outcome(index);
            let accepted = matches!(outcome, Some(Outcome::GroupChanged { accepted: true, .. }));
            self.group_changed(now, waiting.connection, waiting.request, waiting.group, accepted);
        }
    }

    /// Answers the departures that are on enough disks and that every subscriber acts by, or that waited for
    /// subscribers long enough.
    pub(super) fn settle_calls(&mut self, now: Duration) {
        if self.waiting.is_empty() || !self.is_acting(now) {
            return;
        }
        let committed = self.group.replica.committed();
        let Some(primary) = &self.primary else { return };
        let done = |(_, waiting): &(&RequestId, &Waiting)| match waiting {
            Waiting::Departure { index, flush, due } => {
                *index <= committed && (now >= *due || primary.feed.is_acknowledged(*flush))
            }
            Waiting::Commit { .. } => false,
        };
        let ready: Vec<RequestId> = self.waiting.iter().filter(done).map(|(id, _)| *id).collect();
        for id in ready {
            self.waiting.remove(&id);
            self.answer(id, HttpResponse::registered(self.settings.control));
        }
    }

    /// Gives up calls that waited too long: what becomes of them is not known.
    pub(super) fn give_up_calls(&mut self, now: Duration) {
        let late = |(_, waiting): &(&RequestId, &Waiting)| match waiting {
            Waiting::Commit { give_up, .. } => now >= *give_up,
            Waiting::Departure { due, .. } => now >= *due + COMMIT_WAIT,
        };
        let late: Vec<RequestId> = self.waiting.iter().filter(late).map(|(id, _)| *id).collect();
        for id in late {
            self.waiting.remove(&id);
            self.answer(id, HttpResponse::unavailable("not known in time whether it was taken"));
        }
    }

    /// This process stops being primary: what waits may or may not be taken.
    pub(super) fn abandon_calls(&mut self) {
        for (id, _) in std::mem::take(&mut self.waiting) {
            self.answer(id, HttpResponse::unavailable("the primary changed; it may or may not be taken"));
        }
    }

    pub(super) fn registry_changed(&mut self, now: Duration, change: &RegistryChange) {
        let Some(primary) = &mut self.primary else { return };
        let urgency = if change.has_shutdown { Urgency::Immediate } else { Urgency::Coalesced };
        primary.feed.publish_instances(now, &change.instances, urgency);
        for instance in &change.instances {
            primary.planner.instance(now, instance);
        }
    }

    fn answer(&mut self, id: RequestId, answer: HttpResponse) {
        self.outputs.push(Output::Respond { id, response: answer });
    }
}

fn not_proposed(error: ProposeError) -> HttpResponse {
    match error {
        ProposeError::NotPrimary => HttpResponse::unavailable("not the primary any more"),
        ProposeError::TooFewReplicas => HttpResponse::unavailable("too few disks can take it now"),
    }
}

fn answer_to(outcome: Option<&Outcome>) -> HttpResponse {
    match outcome {
        Some(Outcome::ConfigurationAccepted { .. } | Outcome::VersionNamed | Outcome::Retiring) => {
            HttpResponse::ok()
        }
        Some(Outcome::ConfigurationRejected(refusal)) => HttpResponse::change_rejected(refusal),
        Some(Outcome::RetirementRejected(refusal)) => HttpResponse::retirement_rejected(*refusal),
        Some(Outcome::GroupChanged { .. } | Outcome::Applied | Outcome::Undecodable) | None => {
            HttpResponse::unavailable("not known whether it was taken")
        }
    }
}
