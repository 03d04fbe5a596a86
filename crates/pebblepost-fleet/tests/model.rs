//! Model checking of the state machine: all orders of lost, duplicated and delayed messages and of restarts,
//! up to the stated bounds.

use pebblepost_fleet::follower::{Follower, ProposalOutcome};
use pebblepost_fleet::leader::Sessions;
use pebblepost_fleet::session::SessionTtl;
use pebblepost_fleet::value::{MemberInfo, Presence, Role};
use pebblepost_fleet::{
    Action, Command, CommandResult, IncarnationId, Key, Name, Operation, RequestId, Snapshot, State, Text,
};
use stateright::{Checker, Model, Property};
use std::hash::{Hash, Hasher};
use std::time::Duration;

fn name(text: &str) -> Name {
    text.parse().expect("a valid name")
}

/// Hashes the JSON form of a value. The checker requires only that equal states have equal hashes.
fn hash_text<H: Hasher>(value: &impl serde::Serialize, hasher: &mut H) {
    serde_json::to_string(value).expect("serializes to JSON").hash(hasher);
}

// ---- Model: the sessions of a member that is paused, restarted and partitioned, with leader changes ----

const TTL: SessionTtl = SessionTtl(Duration::from_secs(4));
/// Duration of one step of time. The allowed difference in clock rates is part of the times to live of member
/// and leader.
const STEP: Duration = Duration::from_secs(1);

/// One incarnation of the member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Incarnation {
    number: u64,
    session: Option<u64>,
    /// Time at which it sent its last answered join or heartbeat.
    valid_from: u64,
}

#[derive(Clone, Debug)]
struct World {
    state: State,
    now: u64,
    /// The present incarnation first. An earlier one may be paused and resume.
    incarnations: Vec<Incarnation>,
    started: u64,
    next: u64,
    leader: u64,
    /// Session and time of the last heartbeat that the leader of this term received. The leader's sessions
    /// are rebuilt from it.
    last_heartbeat: Option<(u64, u64)>,
    /// Heartbeats in flight: session, incarnation and time of sending.
    heartbeats: Vec<(u64, u64, u64)>,
    began: u64,
}

impl PartialEq for World {
    fn eq(&self, other: &Self) -> bool {
        format!("{self:?}") == format!("{other:?}")
    }
}

impl Eq for World {}

impl Hash for World {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        hash_text(&self.state, hasher);
        (self.now, &self.incarnations, self.started, self.next, self.leader).hash(hasher);
        (self.last_heartbeat, &self.heartbeats, self.began).hash(hasher);
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// A second passes.
    Time,
    /// An incarnation joins and receives the answer.
    Join(usize),
    /// An incarnation sends a heartbeat.
    Heartbeat(usize),
    /// A heartbeat arrives and is answered.
    Arrives(usize),
    /// A heartbeat is lost.
    Lost(usize),
    /// The process is restarted, while the old one may only be paused.
    Restart,
    /// The leader changes.
    Elect,
    /// The leader ends expired sessions.
    Check,
}

struct MemberModel;

impl World {
    fn command(&mut self, action: Action) -> CommandResult {
        self.next += 1;
        let command = Command { id: RequestId(1, self.next), issued_by: name("m"), issued_at_ms: 0, action };
        self.state.apply(&command)
    }

    fn elapsed(&self, at: u64) -> Duration {
        STEP * u32::try_from(at).unwrap_or(u32::MAX)
    }

    /// Returns the commands of the present leader for sessions that have expired by now.
    fn overdue(&self) -> Vec<Action> {
        let mut leader = Sessions::new(TTL);
        // Replays what the leader has received since it began.
        leader.expire_sessions(self.elapsed(self.began), &self.state);
        if let Some((session, at)) = self.last_heartbeat {
            leader.record_heartbeat(self.elapsed(at), &self.state, &name("m"), session, None);
        }
        leader.expire_sessions(self.elapsed(self.now), &self.state)
    }

    /// Returns whether an incarnation may rely on its session by its own clock.
    fn relies(&self, incarnation: &Incarnation) -> bool {
        incarnation.session.is_some() && self.elapsed(self.now - incarnation.valid_from) <= TTL.for_member()
    }
}

impl Model for MemberModel {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let first = Incarnation { number: 1, session: None, valid_from: 0 };
        let (incarnations, state, heartbeats) = (vec![first], State::default(), Vec::new());
        vec![World {
            state,
            now: 0,
            incarnations,
            started: 1,
            next: 0,
            leader: 0,
            last_heartbeat: None,
            heartbeats,
            began: 0,
        }]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Step>) {
        if world.now < 9 {
            actions.push(Step::Time);
        }
        for (i, incarnation) in world.incarnations.iter().enumerate() {
            if incarnation.session.is_none() {
                actions.push(Step::Join(i));
            } else if world.heartbeats.len() < 2 {
                actions.push(Step::Heartbeat(i));
            }
        }
        for i in 0..world.heartbeats.len() {
            actions.extend([Step::Arrives(i), Step::Lost(i)]);
        }
        if world.started < 2 {
            actions.push(Step::Restart);
        }
        if world.leader < 1 {
            actions.push(Step::Elect);
        }
        actions.push(Step::Check);
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut world = world.clone();
        match step {
            Step::Time => world.now += 1,
            Step::Join(i) => {
                let info = MemberInfo {
                    role: Role::Dispatcher,
                    version: Text::default(),
                    address: None,
                    zone: Text::default(),
                    ready: true,
                };
                let (sent, incarnation) = (world.now, IncarnationId(0, world.incarnations[i].number));
                let answer =
                    world.command(Action::Join { member: name("m"), incarnation_id: incarnation, info });
                match answer {
                    Ok(done) => {
                        world.incarnations[i].session = done.session;
                        world.incarnations[i].valid_from = sent;
                        world.last_heartbeat = done.session.map(|session| (session, sent));
                    }
                    // A later incarnation has the name, so the process ends.
                    Err(_) => drop(world.incarnations.remove(i)),
                }
            }
            Step::Heartbeat(i) => {
                let incarnation = &world.incarnations[i];
                world.heartbeats.push((incarnation.session?, incarnation.number, world.now));
            }
            Step::Arrives(i) => {
                let (session, number, sent) = world.heartbeats.remove(i);
                let mut leader = Sessions::new(TTL);
                let is_renewed = leader.record_heartbeat(
                    world.elapsed(world.now),
                    &world.state,
                    &name("m"),
                    session,
                    None,
                ) == pebblepost_fleet::leader::HeartbeatOutcome::Renewed;
                if is_renewed {
                    world.last_heartbeat = Some((session, world.now));
                }
                let incarnation = world.incarnations.iter_mut().find(|incarnation| {
                    incarnation.number == number && incarnation.session == Some(session)
                })?;
                if is_renewed {
                    incarnation.valid_from = incarnation.valid_from.max(sent);
                } else {
                    incarnation.session = None;
                }
            }
            Step::Lost(i) => drop(world.heartbeats.remove(i)),
            Step::Restart => {
                world.started += 1;
                let fresh = Incarnation { number: world.started, session: None, valid_from: world.now };
                world.incarnations.insert(0, fresh);
            }
            Step::Elect => {
                world.leader += 1;
                (world.last_heartbeat, world.began) = (None, world.now);
            }
            Step::Check => {
                let overdue = world.overdue();
                if overdue.is_empty() {
                    return None;
                }
                for action in overdue {
                    let _ = world.command(action);
                }
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            // An incarnation may still rely on a session that a later join of the same name has superseded;
            // fencing tokens cover that case. It must never rely on a session that expired without
            // heartbeats.
            Property::always(
                "an incarnation relies only on a session that is valid or superseded",
                |_, world: &World| {
                    let member = world.state.member(&name("m"));
                    world.incarnations.iter().filter(|incarnation| world.relies(incarnation)).all(
                        |incarnation| {
                            let session = incarnation.session.unwrap_or(0);
                            member.is_some_and(|member| {
                                member.session > session
                                    || member.session == session && member.presence == Presence::Present
                            })
                        },
                    )
                },
            ),
            Property::always("at most one incarnation has the present session", |_, world: &World| {
                let session = world.state.member(&name("m")).map(|member| member.session);
                world
                    .incarnations
                    .iter()
                    .filter(|incarnation| incarnation.session.is_some() && incarnation.session == session)
                    .count()
                    <= 1
            }),
            Property::sometimes("a session expires without heartbeats", |_, world: &World| {
                world.state.member(&name("m")).is_some_and(|member| member.presence == Presence::Lost)
            }),
            Property::sometimes("a second incarnation has the name", |_, world: &World| {
                world.state.member(&name("m")).is_some_and(|member| member.incarnation == 2)
            }),
        ]
    }
}

#[test]
fn no_member_relies_on_an_expired_session() {
    let checker = MemberModel.checker().target_max_depth(11).spawn_bfs().join();
    checker.assert_properties();
    println!("sessions: {} states, {} unique", checker.state_count(), checker.unique_state_count());
    assert!(checker.unique_state_count() > 1_000, "{}", checker.unique_state_count());
}

// ---- Model: a drain requested at a partitioned dispatcher ----

/// The drain of the worker that is requested at the dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum LocalDrainRequest {
    NotMade,
    Made,
    /// The group has changed the worker's drain since the request.
    DecidedByGroup,
}

#[derive(Clone, Debug, PartialEq)]
struct Partition {
    group: State,
    follower: Follower,
    drain: LocalDrainRequest,
    proposals: Vec<Command>,
    answers: Vec<(RequestId, CommandResult)>,
    /// Snapshots in flight, which may be delayed and reordered.
    snapshots: Vec<Snapshot>,
    steps: u8,
    overruled: bool,
    lost_mark: bool,
}

impl Eq for Partition {}

impl Hash for Partition {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        hash_text(&self.group, hasher);
        hash_text(&self.follower, hasher);
        hash_text(&self.proposals, hasher);
        hash_text(&self.answers, hasher);
        hash_text(&self.snapshots, hasher);
        (self.drain, self.steps, self.overruled, self.lost_mark).hash(hasher);
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum DrainStep {
    /// An operator requests the drain at the dispatcher.
    Request,
    /// The group drains or undrains the worker with another command.
    Drain,
    Undrain,
    /// A proposal is sent, for the first time or again.
    Propose,
    /// A proposal arrives, and is duplicated if the flag is set.
    Arrives(usize, bool),
    /// An answer arrives, or is lost.
    Answered(usize),
    Unanswered(usize),
    /// A snapshot is sent, or arrives.
    SendSnapshot,
    SnapshotArrives(usize),
    /// The dispatcher restarts from its stored copy.
    Restart,
}

struct DrainModel;

const WORKER: &str = "w";

impl Partition {
    fn is_replicated(&self) -> bool {
        self.group.get(&Key::Drain(name(WORKER))).is_some()
    }

    fn is_drained(&self) -> bool {
        self.follower.drained_workers().contains(&name(WORKER))
    }

    fn decide(&mut self, op: Operation) {
        self.steps += 1;
        let action = Action::Change { operations: vec![op], preconditions: vec![], reason: Text::default() };
        let id = RequestId(2, u64::from(self.steps));
        let revision = self.group.revision();
        let done = self.group.apply(&Command { id, issued_by: name("op"), issued_at_ms: 0, action });
        assert!(done.is_ok());
        if self.drain == LocalDrainRequest::Made && self.group.revision() > revision {
            self.drain = LocalDrainRequest::DecidedByGroup;
        }
    }
}

impl Model for DrainModel {
    type State = Partition;
    type Action = DrainStep;

    fn init_states(&self) -> Vec<Partition> {
        vec![Partition {
            group: State::default(),
            follower: Follower::default(),
            drain: LocalDrainRequest::NotMade,
            proposals: Vec::new(),
            answers: Vec::new(),
            snapshots: Vec::new(),
            steps: 0,
            overruled: false,
            lost_mark: false,
        }]
    }

    fn actions(&self, world: &Partition, actions: &mut Vec<DrainStep>) {
        if world.drain == LocalDrainRequest::NotMade {
            actions.push(DrainStep::Request);
        }
        if world.steps < 2 {
            actions.extend([DrainStep::Drain, DrainStep::Undrain]);
        }
        if world.proposals.len() < 2 && world.follower.next_proposal().is_some() {
            actions.push(DrainStep::Propose);
        }
        for i in 0..world.proposals.len() {
            actions.push(DrainStep::Arrives(i, false));
            if world.answers.len() < 2 {
                actions.push(DrainStep::Arrives(i, true));
            }
        }
        for i in 0..world.answers.len() {
            actions.extend([DrainStep::Answered(i), DrainStep::Unanswered(i)]);
        }
        if world.snapshots.len() < 2 && !world.snapshots.iter().any(|n| n.revision == world.group.revision())
        {
            actions.push(DrainStep::SendSnapshot);
        }
        (0..world.snapshots.len()).for_each(|i| actions.push(DrainStep::SnapshotArrives(i)));
        actions.push(DrainStep::Restart);
    }

    fn next_state(&self, world: &Partition, step: DrainStep) -> Option<Partition> {
        let mut world = world.clone();
        let was_drained = world.is_drained();
        match step {
            DrainStep::Request => {
                world.drain = LocalDrainRequest::Made;
                let drained =
                    world.follower.drain(name(WORKER), RequestId(9, 9), name("op"), 0, Text::default());
                drained.expect("capacity is left");
            }
            DrainStep::Drain => world.decide(Operation::Drain(name(WORKER))),
            DrainStep::Undrain => world.decide(Operation::Undrain(name(WORKER))),
            DrainStep::Propose => world.proposals.extend(world.follower.next_proposal()),
            DrainStep::Arrives(i, duplicated) => {
                let proposal =
                    if duplicated { world.proposals[i].clone() } else { world.proposals.remove(i) };
                let answer = world.group.apply(&proposal);
                world.answers.push((proposal.id, answer));
            }
            DrainStep::Answered(i) => {
                let (id, answer) = world.answers.remove(i);
                world.overruled |= world.follower.record_result(id, &answer) == ProposalOutcome::Overruled;
            }
            DrainStep::Unanswered(i) => drop(world.answers.remove(i)),
            DrainStep::SendSnapshot => world.snapshots.push(world.group.snapshot()),
            DrainStep::SnapshotArrives(i) => {
                let snapshot = world.snapshots.remove(i);
                let _ = world.follower.apply_snapshot(Duration::ZERO, snapshot);
            }
            DrainStep::Restart => {
                let text = serde_json::to_string(&world.follower).expect("serializes to JSON");
                let stored: Follower = serde_json::from_str(&text).expect("the written state is read back");
                if stored == world.follower {
                    return None;
                }
                world.follower = stored;
            }
        }
        world.lost_mark |= was_drained && !world.is_drained();
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "a local drain stays until the copy has a decision of the group",
                |_, world: &Partition| {
                    world.drain == LocalDrainRequest::NotMade
                        || world.is_drained()
                        || world.steps > 0 && world.follower.revision() > 0
                },
            ),
            Property::always(
                "a drain mark is removed only by a decision in the copy",
                |_, world: &Partition| !world.lost_mark || world.steps > 0 && world.follower.revision() > 0,
            ),
            Property::always(
                "a drain is overruled only by a decision on its worker",
                |_, world: &Partition| !world.overruled || world.steps > 0,
            ),
            Property::sometimes("a local drain becomes replicated", |_, world: &Partition| {
                world.drain == LocalDrainRequest::Made && world.is_replicated() && world.steps == 0
            }),
            Property::sometimes("a local drain is overruled", |_, world: &Partition| world.overruled),
        ]
    }
}

#[test]
fn a_local_drain_is_never_lost_and_never_overrules_the_group() {
    let checker = DrainModel.checker().target_max_depth(10).spawn_bfs().join();
    checker.assert_properties();
    println!("local drains: {} states, {} unique", checker.state_count(), checker.unique_state_count());
    assert!(checker.unique_state_count() > 1_000, "{}", checker.unique_state_count());
}

// ---- Model: a replica that restarts between apply and snapshot ----

/// Number of distinct requests, which clients retry. Two of them drain a worker and one undrains it.
const REQUEST_COUNT: usize = 3;

/// A replica: its log, the number of applied entries, its state, and the snapshot on its disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Replica {
    log: Vec<usize>,
    applied: usize,
    /// State as JSON, the form in which it is stored.
    state: String,
    snapshot: (usize, String),
    /// First answer to each request.
    answers: [Option<String>; REQUEST_COUNT],
    /// Whether a retry got another answer, or replaying the log gave another state.
    differs: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum ReplicaStep {
    Request(usize),
    Apply,
    Snapshot,
    Restart,
}

struct RestartModel;

fn written(state: &State) -> String {
    serde_json::to_string(state).expect("serializes to JSON")
}

fn command(number: usize) -> Command {
    let op = if number == 1 { Operation::Undrain(name("w")) } else { Operation::Drain(name("w")) };
    let action = Action::Change { operations: vec![op], preconditions: Vec::new(), reason: Text::default() };
    Command {
        id: RequestId(9, number as u64),
        issued_by: name(&format!("o{number}")),
        issued_at_ms: 0,
        action,
    }
}

impl Model for RestartModel {
    type State = Replica;
    type Action = ReplicaStep;

    fn init_states(&self) -> Vec<Replica> {
        let state = written(&State::default());
        let (snapshot, answers) = ((0, state.clone()), Default::default());
        vec![Replica { log: Vec::new(), applied: 0, state, snapshot, answers, differs: false }]
    }

    fn actions(&self, replica: &Replica, actions: &mut Vec<ReplicaStep>) {
        if replica.log.len() < 5 {
            actions.extend((0..REQUEST_COUNT).map(ReplicaStep::Request));
        }
        if replica.applied < replica.log.len() {
            actions.push(ReplicaStep::Apply);
        }
        actions.extend([ReplicaStep::Snapshot, ReplicaStep::Restart]);
    }

    fn next_state(&self, replica: &Replica, step: ReplicaStep) -> Option<Replica> {
        let mut replica = replica.clone();
        let read = |text: &str| serde_json::from_str::<State>(text).expect("a state as it was written");
        match step {
            ReplicaStep::Request(number) => replica.log.push(number),
            ReplicaStep::Apply => {
                let (number, mut state) = (replica.log[replica.applied], read(&replica.state));
                let answer = format!("{:?}", state.apply(&command(number)));
                let first = replica.answers[number].get_or_insert_with(|| answer.clone());
                replica.differs |= *first != answer;
                (replica.applied, replica.state) = (replica.applied + 1, written(&state));
            }
            ReplicaStep::Snapshot => replica.snapshot = (replica.applied, replica.state.clone()),
            ReplicaStep::Restart => {
                let mut state = read(&replica.snapshot.1);
                for number in &replica.log[replica.snapshot.0..replica.applied] {
                    let _ = state.apply(&command(*number));
                }
                replica.differs |= written(&state) != replica.state;
                replica.state = written(&state);
            }
        }
        Some(replica)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "retries get the first answer, and a restart does not change the state",
                |_, replica: &Replica| !replica.differs,
            ),
            Property::sometimes(
                "a request is retried after another one has undone it",
                |_, replica: &Replica| replica.applied >= 3 && replica.log.starts_with(&[0, 1, 0]),
            ),
        ]
    }
}

#[test]
fn a_restart_between_apply_and_snapshot_applies_nothing_twice() {
    let checker = RestartModel.checker().spawn_bfs().join();
    checker.assert_properties();
    println!("restarts: {} states, {} unique", checker.state_count(), checker.unique_state_count());
    assert!(checker.unique_state_count() > 1_000, "{}", checker.unique_state_count());
}
