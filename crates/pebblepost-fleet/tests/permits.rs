//! Budgets and permits: who may be out at once, and what every order of commands makes of it.

use pebblepost_fleet::availability::WaitReason;
use pebblepost_fleet::follower::Follower;
use pebblepost_fleet::value::{MemberInfo, Role, Worker};
use pebblepost_fleet::{
    Action, Budget, Command, CommandResult, IncarnationId, Key, Limit, Name, Operation, Rejection, RequestId,
    State, Subject, SubjectKind, Text,
};
use stateright::{Checker, Model, Property};
use std::hash::{Hash, Hasher};
use std::time::Duration;

fn name(text: &str) -> Name {
    text.parse().expect("a sound name")
}

fn subject(text: &str) -> Subject {
    text.parse().expect("a sound subject")
}

/// A fleet, and the number of the next request.
#[derive(Clone, Debug, Default)]
struct Fleet {
    state: State,
    next: u64,
}

impl Fleet {
    /// Dispatchers by name and zone, ready in their first life.
    fn of(dispatchers: &[(&str, &str)]) -> Self {
        let mut fleet = Self::default();
        for (n, (member, zone)) in dispatchers.iter().enumerate() {
            fleet.joins(member, zone, n as u64 * 100, "", true);
        }
        fleet
    }

    fn act(&mut self, act: Action) -> CommandResult {
        self.next += 1;
        let (id, by) = (RequestId(1, self.next), name("o"));
        self.state.apply(&Command { id, issued_by: by, issued_at_ms: 0, action: act })
    }

    fn op(&mut self, op: Operation) -> CommandResult {
        let why = "a test".parse().expect("a sound text");
        self.act(Action::Change { operations: vec![op], preconditions: Vec::new(), reason: why })
    }

    fn joins(&mut self, member: &str, zone: &str, life: u64, version: &str, ready: bool) -> u64 {
        let text = |t: &str| t.parse::<Text>().expect("a sound text");
        let card = MemberInfo {
            role: Role::Dispatcher,
            version: text(version),
            address: None,
            zone: text(zone),
            ready,
        };
        let act = Action::Join { member: name(member), incarnation_id: IncarnationId(7, life), info: card };
        self.act(act).expect("it may join").session.expect("a session")
    }

    fn budget(&mut self, kind: SubjectKind, most: Limit, most_in_zone: Option<Limit>, least_in_zone: u32) {
        let budget = Budget {
            max_unavailable: most,
            max_unavailable_per_zone: most_in_zone,
            max_unavailable_per_machine_type: None,
            min_available_per_zone: least_in_zone,
        };
        self.op(Operation::SetBudget(kind, budget)).expect("a sound budget");
    }

    fn ask(&mut self, who: &str, urgent: bool, want: &str) -> CommandResult {
        let want = want.parse().expect("a sound text");
        self.op(Operation::RequestPermit { subject: subject(who), urgent, version: want })
    }

    /// Those with a granted permit.
    fn granted(&self) -> Vec<String> {
        let mut granted: Vec<String> = self
            .state
            .permits()
            .filter(|(_, p)| p.granted_at_revision.is_some())
            .map(|(s, _)| s.to_string())
            .collect();
        granted.sort();
        granted
    }

    fn waits(&self, kind: SubjectKind, who: &str) -> Option<WaitReason> {
        self.state.availability(kind).check(&name(who)).err()
    }
}

const FOUR: [(&str, &str); 4] = [("a", "x"), ("b", "x"), ("c", "y"), ("d", "y")];

#[test]
fn what_is_asked_is_granted_in_turn_and_ends_only_with_a_new_life_that_is_ready_and_as_wanted() {
    let mut fleet = Fleet::of(&FOUR);
    // Without a budget nothing goes.
    fleet.ask("dispatcher/a", false, "2").expect("it waits");
    assert_eq!(fleet.waits(SubjectKind::Dispatcher, "a"), Some(WaitReason::NoBudget));
    assert!(fleet.granted().is_empty());
    fleet.budget(SubjectKind::Dispatcher, Limit::Count(1), None, 0);
    assert_eq!(fleet.granted(), ["dispatcher/a"]);
    fleet.ask("dispatcher/b", false, "2").expect("it waits");
    fleet.ask("dispatcher/c", true, "2").expect("it waits, before b");
    assert_eq!(fleet.waits(SubjectKind::Dispatcher, "b"), Some(WaitReason::FleetLimit(1)));
    // Asked again by a second driver: the same permit.
    let before = fleet.state.permit(&subject("dispatcher/a")).cloned();
    fleet.ask("dispatcher/a", true, "").expect("it has one");
    assert_eq!(fleet.state.permit(&subject("dispatcher/a")).cloned(), before);
    // The same life again, a new one that is not ready, one of the wrong version: still out.
    fleet.joins("a", "x", 0, "2", true);
    assert_eq!(fleet.granted(), ["dispatcher/a"]);
    fleet.joins("a", "x", 1, "1", true);
    assert_eq!(fleet.granted(), ["dispatcher/a"]);
    let session = fleet.joins("a", "x", 2, "2", false);
    assert_eq!(fleet.granted(), ["dispatcher/a"]);
    let report =
        |number, ready| Action::ReportReadiness { member: name("a"), session, sequence: number, ready };
    fleet.act(report(2, true)).expect("its session goes on");
    assert_eq!(fleet.granted(), ["dispatcher/c"], "a is back, and the urgent one goes");
    // A report that comes late changes nothing.
    fleet.act(report(1, false)).expect("its session goes on");
    assert!(fleet.state.member(&name("a")).expect("it joined").info.ready);
    // One whose grant is out cannot be taken back by a driver, only by an operator with a reason.
    assert!(matches!(
        fleet.op(Operation::WithdrawPermit(subject("dispatcher/c"))),
        Err(Rejection::Invalid { .. })
    ));
    let silent = Action::Change {
        operations: vec![Operation::ForceCompletePermit(subject("dispatcher/c"))],
        preconditions: Vec::new(),
        reason: Text::default(),
    };
    assert!(matches!(fleet.act(silent), Err(Rejection::Invalid { .. })));
    assert!(fleet.op(Operation::RemoveMember(name("c"))).is_err());
    fleet.op(Operation::ForceCompletePermit(subject("dispatcher/c"))).expect("with a reason");
    assert_eq!(fleet.granted(), ["dispatcher/b"]);
}

#[test]
fn whoever_is_lost_or_not_ready_uses_the_budget_up_and_may_go_itself() {
    let mut fleet = Fleet::of(&FOUR);
    fleet.budget(SubjectKind::Dispatcher, Limit::Fraction(0.5), Some(Limit::Count(1)), 0);
    let session = fleet.state.member(&name("a")).expect("it joined").session;
    fleet.act(Action::ExpireSession { member: name("a"), session }).expect("its session goes on");
    fleet.ask("dispatcher/b", false, "").expect("it waits");
    assert_eq!(
        fleet.waits(SubjectKind::Dispatcher, "b"),
        Some(WaitReason::ZoneLimit(1)),
        "a is out in its zone"
    );
    // Of another zone: it passes b.
    fleet.ask("dispatcher/c", false, "").expect("it goes");
    assert_eq!(fleet.granted(), ["dispatcher/c"]);
    fleet.ask("dispatcher/d", false, "").expect("it waits");
    assert_eq!(fleet.waits(SubjectKind::Dispatcher, "d"), Some(WaitReason::FleetLimit(2)));
    // The lost one is out already: its own place is all that it takes.
    fleet.ask("dispatcher/a", false, "").expect("it goes");
    assert_eq!(fleet.granted(), ["dispatcher/a", "dispatcher/c"]);
    fleet.joins("a", "x", 1, "", true);
    assert_eq!(fleet.granted(), ["dispatcher/b", "dispatcher/c"]);
    // Lowered below what is out: nothing more goes, and nobody is called back.
    fleet.budget(SubjectKind::Dispatcher, Limit::Count(1), None, 0);
    fleet.joins("b", "x", 101, "", true);
    assert_eq!(fleet.granted(), ["dispatcher/c"]);
    fleet.joins("c", "y", 201, "", true);
    assert_eq!(fleet.granted(), ["dispatcher/d"]);
}

#[test]
fn a_halt_lets_nothing_more_out_until_it_is_resumed_and_outlasts_a_restore() {
    let mut fleet = Fleet::of(&FOUR);
    fleet.budget(SubjectKind::Dispatcher, Limit::Count(1), None, 0);
    let backup = fleet.state.snapshot();
    fleet.op(Operation::Halt(SubjectKind::Dispatcher)).expect("a halt");
    fleet.ask("dispatcher/a", true, "").expect("it waits");
    assert_eq!(fleet.waits(SubjectKind::Dispatcher, "a"), Some(WaitReason::Halted));
    fleet.act(Action::Restore(backup)).expect("a sound backup");
    fleet.ask("dispatcher/b", true, "").expect("it waits");
    assert!(fleet.granted().is_empty());
    fleet.op(Operation::Resume(SubjectKind::Dispatcher)).expect("the end of it");
    assert_eq!(fleet.granted(), ["dispatcher/a"]);
    // A backup of a time when it was not out does not call it back.
    let earlier = Fleet::of(&FOUR).state.snapshot();
    fleet.act(Action::Restore(earlier)).expect("a sound backup");
    assert_eq!(fleet.granted(), ["dispatcher/a"]);
}

#[test]
fn what_can_never_go_is_refused_at_once_with_its_cause() {
    let mut fleet = Fleet::of(&[("a", "x"), ("b", "y"), ("c", "y")]);
    fleet.budget(SubjectKind::Dispatcher, Limit::Fraction(0.3), None, 0);
    let none = fleet.ask("dispatcher/a", false, "").expect_err("30% of three are none");
    assert!(none.to_string().contains("lets none of 3 out"), "{none}");
    fleet.budget(SubjectKind::Dispatcher, Limit::Count(2), None, 1);
    let last = fleet.ask("dispatcher/a", false, "").expect_err("the last of its zone");
    assert!(last.to_string().contains("none of the 1 in zone \"x\""), "{last}");
    fleet.ask("dispatcher/b", false, "").expect("one of two may");
    assert!(fleet.ask("dispatcher/e", false, "").is_err(), "it has never joined");
    let bad = Budget {
        max_unavailable: Limit::Fraction(1.5),
        max_unavailable_per_zone: None,
        max_unavailable_per_machine_type: None,
        min_available_per_zone: 0,
    };
    assert!(fleet.op(Operation::SetBudget(SubjectKind::Dispatcher, bad)).is_err());
}

#[test]
fn a_workers_permit_is_its_drain_and_only_the_one_that_is_seen_is_ended() {
    let mut fleet = Fleet::default();
    for (worker, zone) in [("w-1", "x"), ("w-2", "x"), ("w-3", "y")] {
        let zone = zone.parse().expect("a sound text");
        let known = Worker { zone, slots: 4, ..Worker::default() };
        fleet.op(Operation::PutWorker(name(worker), known)).expect("room");
    }
    fleet.budget(SubjectKind::Worker, Limit::Count(2), Some(Limit::Count(1)), 0);
    let drained = |fleet: &Fleet, w: &str| fleet.state.get(&Key::Drain(name(w))).is_some();
    fleet.ask("worker/w-1", false, "").expect("it goes");
    assert!(drained(&fleet, "w-1"));
    let at = fleet.state.permit(&subject("worker/w-1")).and_then(|p| p.granted_at_revision).expect("granted");
    // Out by hand, without a permit: it uses the budget up as well.
    fleet.op(Operation::Drain(name("w-3"))).expect("room");
    fleet.ask("worker/w-2", false, "").expect("it waits");
    assert_eq!(fleet.waits(SubjectKind::Worker, "w-2"), Some(WaitReason::FleetLimit(2)));
    assert!(!drained(&fleet, "w-2"));
    assert!(fleet.op(Operation::Undrain(name("w-1"))).is_err(), "its permit ends that");
    assert!(fleet.op(Operation::CompletePermit(subject("worker/w-1"), at + 1)).is_err(), "another permit");
    fleet.op(Operation::CompletePermit(subject("worker/w-1"), at)).expect("it is back");
    assert!(!drained(&fleet, "w-1") && drained(&fleet, "w-2"), "and the next one goes in the same change");
    // A restore from before keeps the mark of the one that is out.
    let before = Fleet::default().state.snapshot();
    fleet.act(Action::Restore(before)).expect("a sound backup");
    assert!(drained(&fleet, "w-2") && !drained(&fleet, "w-3"));
}

#[test]
fn a_copy_permits_only_the_life_that_was_granted() {
    let mut fleet = Fleet::of(&FOUR);
    fleet.budget(SubjectKind::Dispatcher, Limit::Count(1), None, 0);
    fleet.ask("dispatcher/a", false, "").expect("it goes");
    let at = fleet.state.permit(&subject("dispatcher/a")).and_then(|p| p.granted_at_revision);
    let mut copy = Follower::default();
    copy.apply_snapshot(Duration::ZERO, fleet.state.snapshot()).expect("newer than nothing");
    assert_eq!((at.is_some(), copy.permit_granted_at(&name("a"), IncarnationId(7, 0))), (true, at));
    // The next life reads the same copy, kept over its restart; another dispatcher reads it as well.
    assert_eq!(copy.permit_granted_at(&name("a"), IncarnationId(7, 1)), None);
    assert_eq!(copy.permit_granted_at(&name("b"), IncarnationId(7, 100)), None);
}

#[test]
fn whoever_comes_back_as_another_version_goes_again_but_not_under_a_halt() {
    let mut fleet = Fleet::of(&FOUR);
    fleet.budget(SubjectKind::Dispatcher, Limit::Count(1), None, 0);
    fleet.ask("dispatcher/a", false, "2").expect("it goes");
    let bound = |fleet: &Fleet| fleet.state.permit(&subject("dispatcher/a")).and_then(|p| p.incarnation_id);
    fleet.op(Operation::Halt(SubjectKind::Dispatcher)).expect("a halt");
    fleet.joins("a", "x", 1, "1", true);
    assert_eq!(bound(&fleet), Some(IncarnationId(7, 0)), "its new life stays");
    fleet.op(Operation::Resume(SubjectKind::Dispatcher)).expect("the end of it");
    assert_eq!(bound(&fleet), Some(IncarnationId(7, 1)));
}

#[test]
fn no_more_of_a_kind_of_machine_go_than_its_budget_allows() {
    let mut fleet = Fleet::default();
    for (worker, kind) in [("w-1", "wide"), ("w-2", "wide"), ("w-3", "small"), ("w-4", "small")] {
        let known = Worker { machine_type: kind.parse().expect("a sound text"), ..Worker::default() };
        fleet.op(Operation::PutWorker(name(worker), known)).expect("room");
    }
    let (most, half) = (Limit::Count(3), Limit::Fraction(0.5));
    let budget = Budget {
        max_unavailable: most,
        max_unavailable_per_zone: None,
        max_unavailable_per_machine_type: Some(half),
        min_available_per_zone: 0,
    };
    fleet.op(Operation::SetBudget(SubjectKind::Worker, budget)).expect("a sound budget");
    for worker in ["w-1", "w-2", "w-3"] {
        fleet.ask(&format!("worker/{worker}"), false, "").expect("it waits");
    }
    assert_eq!(fleet.granted(), ["worker/w-1", "worker/w-3"], "a wide one waits, a small one passes it");
    assert_eq!(fleet.waits(SubjectKind::Worker, "w-2"), Some(WaitReason::MachineTypeLimit(1)));
    // What could never be is refused: half of one is none.
    let known = Worker { machine_type: "odd".parse().expect("a sound text"), ..Worker::default() };
    fleet.op(Operation::PutWorker(name("w-9"), known)).expect("room");
    assert!(fleet.ask("worker/w-9", false, "").is_err());
}

// ---- Every order: drivers that are doubled, answers that are lost, processes that crash and are cut off ----

const MOST: usize = 1;
const RULES: [&str; 3] = [
    "nothing is granted over the budget",
    "no more have gone by a permit than the budget has room for",
    "who was asked for has a permit, or has come back since",
];

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    /// RequestCounts its lives, from 1.
    life: u64,
    runs: bool,
    joined: bool,
    /// It ended because it was permitted to.
    asked: bool,
    /// The life whose grant it has seen in its copy, which may be old.
    seen: Option<u64>,
}

#[derive(Clone, Debug)]
struct World {
    state: State,
    all: Vec<Process>,
    /// The life in which each was, as the state knew it, when it was first asked for.
    wanted: Vec<Option<u64>>,
    /// Requests that have arrived, by driver and process.
    delivered: Vec<(usize, usize)>,
    crashes: u32,
    cuts: u32,
    /// How many may be out, and how often an operator has changed that.
    most: usize,
    changes: u32,
    /// A permit was granted though too many were out.
    over: bool,
}

impl World {
    /// All that decides what may happen from here on, without the numbers of revisions.
    fn text(&self) -> String {
        let members: Vec<_> =
            self.state.members().map(|(_, m)| (m.presence, m.info.ready, m.incarnation_id())).collect();
        let mut permits: Vec<_> = self
            .state
            .permits()
            .map(|(s, p)| {
                (p.requested_at_revision, s.to_string(), p.granted_at_revision.is_some(), p.incarnation_id)
            })
            .collect();
        permits.sort();
        let permits: Vec<_> =
            permits.into_iter().map(|(_, who, granted, life)| (who, granted, life)).collect();
        let rest = (&self.all, &self.wanted, &self.delivered, self.crashes, self.cuts, self.over);
        let rest = (rest, self.most, self.changes);
        format!("{members:?}{permits:?}{rest:?}")
    }

    /// Whether it was taken.
    fn apply(&mut self, id: RequestId, act: Action) -> bool {
        let granted = |state: &State| {
            let granted = state.permits().filter(|(_, p)| p.granted_at_revision.is_some());
            granted.map(|(s, _)| s.name.clone()).collect::<Vec<Name>>()
        };
        let before = granted(&self.state);
        let answer = self.state.apply(&Command { id, issued_by: name("o"), issued_at_ms: 0, action: act });
        let newly = granted(&self.state).into_iter().any(|n| !before.contains(&n));
        self.over |= newly && self.state.availability(SubjectKind::Dispatcher).unavailable() > self.most;
        answer.is_ok()
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
    /// A driver's request for one arrives, for the first time or again.
    Ask(usize, usize),
    /// A process takes in the newest state.
    See(usize),
    /// It ends, as permitted by what it has seen.
    End(usize),
    Crash(usize),
    Start(usize),
    Join(usize),
    /// The keepers lose it, whether or not it runs.
    Lose(usize),
    /// An operator allows none out, or as many as before.
    Budget,
}

struct PermitModel {
    processes: usize,
}

impl Model for PermitModel {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let names: Vec<String> = (0..self.processes).map(|i| format!("d{i}")).collect();
        let mut fleet = Fleet::of(&names.iter().map(|n| (n.as_str(), "x")).collect::<Vec<_>>());
        fleet.budget(SubjectKind::Dispatcher, Limit::Count(1), None, 0);
        let process = Process { life: 1, runs: true, joined: true, asked: false, seen: None };
        let (all, wanted) = (vec![process; self.processes], vec![None; self.processes]);
        let (delivered, crashes, cuts) = (Vec::new(), 0, 0);
        let (most, changes, over) = (MOST, 0, false);
        vec![World { state: fleet.state, all, wanted, delivered, crashes, cuts, most, changes, over }]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Step>) {
        if world.changes < 2 {
            actions.push(Step::Budget);
        }
        for (i, process) in world.all.iter().enumerate() {
            actions.extend([Step::Ask(0, i), Step::Ask(1, i)]);
            match process.runs {
                true => {
                    actions.push(Step::See(i));
                    if process.seen == Some(process.life) {
                        actions.push(Step::End(i));
                    }
                    if world.crashes < 1 {
                        actions.push(Step::Crash(i));
                    }
                    if !process.joined {
                        actions.push(Step::Join(i));
                    }
                }
                false => actions.push(Step::Start(i)),
            }
            if !process.runs || world.cuts < 1 {
                actions.push(Step::Lose(i));
            }
        }
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut world = world.clone();
        if step == Step::Budget {
            (world.most, world.changes) = (MOST - world.most, world.changes + 1);
            let most = Limit::Count(world.most as u32);
            let budget = Budget {
                max_unavailable: most,
                max_unavailable_per_zone: None,
                max_unavailable_per_machine_type: None,
                min_available_per_zone: 0,
            };
            let ops = vec![Operation::SetBudget(SubjectKind::Dispatcher, budget)];
            let act = Action::Change { operations: ops, preconditions: Vec::new(), reason: Text::default() };
            world.apply(RequestId(9, u64::from(world.changes)), act);
            return Some(world);
        }
        let (Step::Ask(_, i)
        | Step::See(i)
        | Step::End(i)
        | Step::Crash(i)
        | Step::Start(i)
        | Step::Join(i)
        | Step::Lose(i)) = step
        else {
            return None;
        };
        let member = name(&format!("d{i}"));
        let who = Subject { kind: SubjectKind::Dispatcher, name: member.clone() };
        // A life as the state knows it: the first ones joined in `Fleet::of`.
        let known = |life: u64| IncarnationId(7, i as u64 * 100 + life - 1);
        match step {
            Step::Ask(driver, _) => {
                let op = Operation::RequestPermit { subject: who, urgent: false, version: Text::default() };
                let act = Action::Change {
                    operations: vec![op],
                    preconditions: Vec::new(),
                    reason: Text::default(),
                };
                let id = RequestId(2 + driver as u64, 1_000 + i as u64);
                let life = world.state.member(&member)?.incarnation;
                if !world.delivered.contains(&(driver, i)) {
                    world.delivered.push((driver, i));
                    world.delivered.sort();
                }
                // What no budget lets out is refused, and then nobody is owed anything.
                if world.apply(id, act) {
                    world.wanted[i].get_or_insert(life);
                }
            }
            Step::See(_) => {
                let permit = world.state.permit(&who).filter(|p| p.granted_at_revision.is_some());
                let life = permit.and_then(|p| p.incarnation_id);
                world.all[i].seen = life.map(|IncarnationId(_, number)| number - i as u64 * 100 + 1);
            }
            Step::End(_) => {
                world.all[i].runs = false;
                world.all[i].asked = true;
            }
            Step::Crash(_) => {
                world.crashes += 1;
                world.all[i].runs = false;
            }
            Step::Start(_) => {
                // Its copy is as old as it was.
                let seen = world.all[i].seen;
                let life = world.all[i].life + 1;
                world.all[i] = Process { life, runs: true, joined: false, asked: world.all[i].asked, seen };
            }
            Step::Join(_) => {
                let card = MemberInfo {
                    role: Role::Dispatcher,
                    version: Text::default(),
                    address: None,
                    zone: "x".parse().expect("a sound text"),
                    ready: true,
                };
                let life = known(world.all[i].life);
                world.all[i].joined = true;
                world.all[i].asked = false;
                let id = RequestId(5, world.state.revision() * 10 + i as u64);
                world.apply(id, Action::Join { member, incarnation_id: life, info: card });
            }
            Step::Budget => {}
            Step::Lose(_) => {
                let session = world.state.member(&member)?.session;
                world.cuts += u32::from(world.all[i].runs);
                // It hears so, and joins again.
                world.all[i].joined = false;
                let id = RequestId(6, world.state.revision() * 10 + i as u64);
                world.apply(id, Action::ExpireSession { member, session });
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(RULES[0], |_, w: &World| !w.over),
            Property::always(RULES[1], |_, w: &World| w.all.iter().filter(|p| p.asked).count() <= MOST),
            Property::always(RULES[2], |_, w: &World| {
                let kept = |(i, wanted): (usize, &Option<u64>)| {
                    let who = subject(&format!("dispatcher/d{i}"));
                    let back = |life| w.state.member(&who.name).is_some_and(|m| m.incarnation > life);
                    wanted.is_none_or(|life| w.state.permit(&who).is_some() || back(life))
                };
                w.wanted.iter().enumerate().all(kept)
            }),
            Property::sometimes("all have been out and are back", |_, w: &World| {
                w.all.iter().all(|p| p.life > 1 && p.joined) && w.state.permits().next().is_none()
            }),
        ]
    }
}

#[test]
fn no_order_of_messages_crashes_and_doubled_drivers_goes_over_the_budget_or_loses_a_permit() {
    for (processes, depth) in [(2, 12), (3, 8)] {
        let checker =
            PermitModel { processes }.checker().threads(4).target_max_depth(depth).spawn_bfs().join();
        println!(
            "permits of {processes}: {} states, {} unique",
            checker.state_count(),
            checker.unique_state_count()
        );
        // A path is long: its steps tell enough.
        for rule in RULES {
            let path = checker.discovery(rule).map(|path| path.into_actions());
            assert_eq!(path, None, "{rule}");
        }
        assert!(checker.unique_state_count() > 1_000);
        if processes == 2 {
            assert!(checker.discovery("all have been out and are back").is_some());
        }
    }
}
