//! Model checking of what is ours in the agreed store: every order in which messages can be lost, doubled and delayed and
//! processes can restart, up to stated bounds.

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
    text.parse().expect("a sound name")
}

/// Hashes by what is written down: the checker only needs equal states to be equal.
fn hash_text<H: Hasher>(value: &impl serde::Serialize, hasher: &mut H) {
    serde_json::to_string(value).expect("plain data").hash(hasher);
}

// ---- Sessions: a member that is paused, restarted and cut off, and leaders that change ----

const TTL: SessionTtl = SessionTtl(Duration::from_secs(4));
/// One step of time. Clocks of member and leader may differ by the rate that is allowed for.
const STEP: Duration = Duration::from_secs(1);

/// One life of the member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Life {
    number: u64,
    session: Option<u64>,
    /// When it sent the last beat, or its join, that was answered.
    sure_from: u64,
}

#[derive(Clone, Debug)]
struct World {
    state: State,
    now: u64,
    /// The present life first; one before it may be paused and wake up.
    lives: Vec<Life>,
    started: u64,
    next: u64,
    leader: u64,
    /// Beats that the leader of this term heard, rebuilt each time it is asked: member's session and when.
    heard: Option<(u64, u64)>,
    /// Beats on their way: the session, the life, when they were sent.
    beats: Vec<(u64, u64, u64)>,
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
        (self.now, &self.lives, self.started, self.next, self.leader).hash(hasher);
        (self.heard, &self.beats, self.began).hash(hasher);
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// A second passes.
    Time,
    /// A life joins; the answer comes.
    Join(usize),
    /// A life sends a beat.
    Beat(usize),
    /// A beat arrives and is answered, or is lost.
    Arrives(usize),
    Lost(usize),
    /// The process starts anew; the old one may only be paused.
    Restart,
    /// Another keeper leads.
    Elect,
    /// The leader has overdue sessions ended.
    Look,
}

struct MemberModel;

impl World {
    fn command(&mut self, act: Action) -> CommandResult {
        self.next += 1;
        let command =
            Command { id: RequestId(1, self.next), issued_by: name("m"), issued_at_ms: 0, action: act };
        self.state.apply(&command)
    }

    fn secs(&self, at: u64) -> Duration {
        STEP * u32::try_from(at).unwrap_or(u32::MAX)
    }

    /// The sessions that the present leader would have ended now.
    fn overdue(&self) -> Vec<Action> {
        let mut leader = Sessions::new(TTL);
        // What it has seen since it began, in that order.
        leader.expired(self.secs(self.began), &self.state);
        if let Some((session, at)) = self.heard {
            leader.record_heartbeat(self.secs(at), &self.state, &name("m"), session, None);
        }
        leader.expired(self.secs(self.now), &self.state)
    }

    /// Whether a life may rely on its session, by its own clock.
    fn relies(&self, life: &Life) -> bool {
        life.session.is_some() && self.secs(self.now - life.sure_from) <= TTL.for_member()
    }
}

impl Model for MemberModel {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let first = Life { number: 1, session: None, sure_from: 0 };
        let (lives, state, beats) = (vec![first], State::default(), Vec::new());
        vec![World { state, now: 0, lives, started: 1, next: 0, leader: 0, heard: None, beats, began: 0 }]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Step>) {
        if world.now < 9 {
            actions.push(Step::Time);
        }
        for (i, life) in world.lives.iter().enumerate() {
            if life.session.is_none() {
                actions.push(Step::Join(i));
            } else if world.beats.len() < 2 {
                actions.push(Step::Beat(i));
            }
        }
        for i in 0..world.beats.len() {
            actions.extend([Step::Arrives(i), Step::Lost(i)]);
        }
        if world.started < 2 {
            actions.push(Step::Restart);
        }
        if world.leader < 1 {
            actions.push(Step::Elect);
        }
        actions.push(Step::Look);
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut world = world.clone();
        match step {
            Step::Time => world.now += 1,
            Step::Join(i) => {
                let card = MemberInfo {
                    role: Role::Dispatcher,
                    version: Text::default(),
                    address: None,
                    zone: Text::default(),
                    ready: true,
                };
                let (sent, life) = (world.now, IncarnationId(0, world.lives[i].number));
                let answer =
                    world.command(Action::Join { member: name("m"), incarnation_id: life, info: card });
                match answer {
                    Ok(done) => {
                        world.lives[i].session = done.session;
                        world.lives[i].sure_from = sent;
                        world.heard = done.session.map(|s| (s, sent));
                    }
                    // Its name belongs to a later life: it ends.
                    Err(_) => drop(world.lives.remove(i)),
                }
            }
            Step::Beat(i) => {
                let life = &world.lives[i];
                world.beats.push((life.session?, life.number, world.now));
            }
            Step::Arrives(i) => {
                let (session, number, sent) = world.beats.remove(i);
                let mut leader = Sessions::new(TTL);
                let goes_on =
                    leader.record_heartbeat(world.secs(world.now), &world.state, &name("m"), session, None)
                        == pebblepost_fleet::leader::HeartbeatOutcome::Renewed;
                if goes_on {
                    world.heard = Some((session, world.now));
                }
                let life =
                    world.lives.iter_mut().find(|l| l.number == number && l.session == Some(session))?;
                if goes_on {
                    life.sure_from = life.sure_from.max(sent);
                } else {
                    life.session = None;
                }
            }
            Step::Lost(i) => drop(world.beats.remove(i)),
            Step::Restart => {
                world.started += 1;
                let fresh = Life { number: world.started, session: None, sure_from: world.now };
                world.lives.insert(0, fresh);
            }
            Step::Elect => {
                world.leader += 1;
                (world.heard, world.began) = (None, world.now);
            }
            Step::Look => {
                let overdue = world.overdue();
                if overdue.is_empty() {
                    return None;
                }
                for act in overdue {
                    let _ = world.command(act);
                }
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            // A life may rely on a session that a join of the same name has ended since: fencing by the session's
            // number is for that. It must never rely on one that was ended for want of beats.
            Property::always(
                "a life that relies on its session has it, unless another joined",
                |_, w: &World| {
                    let member = w.state.member(&name("m"));
                    w.lives.iter().filter(|l| w.relies(l)).all(|life| {
                        let session = life.session.unwrap_or(0);
                        member.is_some_and(|m| {
                            m.session > session || m.session == session && m.presence == Presence::Present
                        })
                    })
                },
            ),
            Property::always("never two lives with the session of the name", |_, w: &World| {
                let session = w.state.member(&name("m")).map(|m| m.session);
                w.lives.iter().filter(|l| l.session.is_some() && l.session == session).count() <= 1
            }),
            Property::sometimes("a session ends for want of beats", |_, w: &World| {
                w.state.member(&name("m")).is_some_and(|m| m.presence == Presence::Lost)
            }),
            Property::sometimes("a second life has the name", |_, w: &World| {
                w.state.member(&name("m")).is_some_and(|m| m.incarnation == 2)
            }),
        ]
    }
}

#[test]
fn no_member_relies_on_a_session_that_has_ended() {
    let checker = MemberModel.checker().target_max_depth(11).spawn_bfs().join();
    checker.assert_properties();
    println!("sessions: {} states, {} unique", checker.state_count(), checker.unique_state_count());
    assert!(checker.unique_state_count() > 1_000, "{}", checker.unique_state_count());
}

// ---- A drain asked for at a dispatcher that is cut off ----

#[derive(Clone, Debug, PartialEq)]
struct Cut {
    group: State,
    follower: Follower,
    /// What the file would hold: written after each change here.
    asked: bool,
    /// The group has taken a decision on this worker since the dispatcher was cut off.
    decided: bool,
    offers: Vec<Command>,
    answers: Vec<(RequestId, CommandResult)>,
    /// Snapshots on their way, perhaps late and out of order.
    news: Vec<Snapshot>,
    steps: u8,
    overruled: bool,
    unmarked: bool,
}

impl Eq for Cut {}

impl Hash for Cut {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        hash_text(&self.group, hasher);
        hash_text(&self.follower, hasher);
        hash_text(&self.offers, hasher);
        hash_text(&self.answers, hasher);
        hash_text(&self.news, hasher);
        (self.asked, self.decided, self.steps, self.overruled, self.unmarked).hash(hasher);
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Move {
    /// An operator asks for the drain here.
    Ask,
    /// The group drains or undrains the worker by another way.
    Drain,
    Undrain,
    /// An offer is sent (again), arrives (perhaps doubled), is lost; its answer arrives or is lost.
    Offer,
    Arrives(usize, bool),
    Answered(usize),
    Unanswered(usize),
    /// News are sent, and arrive.
    Tell,
    Told(usize),
    /// The dispatcher restarts from its file.
    Restart,
}

struct DrainModel;

const WORKER: &str = "w";

impl Cut {
    fn agreed(&self) -> bool {
        self.group.get(&Key::Drain(name(WORKER))).is_some()
    }

    fn honoured(&self) -> bool {
        self.follower.drained_workers().contains(&name(WORKER))
    }

    fn decide(&mut self, op: Operation) {
        self.steps += 1;
        let act = Action::Change { operations: vec![op], preconditions: vec![], reason: Text::default() };
        let id = RequestId(2, u64::from(self.steps));
        let revision = self.group.revision();
        let done = self.group.apply(&Command { id, issued_by: name("op"), issued_at_ms: 0, action: act });
        assert!(done.is_ok());
        self.decided |= self.asked && self.group.revision() > revision;
    }
}

impl Model for DrainModel {
    type State = Cut;
    type Action = Move;

    fn init_states(&self) -> Vec<Cut> {
        vec![Cut {
            group: State::default(),
            follower: Follower::default(),
            asked: false,
            decided: false,
            offers: Vec::new(),
            answers: Vec::new(),
            news: Vec::new(),
            steps: 0,
            overruled: false,
            unmarked: false,
        }]
    }

    fn actions(&self, cut: &Cut, actions: &mut Vec<Move>) {
        if !cut.asked {
            actions.push(Move::Ask);
        }
        if cut.steps < 2 {
            actions.extend([Move::Drain, Move::Undrain]);
        }
        if cut.offers.len() < 2 && cut.follower.next_proposal().is_some() {
            actions.push(Move::Offer);
        }
        for i in 0..cut.offers.len() {
            actions.push(Move::Arrives(i, false));
            if cut.answers.len() < 2 {
                actions.push(Move::Arrives(i, true));
            }
        }
        for i in 0..cut.answers.len() {
            actions.extend([Move::Answered(i), Move::Unanswered(i)]);
        }
        if cut.news.len() < 2 && !cut.news.iter().any(|n| n.revision == cut.group.revision()) {
            actions.push(Move::Tell);
        }
        (0..cut.news.len()).for_each(|i| actions.push(Move::Told(i)));
        actions.push(Move::Restart);
    }

    fn next_state(&self, cut: &Cut, step: Move) -> Option<Cut> {
        let mut cut = cut.clone();
        let held = cut.honoured();
        match step {
            Move::Ask => {
                cut.asked = true;
                let asked = cut.follower.drain(name(WORKER), RequestId(9, 9), name("op"), 0, Text::default());
                asked.expect("room");
            }
            Move::Drain => cut.decide(Operation::Drain(name(WORKER))),
            Move::Undrain => cut.decide(Operation::Undrain(name(WORKER))),
            Move::Offer => cut.offers.extend(cut.follower.next_proposal()),
            Move::Arrives(i, doubled) => {
                let offer = if doubled { cut.offers[i].clone() } else { cut.offers.remove(i) };
                let answer = cut.group.apply(&offer);
                cut.answers.push((offer.id, answer));
            }
            Move::Answered(i) => {
                let (id, answer) = cut.answers.remove(i);
                cut.overruled |= cut.follower.record_result(id, &answer) == ProposalOutcome::Overruled;
            }
            Move::Unanswered(i) => drop(cut.answers.remove(i)),
            Move::Tell => cut.news.push(cut.group.snapshot()),
            Move::Told(i) => {
                let news = cut.news.remove(i);
                let _ = cut.follower.apply_snapshot(Duration::ZERO, news);
            }
            Move::Restart => {
                let text = serde_json::to_string(&cut.follower).expect("plain data");
                let kept: Follower = serde_json::from_str(&text).expect("the same");
                if kept == cut.follower {
                    return None;
                }
                cut.follower = kept;
            }
        }
        cut.unmarked |= held && !cut.honoured();
        Some(cut)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("a local drain holds until a decision of the group is here", |_, cut: &Cut| {
                !cut.asked || cut.honoured() || cut.steps > 0 && cut.follower.revision() > 0
            }),
            Property::always("a mark goes only by a decision that is here", |_, cut: &Cut| {
                !cut.unmarked || cut.steps > 0 && cut.follower.revision() > 0
            }),
            Property::always("it is overruled only by a decision on this worker", |_, cut: &Cut| {
                !cut.overruled || cut.steps > 0
            }),
            Property::sometimes("it becomes agreed", |_, cut: &Cut| {
                cut.asked && !cut.decided && cut.agreed() && cut.steps == 0
            }),
            Property::sometimes("it is overruled", |_, cut: &Cut| cut.overruled),
        ]
    }
}

#[test]
fn a_local_drain_is_never_forgotten_and_never_outvotes_the_group() {
    let checker = DrainModel.checker().target_max_depth(10).spawn_bfs().join();
    checker.assert_properties();
    println!("local drains: {} states, {} unique", checker.state_count(), checker.unique_state_count());
    assert!(checker.unique_state_count() > 1_000, "{}", checker.unique_state_count());
}

// ---- A keeper that restarts between apply and snapshot ----

/// What clients may ask for, over and over: two of them touch one mark.
const ASKED: usize = 3;

/// One keeper's log, how far it has applied it, its state, and the snapshot on its disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Kept {
    log: Vec<usize>,
    applied: usize,
    /// As text, as it lies on the disk.
    state: String,
    snapshot: (usize, String),
    /// What was answered to each request first.
    answers: [Option<String>; ASKED],
    /// A request asked again was answered otherwise, or the log applied anew gave another state.
    differs: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Turn {
    Ask(usize),
    Apply,
    Snapshot,
    Restart,
}

struct KeptModel;

fn written(state: &State) -> String {
    serde_json::to_string(state).expect("plain data")
}

fn asked(number: usize) -> Command {
    let op = if number == 1 { Operation::Undrain(name("w")) } else { Operation::Drain(name("w")) };
    let act = Action::Change { operations: vec![op], preconditions: Vec::new(), reason: Text::default() };
    Command {
        id: RequestId(9, number as u64),
        issued_by: name(&format!("o{number}")),
        issued_at_ms: 0,
        action: act,
    }
}

impl Model for KeptModel {
    type State = Kept;
    type Action = Turn;

    fn init_states(&self) -> Vec<Kept> {
        let state = written(&State::default());
        let (snapshot, answers) = ((0, state.clone()), Default::default());
        vec![Kept { log: Vec::new(), applied: 0, state, snapshot, answers, differs: false }]
    }

    fn actions(&self, kept: &Kept, actions: &mut Vec<Turn>) {
        if kept.log.len() < 5 {
            actions.extend((0..ASKED).map(Turn::Ask));
        }
        if kept.applied < kept.log.len() {
            actions.push(Turn::Apply);
        }
        actions.extend([Turn::Snapshot, Turn::Restart]);
    }

    fn next_state(&self, kept: &Kept, turn: Turn) -> Option<Kept> {
        let mut kept = kept.clone();
        let read = |text: &str| serde_json::from_str::<State>(text).expect("as it was written");
        match turn {
            Turn::Ask(number) => kept.log.push(number),
            Turn::Apply => {
                let (number, mut state) = (kept.log[kept.applied], read(&kept.state));
                let answer = format!("{:?}", state.apply(&asked(number)));
                let first = kept.answers[number].get_or_insert_with(|| answer.clone());
                kept.differs |= *first != answer;
                (kept.applied, kept.state) = (kept.applied + 1, written(&state));
            }
            Turn::Snapshot => kept.snapshot = (kept.applied, kept.state.clone()),
            Turn::Restart => {
                let mut state = read(&kept.snapshot.1);
                for number in &kept.log[kept.snapshot.0..kept.applied] {
                    let _ = state.apply(&asked(*number));
                }
                kept.differs |= written(&state) != kept.state;
                kept.state = written(&state);
            }
        }
        Some(kept)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("a request has one answer, and a restart changes nothing", |_, k: &Kept| {
                !k.differs
            }),
            Property::sometimes("a request is asked again after it was undone", |_, k: &Kept| {
                k.applied >= 3 && k.log.starts_with(&[0, 1, 0])
            }),
        ]
    }
}

#[test]
fn a_restart_between_apply_and_snapshot_applies_nothing_twice() {
    let checker = KeptModel.checker().spawn_bfs().join();
    checker.assert_properties();
    println!("restarts: {} states, {} unique", checker.state_count(), checker.unique_state_count());
    assert!(checker.unique_state_count() > 1_000, "{}", checker.unique_state_count());
}
