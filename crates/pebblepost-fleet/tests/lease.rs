//! Leases: who holds them, and that no order of pauses, restarts, lost answers and leader changes lets two
//! holders act at once.

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
struct Fleet {
    state: State,
    last_request: u64,
}

impl Fleet {
    fn apply(&mut self, action: Action) -> CommandResult {
        self.last_request += 1;
        self.state.apply(&Command {
            id: RequestId(1, self.last_request),
            issued_by: name("o"),
            issued_at_ms: 0,
            action,
        })
    }

    fn change(&mut self, operation: Operation) -> CommandResult {
        let reason = "a test".parse().expect("a sound text");
        self.apply(Action::Change { operations: vec![operation], preconditions: Vec::new(), reason })
    }

    /// The new session; `None`: a later incarnation has the name.
    fn try_join(&mut self, member: &str, incarnation: u64) -> Option<u64> {
        let (version, zone, address) = (Text::default(), Text::default(), None);
        let info = MemberInfo { role: Role::Dispatcher, version, address, zone, ready: true };
        let joined = self.apply(Action::Join {
            member: name(member),
            incarnation_id: IncarnationId(7, incarnation),
            info,
        });
        joined.ok()?.session
    }

    fn join(&mut self, member: &str, incarnation: u64) -> u64 {
        self.try_join(member, incarnation).expect("it may join")
    }

    fn acquire(&mut self, member: &str, session: u64, task: &str) -> CommandResult {
        self.apply(Action::AcquireLeases { member: name(member), session, tasks: vec![name(task)] })
    }

    fn release(&mut self, member: &str, session: u64, to: Option<&str>) {
        let (member, task, to) = (name(member), name("t"), to.map(name));
        self.apply(Action::ReleaseLease { member, session, task, successor: to })
            .expect("nothing against it");
    }

    /// The holder with its fencing token.
    fn holder(&self, task: &str) -> Option<(String, u64)> {
        let holder = self.state.lease(&name(task))?.holder.clone()?;
        Some((holder.member.to_string(), holder.fencing_token))
    }
}

#[test]
fn leases_are_granted_in_the_order_of_requests_with_growing_fencing_tokens() {
    let mut fleet = Fleet::default();
    let [session_a, session_b, session_c] =
        ["a", "b", "c"].map(|member| fleet.join(member, member.as_bytes()[0].into()));
    for (member, session) in
        [("a", session_a), ("b", session_b), ("c", session_c), ("a", session_a), ("b", session_b)]
    {
        fleet.acquire(member, session, "t").expect("room");
    }
    let (holder, first) = fleet.holder("t").expect("it was free");
    assert_eq!(
        (holder.as_str(), fleet.state.lease(&name("t")).map(|lease| lease.queue.len())),
        ("a", Some(2))
    );
    // A release by another session changes nothing; one by the holder may name a successor, which passes the
    // queue.
    fleet.release("a", session_a + 1, None);
    assert_eq!(fleet.holder("t"), Some(("a".to_owned(), first)));
    fleet.release("a", session_a, Some("c"));
    let (holder, second) = fleet.holder("t").expect("handed over");
    assert!(holder == "c" && second > first);
    // A revoked lease stays with its holder until it is released; another grant is not revoked.
    assert!(
        fleet
            .change(Operation::RevokeLease { task: name("t"), fencing_token: first, successor: None })
            .is_err()
    );
    fleet
        .change(Operation::RevokeLease { task: name("t"), fencing_token: second, successor: None })
        .expect("c has it");
    assert_eq!(fleet.holder("t"), Some(("c".to_owned(), second)));
    fleet.release("c", session_c, None);
    let (holder, third) = fleet.holder("t").expect("b waits");
    assert!(holder == "b" && third > second);
    // A restore frees no lease, and fencing tokens do not go back.
    let backup = fleet.state.snapshot();
    fleet.apply(Action::Restore(backup)).expect("it fits");
    assert_eq!(fleet.holder("t"), Some(("b".to_owned(), third)));
    fleet.acquire("a", session_a, "t").expect("room");
    let mut sessions = [session_a, session_b];
    for (n, member) in ["b", "a", "b", "a"].into_iter().enumerate() {
        let at = usize::from(member == "b");
        let before = fleet.holder("t").expect("held").1;
        fleet
            .apply(Action::ExpireSession { member: name(member), session: sessions[at] })
            .expect("it was there");
        let other = fleet.holder("t").expect("the other waits");
        assert!(other.0 != member && other.1 > before, "{other:?}");
        sessions[at] = fleet.join(member, 200 + n as u64);
        fleet.acquire(member, sessions[at], "t").expect("room");
    }
    assert!(
        matches!(fleet.acquire("a", session_a, "t"), Err(Rejection::SessionEnded { .. })),
        "an ended session acquires nothing"
    );
}

#[test]
fn unready_members_get_no_lease_and_a_superseded_session_keeps_its_lease_until_it_expires() {
    let mut fleet = Fleet::default();
    let first = fleet.join("a", 1);
    fleet
        .apply(Action::ReportReadiness { member: name("a"), session: first, sequence: 1, ready: false })
        .expect("it is there");
    fleet.acquire("a", first, "t").expect("room");
    assert_eq!(fleet.holder("t"), None, "it is not ready");
    fleet
        .apply(Action::ReportReadiness { member: name("a"), session: first, sequence: 2, ready: true })
        .expect("it is there");
    let (_, fence) = fleet.holder("t").expect("it is ready");
    let again = fleet.join("a", 2);
    fleet.acquire("a", again, "t").expect("room");
    assert_eq!(fleet.holder("t").map(|holder| holder.1), Some(fence), "the old process may only be paused");
    fleet.release("a", first + 1_000, None);
    assert_eq!(
        fleet.state.lease(&name("t")).map(|lease| lease.queue.len()),
        Some(1),
        "another session does not withdraw"
    );
    assert!(
        fleet.apply(Action::ExpireSupersededSession { member: name("a"), session: again }).is_err(),
        "this session lasts"
    );
    // The leader counts from when it saw that the session was superseded, by its own clock and with the
    // margin.
    let (mut leader, at) = (Sessions::new(TTL), Duration::from_secs_f64);
    assert_eq!(leader.expire_sessions(at(10.0), &fleet.state), []);
    assert_eq!(
        leader.record_heartbeat(at(13.0), &fleet.state, &name("a"), again, None),
        HeartbeatOutcome::Renewed
    );
    assert_eq!(leader.expire_sessions(at(14.1), &fleet.state), []);
    let expire = Action::ExpireSupersededSession { member: name("a"), session: first };
    assert_eq!(leader.expire_sessions(at(14.3), &fleet.state), std::slice::from_ref(&expire));
    fleet.apply(expire).expect("it was superseded");
    let (_, newer) = fleet.holder("t").expect("the new incarnation waits");
    assert!(newer > fence);
    assert!(fleet.state.get(&Key::Lease(name("t"))).is_some_and(|entry| entry.revision == newer));
    // What is acted on accepts the new token and rejects the old one.
    let mut guard = FencingGuard::default();
    assert_eq!(guard.check(&name("t"), fence), Ok(()));
    assert_eq!(guard.check(&name("t"), newer), Ok(()));
    assert_eq!(guard.check(&name("t"), fence), Err(StaleFencingToken { found: fence, newest: newer }));
    assert_eq!(guard.check(&name("other"), fence), Ok(()));
}

#[test]
fn a_step_is_authorized_only_if_it_ends_within_the_session_that_holds_the_lease() {
    let mut fleet = Fleet::default();
    let first = fleet.join("a", 1);
    fleet.acquire("a", first, "t").expect("room");
    let lease = fleet.state.lease(&name("t")).cloned().expect("held");
    let (member, at) = (name("a"), Duration::from_secs_f64);
    let validity = SessionValidity::new(TTL, first, at(10.0));
    let authorize = |validity: SessionValidity, now, lease: &Lease| {
        validity.authorize(at(now), at(1.0), &member, lease).map(|_| ())
    };
    assert_eq!(authorize(validity, 12.7, &lease), Ok(()));
    assert_eq!(
        authorize(validity, 12.8, &lease),
        Err(NotAuthorized::WouldExpire),
        "3.8 s by this clock, and a step of 1 s"
    );
    let renewed = validity.renewed(TTL, first, at(11.0));
    assert_eq!(authorize(renewed, 13.7, &lease), Ok(()));
    assert_eq!(
        authorize(renewed.renewed(TTL, first, at(10.5)), 13.7, &lease),
        Ok(()),
        "an older answer shortens nothing"
    );
    assert_eq!(
        authorize(renewed.renewed(TTL, first + 1, at(12.0)), 12.1, &lease),
        Err(NotAuthorized::NotHolder)
    );
    assert_eq!(
        authorize(validity, 10.1, &Lease { revoked: true, ..lease.clone() }),
        Err(NotAuthorized::Revoked)
    );
    assert_eq!(authorize(validity, 10.1, &lease.released()), Err(NotAuthorized::NotHolder));
}

/// In the model fewer steps of time are enough.
const SHORT: SessionTtl = SessionTtl(Duration::from_secs(2));

// ---- Every order: two members, one of which is restarted while its old process is paused; heartbeats and answers that are late
// or lost; leaders that change; clocks at both ends of the allowed rates ----

/// A guard that is taken out, to show that the model finds that.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Without {
    Nothing,
    /// A member counts from when the answer came.
    SendTime,
    /// A superseded session frees its leases at once.
    SupersededExpiry,
    /// A new leader counts the time of its predecessor as time without heartbeats.
    Extension,
}

/// A process, which may be paused whenever it does nothing.
#[derive(Clone, Debug, PartialEq)]
struct Process {
    member: usize,
    incarnation: u64,
    validity: Option<(u64, SessionValidity)>,
    /// The lease as its copy has it.
    copy: Lease,
    /// A heartbeat on its way: its session, and when it was sent by this process's clock.
    heartbeat: Option<(u64, Duration)>,
    /// The answer on its way.
    answer: Option<(u64, Duration, HeartbeatOutcome)>,
}

#[derive(Clone, Debug)]
struct World {
    fleet: Fleet,
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
        let (entries, rest) = (self.fleet.state.snapshot(), (self.now, &self.processes, self.elections));
        format!("{entries:?}{:?}{rest:?}", self.leader)
    }

    /// Those that may begin a step now.
    fn acting(&self) -> usize {
        let may = |process: &&Process| {
            let member = name(&format!("m{}", process.member));
            process.validity.is_some_and(|(_, validity)| {
                validity.authorize(member_clock(self.now), Duration::ZERO, &member, &process.copy).is_ok()
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
    /// A process joins and requests the lease.
    Join(usize),
    /// It reads the newest state.
    Update(usize),
    Send(usize),
    /// Its heartbeat arrives at the leader.
    Arrives(usize),
    /// The answer arrives.
    Answered(usize),
    /// All three at once: what can go wrong on the way is modelled at the first member.
    RoundTrip(usize),
    /// It stops acting and releases the lease.
    Release(usize),
    /// The first member is restarted; its old process may only be paused.
    Restart,
    Elect,
    /// The leader ends expired sessions.
    Check,
}

struct LeaseModel {
    without: Without,
    /// The first member is restarted, once.
    restarts: bool,
    /// The leader changes, once.
    elects: bool,
}

impl Model for LeaseModel {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let process = |member| Process {
            member,
            incarnation: 1,
            validity: None,
            copy: Lease::default(),
            heartbeat: None,
            answer: None,
        };
        let (leader, processes) = (Sessions::new(SHORT), vec![process(0), process(1)]);
        let mut world = World { fleet: Fleet::default(), leader, now: 0, processes, elections: 0 };
        // Both are present, and the first holds the lease and knows it.
        for step in [Step::Join(0), Step::Join(1), Step::Update(0), Step::Check] {
            world = self.next_state(&world, step).expect("possible");
        }
        vec![world]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Step>) {
        if world.now < 6 {
            actions.push(Step::Time);
        }
        for (i, process) in world.processes.iter().enumerate() {
            match process.validity {
                None => actions.push(Step::Join(i)),
                Some(_) if process.member == 1 => {
                    actions.extend([Step::Update(i), Step::RoundTrip(i), Step::Release(i)])
                }
                Some(_) => actions.extend([Step::Update(i), Step::Send(i), Step::Release(i)]),
            }
            if process.answer.is_some() {
                actions.push(Step::Answered(i));
            }
            if process.heartbeat.is_some() {
                actions.push(Step::Arrives(i));
            }
        }
        if world.processes.len() == 2 && self.restarts {
            actions.push(Step::Restart);
        }
        if world.elections < 1 && self.elects {
            actions.push(Step::Elect);
        }
        actions.push(Step::Check);
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut world = world.clone();
        let (here, there) = (member_clock(world.now), leader_clock(world.now));
        match step {
            Step::Time => world.now += 1,
            Step::Join(i) => {
                let (member, incarnation) = (world.processes[i].member, world.processes[i].incarnation);
                let called = format!("m{member}");
                let old = world.fleet.state.member(&name(&called)).map(|member| member.session);
                let session = world.fleet.try_join(&called, member as u64 * 100 + incarnation)?;
                if let (Without::SupersededExpiry, Some(session)) = (self.without, old) {
                    let _ =
                        world.fleet.apply(Action::ExpireSupersededSession { member: name(&called), session });
                }
                let _ = world.fleet.acquire(&called, session, "t");
                world.leader.record_heartbeat(there, &world.fleet.state, &name(&called), session, None);
                world.processes[i].validity = Some((session, SessionValidity::new(SHORT, session, here)));
            }
            Step::Update(i) => {
                world.processes[i].copy = world.fleet.state.lease(&name("t")).cloned().unwrap_or_default();
            }
            Step::Send(i) => {
                let session = world.processes[i].validity?.0;
                world.processes[i].heartbeat = Some((session, here));
            }
            Step::Arrives(i) => {
                let (session, sent) = world.processes[i].heartbeat.take()?;
                let member = name(&format!("m{}", world.processes[i].member));
                let heartbeat =
                    world.leader.record_heartbeat(there, &world.fleet.state, &member, session, None);
                world.processes[i].answer = Some((session, sent, heartbeat));
            }
            Step::RoundTrip(i) => {
                for step in [Step::Send(i), Step::Arrives(i), Step::Answered(i)] {
                    world = self.next_state(&world, step)?;
                }
            }
            Step::Answered(i) => {
                let (session, sent, heartbeat) = world.processes[i].answer.take()?;
                let sent = if self.without == Without::SendTime { here } else { sent };
                let validity = &mut world.processes[i].validity;
                *validity = match (heartbeat, *validity) {
                    (HeartbeatOutcome::Renewed, Some((_, now))) => {
                        Some((session, now.renewed(SHORT, session, sent)))
                    }
                    (HeartbeatOutcome::Renewed, None) => None,
                    // A superseded process ends; another one joins again.
                    (HeartbeatOutcome::SessionEnded, _) => None,
                };
            }
            Step::Release(i) => {
                let (session, _) = world.processes[i].validity?;
                world.processes[i].copy = Lease::default();
                let called = format!("m{}", world.processes[i].member);
                world.fleet.release(&called, session, None);
            }
            Step::Restart => {
                let first = &world.processes[0];
                let (validity, heartbeat, answer, copy) = (None, None, None, Lease::default());
                let fresh = Process { incarnation: 2, validity, heartbeat, answer, copy, ..first.clone() };
                world.processes.push(fresh);
            }
            Step::Elect => {
                world.elections += 1;
                world.leader = Sessions::new(SHORT);
                if self.without == Without::Extension {
                    world.leader.expire_sessions(Duration::ZERO, &world.fleet.state);
                }
            }
            Step::Check => {
                for action in world.leader.expire_sessions(there, &world.fleet.state) {
                    let _ = world.fleet.apply(action);
                }
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("two never act at once", |_, world: &World| world.acting() <= 1),
            Property::sometimes("the second acts", |_, world: &World| {
                world.acting() == 1
                    && world.processes[1]
                        .copy
                        .holder
                        .as_ref()
                        .is_some_and(|holder| holder.member == name("m1"))
            }),
        ]
    }
}

#[test]
fn no_order_of_pauses_restarts_lost_heartbeats_and_leaders_lets_two_holders_act_at_once() {
    use Without::{Extension, Nothing, SendTime, SupersededExpiry};
    let check = |without, restarts, elects, depth| {
        let model = LeaseModel { without, restarts, elects };
        let checker = model.checker().threads(4).target_max_depth(depth).spawn_bfs().join();
        let path = |rule| checker.discovery(rule).map(|path| path.into_actions());
        let found = path("two never act at once");
        println!("without {without:?}, to depth {depth}: {} states, {found:?}", checker.unique_state_count());
        (found, path("the second acts").is_some())
    };
    assert_eq!(check(Nothing, true, true, 9), (None, true));
    // Each missing guard is found at a depth at which all guards together show nothing.
    for (guard, restarts, elects, depth) in
        [(SendTime, false, false, 11), (SupersededExpiry, true, false, 9), (Extension, false, true, 12)]
    {
        assert_eq!(check(Nothing, restarts, elects, depth).0, None);
        assert!(check(guard, restarts, elects, depth).0.is_some(), "{guard:?} is not missed");
    }
}
