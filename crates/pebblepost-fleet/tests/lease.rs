//! Leases: who has a task, and that no order of pauses, restarts, lost answers and new leaders has two act at once.

use pebblepost_fleet::fencing::{FencingGuard, NotAuthorized, SessionValidity, StaleFencingToken};
use pebblepost_fleet::leader::{HeartbeatOutcome, Sessions};
use pebblepost_fleet::session::SessionTtl;
use pebblepost_fleet::value::{Lease, MemberInfo, Role};
use pebblepost_fleet::{
    Action, Command, CommandResult, IncarnationId, Key, Name, Operation, Rejection, RequestId, State, Text,
};
use stateright::{Checker, Model, Property};
use std::hash::{Hash, Hasher};
use std::time::Duration;

fn name(text: &str) -> Name {
    text.parse().expect("a sound name")
}

const TTL: SessionTtl = SessionTtl(Duration::from_secs(4));

#[derive(Clone, Debug, Default)]
struct Desk {
    state: State,
    next: u64,
}

impl Desk {
    fn act(&mut self, act: Action) -> CommandResult {
        self.next += 1;
        self.state.apply(&Command {
            id: RequestId(1, self.next),
            issued_by: name("o"),
            issued_at_ms: 0,
            action: act,
        })
    }

    fn op(&mut self, op: Operation) -> CommandResult {
        let why = "a test".parse().expect("a sound text");
        self.act(Action::Change { operations: vec![op], preconditions: Vec::new(), reason: why })
    }

    /// The session; `None`: a later life has the name.
    fn tries_to_join(&mut self, member: &str, life: u64) -> Option<u64> {
        let (version, zone, address) = (Text::default(), Text::default(), None);
        let card = MemberInfo { role: Role::Dispatcher, version, address, zone, ready: true };
        let joined = self.act(Action::Join {
            member: name(member),
            incarnation_id: IncarnationId(7, life),
            info: card,
        });
        joined.ok()?.session
    }

    fn joins(&mut self, member: &str, life: u64) -> u64 {
        self.tries_to_join(member, life).expect("it may join")
    }

    fn wants(&mut self, member: &str, session: u64, task: &str) -> CommandResult {
        self.act(Action::AcquireLeases { member: name(member), session, tasks: vec![name(task)] })
    }

    fn back(&mut self, member: &str, session: u64, to: Option<&str>) {
        let (member, task, to) = (name(member), name("t"), to.map(name));
        self.act(Action::ReleaseLease { member, session, task, successor: to }).expect("nothing against it");
    }

    /// Who has it, and by which fence.
    fn holder(&self, task: &str) -> Option<(String, u64)> {
        let holder = self.state.lease(&name(task))?.holder.clone()?;
        Some((holder.member.to_string(), holder.fencing_token))
    }
}

#[test]
fn a_task_goes_to_whoever_waits_in_turn_with_a_fence_that_only_grows() {
    let mut desk = Desk::default();
    let [a, b, c] = ["a", "b", "c"].map(|m| desk.joins(m, m.as_bytes()[0].into()));
    for (member, session) in [("a", a), ("b", b), ("c", c), ("a", a), ("b", b)] {
        desk.wants(member, session, "t").expect("room");
    }
    let (holder, first) = desk.holder("t").expect("it was free");
    assert_eq!((holder.as_str(), desk.state.lease(&name("t")).map(|l| l.queue.len())), ("a", Some(2)));
    // Given back by another or an earlier session: nothing; by its holder to a named one: that one, before the queue.
    desk.back("a", a + 1, None);
    assert_eq!(desk.holder("t"), Some(("a".to_owned(), first)));
    desk.back("a", a, Some("c"));
    let (holder, second) = desk.holder("t").expect("handed over");
    assert!(holder == "c" && second > first);
    // An operator asks it back: it stays until it is, and another grant is not meant.
    assert!(
        desk.op(Operation::RevokeLease { task: name("t"), fencing_token: first, successor: None }).is_err()
    );
    desk.op(Operation::RevokeLease { task: name("t"), fencing_token: second, successor: None })
        .expect("c has it");
    assert_eq!(desk.holder("t"), Some(("c".to_owned(), second)));
    desk.back("c", c, None);
    let (holder, third) = desk.holder("t").expect("b waits");
    assert!(holder == "b" && third > second);
    // A restore takes nobody's lease, and fences do not go back.
    let backup = desk.state.snapshot();
    desk.act(Action::Restore(backup)).expect("it fits");
    assert_eq!(desk.holder("t"), Some(("b".to_owned(), third)));
    desk.wants("a", a, "t").expect("room");
    let mut sessions = [a, b];
    for (n, member) in ["b", "a", "b", "a"].into_iter().enumerate() {
        let at = usize::from(member == "b");
        let before = desk.holder("t").expect("held").1;
        desk.act(Action::ExpireSession { member: name(member), session: sessions[at] })
            .expect("it was there");
        let other = desk.holder("t").expect("the other waits");
        assert!(other.0 != member && other.1 > before, "{other:?}");
        sessions[at] = desk.joins(member, 200 + n as u64);
        desk.wants(member, sessions[at], "t").expect("room");
    }
    assert!(
        matches!(desk.wants("a", a, "t"), Err(Rejection::SessionEnded { .. })),
        "an old session wants nothing"
    );
}

#[test]
fn one_that_is_to_go_or_not_ready_gets_no_task_and_a_replaced_process_keeps_its_own_until_it_has_lapsed() {
    let mut desk = Desk::default();
    let a = desk.joins("a", 1);
    desk.act(Action::ReportReadiness { member: name("a"), session: a, sequence: 1, ready: false })
        .expect("it is there");
    desk.wants("a", a, "t").expect("room");
    assert_eq!(desk.holder("t"), None, "it takes no clients");
    desk.act(Action::ReportReadiness { member: name("a"), session: a, sequence: 2, ready: true })
        .expect("it is there");
    let (_, fence) = desk.holder("t").expect("now it may");
    let again = desk.joins("a", 2);
    desk.wants("a", again, "t").expect("room");
    assert_eq!(desk.holder("t").map(|h| h.1), Some(fence), "the old process may only be paused");
    desk.back("a", a + 1_000, None);
    assert_eq!(desk.state.lease(&name("t")).map(|l| l.queue.len()), Some(1), "no such session withdraws");
    assert!(
        desk.act(Action::ExpireSupersededSession { member: name("a"), session: again }).is_err(),
        "this one goes on"
    );
    // The leader counts from when it saw that the session was replaced, by its own clock and with the margin.
    let (mut leader, at) = (Sessions::new(TTL), Duration::from_secs_f64);
    assert_eq!(leader.expired(at(10.0), &desk.state), []);
    assert_eq!(
        leader.record_heartbeat(at(13.0), &desk.state, &name("a"), again, None),
        HeartbeatOutcome::Renewed
    );
    assert_eq!(leader.expired(at(14.1), &desk.state), []);
    let lapse = Action::ExpireSupersededSession { member: name("a"), session: a };
    assert_eq!(leader.expired(at(14.3), &desk.state), std::slice::from_ref(&lapse));
    desk.act(lapse).expect("it was replaced");
    let (_, newer) = desk.holder("t").expect("the new life waits");
    assert!(newer > fence);
    assert!(desk.state.get(&Key::Lease(name("t"))).is_some_and(|e| e.revision == newer));
    // What is acted on takes the new one, and the old one no more.
    let mut witness = FencingGuard::default();
    assert_eq!(witness.check(&name("t"), fence), Ok(()));
    assert_eq!(witness.check(&name("t"), newer), Ok(()));
    assert_eq!(witness.check(&name("t"), fence), Err(StaleFencingToken { found: fence, newest: newer }));
    assert_eq!(witness.check(&name("other"), fence), Ok(()));
}

#[test]
fn a_step_begins_only_if_it_surely_ends_within_the_session_that_has_the_lease() {
    let mut desk = Desk::default();
    let a = desk.joins("a", 1);
    desk.wants("a", a, "t").expect("room");
    let lease = desk.state.lease(&name("t")).cloned().expect("held");
    let (me, at) = (name("a"), Duration::from_secs_f64);
    let tenure = SessionValidity::new(TTL, a, at(10.0));
    let act = |tenure: SessionValidity, now, lease: &Lease| {
        tenure.authorize(at(now), at(1.0), &me, lease).map(|_| ())
    };
    assert_eq!(act(tenure, 12.7, &lease), Ok(()));
    assert_eq!(
        act(tenure, 12.8, &lease),
        Err(NotAuthorized::WouldExpire),
        "3.8 s by this clock, and a step of one"
    );
    let renewed = tenure.renewed(TTL, a, at(11.0));
    assert_eq!(act(renewed, 13.7, &lease), Ok(()));
    assert_eq!(
        act(renewed.renewed(TTL, a, at(10.5)), 13.7, &lease),
        Ok(()),
        "an old answer takes nothing away"
    );
    assert_eq!(act(renewed.renewed(TTL, a + 1, at(12.0)), 12.1, &lease), Err(NotAuthorized::NotHolder));
    assert_eq!(act(tenure, 10.1, &Lease { revoked: true, ..lease.clone() }), Err(NotAuthorized::Revoked));
    assert_eq!(act(tenure, 10.1, &lease.released()), Err(NotAuthorized::NotHolder));
}

/// In the model fewer steps of time are enough.
const SHORT: SessionTtl = SessionTtl(Duration::from_secs(2));

// ---- Every order: two members, one of which is replaced while its old process is paused; beats and answers that are late or lost;
// leaders that come and go; clocks at the two ends of what is allowed ----

/// What is taken out, to show that it is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Without {
    Nothing,
    /// A member counts from when the answer came.
    SendTime,
    /// A session that was replaced frees its leases at once.
    Lapse,
    /// A new leader takes it that it has heard nobody for as long as its predecessor led.
    Extension,
}

/// A process, which may be paused whenever it does nothing.
#[derive(Clone, Debug, PartialEq)]
struct Process {
    member: usize,
    life: u64,
    tenure: Option<(u64, SessionValidity)>,
    /// The lease as its copy has it.
    copy: Lease,
    /// The session that the next beat is for, and when it was sent, by this process's clock.
    beat: Option<(u64, Duration)>,
    /// The answer to it, on its way: whether it was counted.
    answer: Option<(u64, Duration, HeartbeatOutcome)>,
}

#[derive(Clone, Debug)]
struct World {
    desk: Desk,
    leader: Sessions,
    now: u32,
    processes: Vec<Process>,
    elections: u32,
}

/// Members' clocks run slow, the leader's fast, by what is allowed.
fn member_clock(now: u32) -> Duration {
    Duration::from_secs(now.into()).mul_f64(0.95)
}

fn leader_clock(now: u32) -> Duration {
    Duration::from_secs(now.into()).mul_f64(1.05)
}

impl World {
    fn text(&self) -> String {
        // Not the numbers of requests, which decide nothing.
        let (entries, rest) = (self.desk.state.snapshot(), (self.now, &self.processes, self.elections));
        format!("{entries:?}{:?}{rest:?}", self.leader)
    }

    /// Those that may begin a step now.
    fn acting(&self) -> usize {
        let may = |p: &&Process| {
            let member = name(&format!("m{}", p.member));
            p.tenure.is_some_and(|(_, t)| {
                t.authorize(member_clock(self.now), Duration::ZERO, &member, &p.copy).is_ok()
            })
        };
        self.processes.iter().filter(may).count()
    }
}

impl PartialEq for World {
    fn eq(&self, other: &Self) -> bool {
        self.text() == other.text()
    }
}

impl Eq for World {}

impl Hash for World {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.text().hash(hasher);
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    Time,
    /// A process joins and asks for the task.
    Join(usize),
    /// It takes in the newest state.
    See(usize),
    Send(usize),
    /// Its beat arrives at the leader.
    Arrives(usize),
    /// The answer arrives.
    Answered(usize),
    /// All three at once: what can go wrong on the way is shown by the first member.
    Beats(usize),
    /// It stops acting and gives the task back.
    Back(usize),
    /// The first member is started anew; its old process may only be paused.
    Restart,
    Elect,
    /// The leader has ended what is overdue.
    Look,
}

struct LeaseModel {
    without: Without,
    /// The first member is started anew, once.
    restarts: bool,
    /// Another keeper leads, once.
    elects: bool,
}

impl Model for LeaseModel {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let process = |member| Process {
            member,
            life: 1,
            tenure: None,
            copy: Lease::default(),
            beat: None,
            answer: None,
        };
        let (leader, processes) = (Sessions::new(SHORT), vec![process(0), process(1)]);
        let mut world = World { desk: Desk::default(), leader, now: 0, processes, elections: 0 };
        // Both are there, and the first has the task and knows it.
        for step in [Step::Join(0), Step::Join(1), Step::See(0), Step::Look] {
            world = self.next_state(&world, step).expect("possible");
        }
        vec![world]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Step>) {
        if world.now < 6 {
            actions.push(Step::Time);
        }
        for (i, process) in world.processes.iter().enumerate() {
            match process.tenure {
                None => actions.push(Step::Join(i)),
                Some(_) if process.member == 1 => {
                    actions.extend([Step::See(i), Step::Beats(i), Step::Back(i)])
                }
                Some(_) => actions.extend([Step::See(i), Step::Send(i), Step::Back(i)]),
            }
            if process.answer.is_some() {
                actions.push(Step::Answered(i));
            }
            if process.beat.is_some() {
                actions.push(Step::Arrives(i));
            }
        }
        if world.processes.len() == 2 && self.restarts {
            actions.push(Step::Restart);
        }
        if world.elections < 1 && self.elects {
            actions.push(Step::Elect);
        }
        actions.push(Step::Look);
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut world = world.clone();
        let (here, there) = (member_clock(world.now), leader_clock(world.now));
        match step {
            Step::Time => world.now += 1,
            Step::Join(i) => {
                let (member, life) = (world.processes[i].member, world.processes[i].life);
                let called = format!("m{member}");
                let old = world.desk.state.member(&name(&called)).map(|m| m.session);
                let session = world.desk.tries_to_join(&called, member as u64 * 100 + life)?;
                if let (Without::Lapse, Some(session)) = (self.without, old) {
                    let _ =
                        world.desk.act(Action::ExpireSupersededSession { member: name(&called), session });
                }
                let _ = world.desk.wants(&called, session, "t");
                world.leader.record_heartbeat(there, &world.desk.state, &name(&called), session, None);
                world.processes[i].tenure = Some((session, SessionValidity::new(SHORT, session, here)));
            }
            Step::See(i) => {
                world.processes[i].copy = world.desk.state.lease(&name("t")).cloned().unwrap_or_default();
            }
            Step::Send(i) => {
                let session = world.processes[i].tenure?.0;
                world.processes[i].beat = Some((session, here));
            }
            Step::Arrives(i) => {
                let (session, sent) = world.processes[i].beat.take()?;
                let member = name(&format!("m{}", world.processes[i].member));
                let beat = world.leader.record_heartbeat(there, &world.desk.state, &member, session, None);
                world.processes[i].answer = Some((session, sent, beat));
            }
            Step::Beats(i) => {
                for step in [Step::Send(i), Step::Arrives(i), Step::Answered(i)] {
                    world = self.next_state(&world, step)?;
                }
            }
            Step::Answered(i) => {
                let (session, sent, beat) = world.processes[i].answer.take()?;
                let sent = if self.without == Without::SendTime { here } else { sent };
                let tenure = &mut world.processes[i].tenure;
                *tenure = match (beat, *tenure) {
                    (HeartbeatOutcome::Renewed, Some((_, now))) => {
                        Some((session, now.renewed(SHORT, session, sent)))
                    }
                    (HeartbeatOutcome::Renewed, None) => None,
                    // A process that was replaced ends; another one joins again.
                    (HeartbeatOutcome::SessionEnded, _) => None,
                };
            }
            Step::Back(i) => {
                let (session, _) = world.processes[i].tenure?;
                world.processes[i].copy = Lease::default();
                let called = format!("m{}", world.processes[i].member);
                world.desk.back(&called, session, None);
            }
            Step::Restart => {
                let first = &world.processes[0];
                let (tenure, beat, answer, copy) = (None, None, None, Lease::default());
                let fresh = Process { life: 2, tenure, beat, answer, copy, ..first.clone() };
                world.processes.push(fresh);
            }
            Step::Elect => {
                world.elections += 1;
                world.leader = Sessions::new(SHORT);
                if self.without == Without::Extension {
                    world.leader.expired(Duration::ZERO, &world.desk.state);
                }
            }
            Step::Look => {
                for act in world.leader.expired(there, &world.desk.state) {
                    let _ = world.desk.act(act);
                }
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("two never act at once", |_, w: &World| w.acting() <= 1),
            Property::sometimes("the second acts", |_, w: &World| {
                w.acting() == 1 && w.processes[1].copy.holder.as_ref().is_some_and(|h| h.member == name("m1"))
            }),
        ]
    }
}

#[test]
fn no_order_of_pauses_restarts_lost_beats_and_leaders_has_two_act_at_once() {
    use Without::{Extension, Lapse, Nothing, SendTime};
    let check = |without, restarts, elects, depth| {
        let model = LeaseModel { without, restarts, elects };
        let checker = model.checker().threads(4).target_max_depth(depth).spawn_bfs().join();
        let path = |rule| checker.discovery(rule).map(|path| path.into_actions());
        let found = path("two never act at once");
        println!("without {without:?}, to depth {depth}: {} states, {found:?}", checker.unique_state_count());
        (found, path("the second acts").is_some())
    };
    assert_eq!(check(Nothing, true, true, 9), (None, true));
    // Each guard taken out is found, where the whole shows nothing as far as that.
    for (guard, restarts, elects, depth) in
        [(SendTime, false, false, 11), (Lapse, true, false, 9), (Extension, false, true, 12)]
    {
        assert_eq!(check(Nothing, restarts, elects, depth).0, None);
        assert!(check(guard, restarts, elects, depth).0.is_some(), "{guard:?} is not missed");
    }
}
