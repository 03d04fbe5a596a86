//! Tests of leases, and a model which shows that no order of pauses, restarts, lost answers and leader
//! changes lets two holders act at once.

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
    text.parse().expect("a valid name")
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
        let reason = "a test".parse().expect("a valid text");
        self.apply(Action::Change { operations: vec![operation], preconditions: Vec::new(), reason })
    }

    /// Returns the new session, or `None` if a later incarnation has the name.
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
        self.try_join(member, incarnation).expect("the join is accepted")
    }

    fn acquire(&mut self, member: &str, session: u64, task: &str) -> CommandResult {
        self.apply(Action::AcquireLeases { member: name(member), session, tasks: vec![name(task)] })
    }

    fn release(&mut self, member: &str, session: u64, to: Option<&str>) {
        let (member, task, to) = (name(member), name("t"), to.map(name));
        self.apply(Action::ReleaseLease { member, session, task, successor: to })
            .expect("the command is accepted");
    }

    /// Returns the holder with its fencing token.
    fn holder(&self, task: &str) -> Option<(String, u64)> {
        let holder = self.state.lease(&name(task))?.holder.clone()?;
        Some((holder.member.to_string(), holder.fencing_token))
    }
}

#[test]
fn leases_are_granted_in_the_order_of_requests_with_increasing_fencing_tokens() {
    let mut fleet = Fleet::default();
    let [session_a, session_b, session_c] =
        ["a", "b", "c"].map(|member| fleet.join(member, member.as_bytes()[0].into()));
    for (member, session) in
        [("a", session_a), ("b", session_b), ("c", session_c), ("a", session_a), ("b", session_b)]
    {
        fleet.acquire(member, session, "t").expect("capacity is left");
    }
    let (holder, first) = fleet.holder("t").expect("the lease was free");
    assert_eq!(
        (holder.as_str(), fleet.state.lease(&name("t")).map(|lease| lease.queue.len())),
        ("a", Some(2))
    );
    // A release by another session changes nothing. The holder may name a successor, which goes ahead of the
    // queue.
    fleet.release("a", session_a + 1, None);
    assert_eq!(fleet.holder("t"), Some(("a".to_owned(), first)));
    fleet.release("a", session_a, Some("c"));
    let (holder, second) = fleet.holder("t").expect("the successor has the lease");
    assert!(holder == "c" && second > first);
    // A revoked lease stays with its holder until it is released. The token of an earlier grant revokes
    // nothing.
    assert!(
        fleet
            .change(Operation::RevokeLease { task: name("t"), fencing_token: first, successor: None })
            .is_err()
    );
    fleet
        .change(Operation::RevokeLease { task: name("t"), fencing_token: second, successor: None })
        .expect("c holds the lease");
    assert_eq!(fleet.holder("t"), Some(("c".to_owned(), second)));
    fleet.release("c", session_c, None);
    let (holder, third) = fleet.holder("t").expect("b gets the lease");
    assert!(holder == "b" && third > second);
    // A restore frees no lease, and fencing tokens do not decrease.
    let backup = fleet.state.snapshot();
    fleet.apply(Action::Restore(backup)).expect("the backup is restored");
    assert_eq!(fleet.holder("t"), Some(("b".to_owned(), third)));
    fleet.acquire("a", session_a, "t").expect("capacity is left");
    let mut sessions = [session_a, session_b];
    for (n, member) in ["b", "a", "b", "a"].into_iter().enumerate() {
        let at = usize::from(member == "b");
        let before = fleet.holder("t").expect("the lease is held").1;
        fleet
            .apply(Action::ExpireSession { member: name(member), session: sessions[at] })
            .expect("the session was valid");
        let other = fleet.holder("t").expect("the other member waits");
        assert!(other.0 != member && other.1 > before, "{other:?}");
        sessions[at] = fleet.join(member, 200 + n as u64);
        fleet.acquire(member, sessions[at], "t").expect("capacity is left");
    }
    assert!(
        matches!(fleet.acquire("a", session_a, "t"), Err(Rejection::SessionEnded { .. })),
        "an ended session cannot acquire leases"
    );
}

#[test]
fn unready_members_get_no_lease_and_a_superseded_session_keeps_its_lease_until_it_expires() {
    let mut fleet = Fleet::default();
    let first = fleet.join("a", 1);
    fleet
        .apply(Action::ReportReadiness { member: name("a"), session: first, sequence: 1, ready: false })
        .expect("the member is present");
    fleet.acquire("a", first, "t").expect("capacity is left");
    assert_eq!(fleet.holder("t"), None, "an unready member gets no lease");
    fleet
        .apply(Action::ReportReadiness { member: name("a"), session: first, sequence: 2, ready: true })
        .expect("the member is present");
    let (_, fence) = fleet.holder("t").expect("a ready member gets the lease");
    let again = fleet.join("a", 2);
    fleet.acquire("a", again, "t").expect("capacity is left");
    assert_eq!(fleet.holder("t").map(|holder| holder.1), Some(fence), "the old process may only be paused");
    fleet.release("a", first + 1_000, None);
    assert_eq!(
        fleet.state.lease(&name("t")).map(|lease| lease.queue.len()),
        Some(1),
        "another session does not remove the member from the queue"
    );
    assert!(
        fleet.apply(Action::ExpireSupersededSession { member: name("a"), session: again }).is_err(),
        "the session is still valid"
    );
    // The leader counts the time to live with its clock margin, from when it saw that the session was
    // superseded.
    let (mut leader, at) = (Sessions::new(TTL), Duration::from_secs_f64);
    assert_eq!(leader.expire_sessions(at(10.0), &fleet.state), []);
    assert_eq!(
        leader.record_heartbeat(at(13.0), &fleet.state, &name("a"), again, None),
        HeartbeatOutcome::Renewed
    );
    assert_eq!(leader.expire_sessions(at(14.1), &fleet.state), []);
    let expire = Action::ExpireSupersededSession { member: name("a"), session: first };
    assert_eq!(leader.expire_sessions(at(14.3), &fleet.state), std::slice::from_ref(&expire));
    fleet.apply(expire).expect("the session is superseded");
    let (_, newer) = fleet.holder("t").expect("the new incarnation gets the lease");
    assert!(newer > fence);
    assert!(fleet.state.get(&Key::Lease(name("t"))).is_some_and(|entry| entry.revision == newer));
    // The guard accepts the new token and then rejects the old one.
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
    fleet.acquire("a", first, "t").expect("capacity is left");
    let lease = fleet.state.lease(&name("t")).cloned().expect("the lease is held");
    let (member, at) = (name("a"), Duration::from_secs_f64);
    let validity = SessionValidity::new(TTL, first, at(10.0));
    let authorize = |validity: SessionValidity, now, lease: &Lease| {
        validity.authorize(at(now), at(1.0), &member, lease).map(|_| ())
    };
    assert_eq!(authorize(validity, 12.7, &lease), Ok(()));
    assert_eq!(
        authorize(validity, 12.8, &lease),
        Err(NotAuthorized::WouldExpire),
        "the session is valid for 3.8 s by this clock, and the step takes 1 s"
    );
    let renewed = validity.renewed(TTL, first, at(11.0));
    assert_eq!(authorize(renewed, 13.7, &lease), Ok(()));
    assert_eq!(
        authorize(renewed.renewed(TTL, first, at(10.5)), 13.7, &lease),
        Ok(()),
        "an older heartbeat does not shorten the validity"
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

/// A shorter time to live for the model, which then needs fewer steps of time.
const MODEL_TTL: SessionTtl = SessionTtl(Duration::from_secs(2));

// ---- Model: all orders of steps of two members, with delayed or lost heartbeats and answers, leader
// changes, and clocks at both limits of the allowed rates. One member is restarted while its old process is
// paused. ----

/// A safety rule that is left out, to show that the model detects its absence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MissingRule {
    Nothing,
    /// Without it a member counts its session from the answer instead of from sending the heartbeat.
    SendTime,
    /// Without it a superseded session frees its leases at once.
    SupersededExpiry,
    /// Without it a new leader counts the time of its predecessor as time without heartbeats.
    Extension,
}

/// A process. It may be paused between any two of its steps.
#[derive(Clone, Debug, PartialEq)]
struct Process {
    member: usize,
    incarnation: u64,
    validity: Option<(u64, SessionValidity)>,
    /// Lease in the copy of the process.
    copy: Lease,
    /// Heartbeat in flight: its session, and when it was sent by the clock of the process.
    heartbeat: Option<(u64, Duration)>,
    /// Answer in flight, with the session and the time at which the heartbeat was sent.
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

/// Returns the time of a member's clock, which runs slow by the allowed 5%. The leader's runs fast by as
/// much.
fn member_clock(now: u32) -> Duration {
    Duration::from_secs(now.into()).mul_f64(0.95)
}

fn leader_clock(now: u32) -> Duration {
    Duration::from_secs(now.into()).mul_f64(1.05)
}

impl World {
    fn text(&self) -> String {
        // Request ids are left out because no decision depends on them.
        let (entries, rest) = (self.fleet.state.snapshot(), (self.now, &self.processes, self.elections));
        format!("{entries:?}{:?}{rest:?}", self.leader)
    }

    /// Returns how many processes may begin a step of the task now.
    fn acting_count(&self) -> usize {
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
    /// A process takes the newest state as its copy.
    Update(usize),
    Send(usize),
    /// The heartbeat of a process arrives at the leader.
    Arrives(usize),
    /// The answer to a heartbeat arrives at the process.
    Answered(usize),
    /// Sends a heartbeat, delivers it and delivers its answer. Delays and losses are modelled at the first
    /// member only.
    RoundTrip(usize),
    /// A process stops acting and releases the lease.
    Release(usize),
    /// The first member is restarted, while its old process may only be paused.
    Restart,
    Elect,
    /// The leader ends expired sessions.
    Check,
}

struct LeaseModel {
    missing: MissingRule,
    /// Whether the first member is restarted once.
    restarts: bool,
    /// Whether the leader changes once.
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
        let (leader, processes) = (Sessions::new(MODEL_TTL), vec![process(0), process(1)]);
        let mut world = World { fleet: Fleet::default(), leader, now: 0, processes, elections: 0 };
        // Both members are present, and the first one holds the lease and has it in its copy.
        for step in [Step::Join(0), Step::Join(1), Step::Update(0), Step::Check] {
            world = self.next_state(&world, step).expect("the step is possible");
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
                if let (MissingRule::SupersededExpiry, Some(session)) = (self.missing, old) {
                    let _ =
                        world.fleet.apply(Action::ExpireSupersededSession { member: name(&called), session });
                }
                let _ = world.fleet.acquire(&called, session, "t");
                world.leader.record_heartbeat(there, &world.fleet.state, &name(&called), session, None);
                world.processes[i].validity = Some((session, SessionValidity::new(MODEL_TTL, session, here)));
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
                let sent = if self.missing == MissingRule::SendTime { here } else { sent };
                let validity = &mut world.processes[i].validity;
                *validity = match (heartbeat, *validity) {
                    (HeartbeatOutcome::Renewed, Some((_, now))) => {
                        Some((session, now.renewed(MODEL_TTL, session, sent)))
                    }
                    (HeartbeatOutcome::Renewed, None) => None,
                    // A superseded process cannot join again; any other process joins again.
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
                world.leader = Sessions::new(MODEL_TTL);
                if self.missing == MissingRule::Extension {
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
            Property::always("at most one process acts at a time", |_, world: &World| {
                world.acting_count() <= 1
            }),
            Property::sometimes("the second member acts", |_, world: &World| {
                world.acting_count() == 1
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
    use MissingRule::{Extension, Nothing, SendTime, SupersededExpiry};
    let check = |missing, restarts, elects, depth| {
        let model = LeaseModel { missing, restarts, elects };
        let checker = model.checker().threads(4).target_max_depth(depth).spawn_bfs().join();
        let path = |property| checker.discovery(property).map(|path| path.into_actions());
        let found = path("at most one process acts at a time");
        println!("without {missing:?}, to depth {depth}: {} states, {found:?}", checker.unique_state_count());
        (found, path("the second member acts").is_some())
    };
    assert_eq!(check(Nothing, true, true, 9), (None, true));
    // The absence of each rule is detected at a depth at which the model with all rules finds nothing.
    for (rule, restarts, elects, depth) in
        [(SendTime, false, false, 11), (SupersededExpiry, true, false, 9), (Extension, false, true, 12)]
    {
        assert_eq!(check(Nothing, restarts, elects, depth).0, None);
        assert!(check(rule, restarts, elects, depth).0.is_some(), "the absence of {rule:?} is not detected");
    }
}
