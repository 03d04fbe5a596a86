//! Tests of disruption budgets and permits, and a model of all orders of messages, crashes and duplicate
//! drivers.

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
    text.parse().expect("a valid name")
}

fn subject(text: &str) -> Subject {
    text.parse().expect("a valid subject")
}

/// A fleet, with the number of the last request.
#[derive(Clone, Debug, Default)]
struct Fleet {
    state: State,
    last_request: u64,
}

impl Fleet {
    /// Returns a fleet of dispatchers, given by name and zone, that are ready in their first incarnation.
    fn with(dispatchers: &[(&str, &str)]) -> Self {
        let mut fleet = Self::default();
        for (n, (member, zone)) in dispatchers.iter().enumerate() {
            fleet.join(member, zone, n as u64 * 100, "", true);
        }
        fleet
    }

    fn apply(&mut self, action: Action) -> CommandResult {
        self.last_request += 1;
        let (id, by) = (RequestId(1, self.last_request), name("o"));
        self.state.apply(&Command { id, issued_by: by, issued_at_ms: 0, action })
    }

    fn change(&mut self, operation: Operation) -> CommandResult {
        let reason = "a test".parse().expect("a valid text");
        self.apply(Action::Change { operations: vec![operation], preconditions: Vec::new(), reason })
    }

    fn join(&mut self, member: &str, zone: &str, incarnation: u64, version: &str, ready: bool) -> u64 {
        let text = |text: &str| text.parse::<Text>().expect("a valid text");
        let info = MemberInfo {
            role: Role::Dispatcher,
            version: text(version),
            address: None,
            zone: text(zone),
            ready,
        };
        let act = Action::Join { member: name(member), incarnation_id: IncarnationId(7, incarnation), info };
        self.apply(act).expect("the join is accepted").session.expect("a session")
    }

    fn budget(
        &mut self, kind: SubjectKind, max_unavailable: Limit, max_unavailable_in_zone: Option<Limit>,
        min_available_in_zone: u32,
    ) {
        let budget = Budget {
            max_unavailable,
            max_unavailable_per_zone: max_unavailable_in_zone,
            max_unavailable_per_machine_type: None,
            min_available_per_zone: min_available_in_zone,
        };
        self.change(Operation::SetBudget(kind, budget)).expect("a valid budget");
    }

    fn request(&mut self, who: &str, urgent: bool, version: &str) -> CommandResult {
        let version = version.parse().expect("a valid text");
        self.change(Operation::RequestPermit { subject: subject(who), urgent, version })
    }

    /// Returns the subjects of granted permits.
    fn granted(&self) -> Vec<String> {
        let mut granted: Vec<String> = self
            .state
            .permits()
            .filter(|(_, permit)| permit.granted_at_revision.is_some())
            .map(|(subject, _)| subject.to_string())
            .collect();
        granted.sort();
        granted
    }

    fn wait_reason(&self, kind: SubjectKind, who: &str) -> Option<WaitReason> {
        self.state.availability(kind).check_grant(&name(who)).err()
    }
}

const FOUR_DISPATCHERS: [(&str, &str); 4] = [("a", "x"), ("b", "x"), ("c", "y"), ("d", "y")];

#[test]
fn permits_are_granted_in_order_and_end_with_a_ready_incarnation_of_the_requested_version() {
    let mut fleet = Fleet::with(&FOUR_DISPATCHERS);
    // Without a budget no permit is granted.
    fleet.request("dispatcher/a", false, "2").expect("the request is queued");
    assert_eq!(fleet.wait_reason(SubjectKind::Dispatcher, "a"), Some(WaitReason::NoBudget));
    assert!(fleet.granted().is_empty());
    fleet.budget(SubjectKind::Dispatcher, Limit::Count(1), None, 0);
    assert_eq!(fleet.granted(), ["dispatcher/a"]);
    fleet.request("dispatcher/b", false, "2").expect("the request is queued");
    fleet.request("dispatcher/c", true, "2").expect("the request is queued ahead of b");
    assert_eq!(fleet.wait_reason(SubjectKind::Dispatcher, "b"), Some(WaitReason::FleetLimit(1)));
    // A second request, for instance of another driver, leaves the permit as it is.
    let before = fleet.state.permit(&subject("dispatcher/a")).cloned();
    fleet.request("dispatcher/a", true, "").expect("a repeated request is accepted");
    assert_eq!(fleet.state.permit(&subject("dispatcher/a")).cloned(), before);
    // The permit stays if the same incarnation joins again, and if another one has the wrong version or is
    // not ready.
    fleet.join("a", "x", 0, "2", true);
    assert_eq!(fleet.granted(), ["dispatcher/a"]);
    fleet.join("a", "x", 1, "1", true);
    assert_eq!(fleet.granted(), ["dispatcher/a"]);
    let session = fleet.join("a", "x", 2, "2", false);
    assert_eq!(fleet.granted(), ["dispatcher/a"]);
    let report =
        |number, ready| Action::ReportReadiness { member: name("a"), session, sequence: number, ready };
    fleet.apply(report(2, true)).expect("the session is valid");
    assert_eq!(fleet.granted(), ["dispatcher/c"], "a has returned, and the urgent request is granted");
    // A delayed report changes nothing.
    fleet.apply(report(1, false)).expect("the session is valid");
    assert!(fleet.state.member(&name("a")).expect("the member has joined").info.ready);
    // A granted permit cannot be withdrawn; an operator can end it with a reason.
    assert!(matches!(
        fleet.change(Operation::WithdrawPermit(subject("dispatcher/c"))),
        Err(Rejection::Invalid { .. })
    ));
    let without_reason = Action::Change {
        operations: vec![Operation::ForceCompletePermit(subject("dispatcher/c"))],
        preconditions: Vec::new(),
        reason: Text::default(),
    };
    assert!(matches!(fleet.apply(without_reason), Err(Rejection::Invalid { .. })));
    assert!(fleet.change(Operation::RemoveMember(name("c"))).is_err());
    fleet
        .change(Operation::ForceCompletePermit(subject("dispatcher/c")))
        .expect("a forced completion with a reason is accepted");
    assert_eq!(fleet.granted(), ["dispatcher/b"]);
}

#[test]
fn unavailable_members_count_against_the_budget_once_and_can_get_a_permit() {
    let mut fleet = Fleet::with(&FOUR_DISPATCHERS);
    fleet.budget(SubjectKind::Dispatcher, Limit::Fraction(0.5), Some(Limit::Count(1)), 0);
    let session = fleet.state.member(&name("a")).expect("the member has joined").session;
    fleet.apply(Action::ExpireSession { member: name("a"), session }).expect("the session is valid");
    fleet.request("dispatcher/b", false, "").expect("the request is queued");
    assert_eq!(
        fleet.wait_reason(SubjectKind::Dispatcher, "b"),
        Some(WaitReason::ZoneLimit(1)),
        "a, in the same zone, is unavailable"
    );
    // A dispatcher of another zone is granted its permit ahead of b.
    fleet.request("dispatcher/c", false, "").expect("the permit is granted");
    assert_eq!(fleet.granted(), ["dispatcher/c"]);
    fleet.request("dispatcher/d", false, "").expect("the request is queued");
    assert_eq!(fleet.wait_reason(SubjectKind::Dispatcher, "d"), Some(WaitReason::FleetLimit(2)));
    // The lost dispatcher is unavailable already and counts once.
    fleet.request("dispatcher/a", false, "").expect("the permit is granted");
    assert_eq!(fleet.granted(), ["dispatcher/a", "dispatcher/c"]);
    fleet.join("a", "x", 1, "", true);
    assert_eq!(fleet.granted(), ["dispatcher/b", "dispatcher/c"]);
    // With a budget below the number that is unavailable, nothing more is granted and no permit is revoked.
    fleet.budget(SubjectKind::Dispatcher, Limit::Count(1), None, 0);
    fleet.join("b", "x", 101, "", true);
    assert_eq!(fleet.granted(), ["dispatcher/c"]);
    fleet.join("c", "y", 201, "", true);
    assert_eq!(fleet.granted(), ["dispatcher/d"]);
}

#[test]
fn a_halt_stops_grants_until_it_is_resumed_and_survives_a_restore() {
    let mut fleet = Fleet::with(&FOUR_DISPATCHERS);
    fleet.budget(SubjectKind::Dispatcher, Limit::Count(1), None, 0);
    let backup = fleet.state.snapshot();
    fleet.change(Operation::Halt(SubjectKind::Dispatcher)).expect("the halt is accepted");
    fleet.request("dispatcher/a", true, "").expect("the request is queued");
    assert_eq!(fleet.wait_reason(SubjectKind::Dispatcher, "a"), Some(WaitReason::Halted));
    fleet.apply(Action::Restore(backup)).expect("a valid backup");
    fleet.request("dispatcher/b", true, "").expect("the request is queued");
    assert!(fleet.granted().is_empty());
    fleet.change(Operation::Resume(SubjectKind::Dispatcher)).expect("the halt ends");
    assert_eq!(fleet.granted(), ["dispatcher/a"]);
    // A restore of a backup from before the grant does not end the permit.
    let earlier = Fleet::with(&FOUR_DISPATCHERS).state.snapshot();
    fleet.apply(Action::Restore(earlier)).expect("a valid backup");
    assert_eq!(fleet.granted(), ["dispatcher/a"]);
}

#[test]
fn rejects_requests_that_could_never_be_granted_with_the_reason() {
    let mut fleet = Fleet::with(&[("a", "x"), ("b", "y"), ("c", "y")]);
    fleet.budget(SubjectKind::Dispatcher, Limit::Fraction(0.3), None, 0);
    let none = fleet.request("dispatcher/a", false, "").expect_err("30% of three round down to none");
    assert!(none.to_string().contains("lets none of 3 out"), "{none}");
    fleet.budget(SubjectKind::Dispatcher, Limit::Count(2), None, 1);
    let last = fleet.request("dispatcher/a", false, "").expect_err("the zone must keep one available");
    assert!(last.to_string().contains("none of the 1 in zone \"x\""), "{last}");
    fleet.request("dispatcher/b", false, "").expect("one of two can be unavailable");
    assert!(fleet.request("dispatcher/e", false, "").is_err(), "the dispatcher has never joined");
    let bad = Budget {
        max_unavailable: Limit::Fraction(1.5),
        max_unavailable_per_zone: None,
        max_unavailable_per_machine_type: None,
        min_available_per_zone: 0,
    };
    assert!(fleet.change(Operation::SetBudget(SubjectKind::Dispatcher, bad)).is_err());
}

#[test]
fn a_workers_permit_drains_it_and_is_completed_only_with_the_revision_of_its_grant() {
    let mut fleet = Fleet::default();
    for (worker, zone) in [("w-1", "x"), ("w-2", "x"), ("w-3", "y")] {
        let zone = zone.parse().expect("a valid text");
        let record = Worker { zone, slots: 4, ..Worker::default() };
        fleet.change(Operation::PutWorker(name(worker), record)).expect("capacity is left");
    }
    fleet.budget(SubjectKind::Worker, Limit::Count(2), Some(Limit::Count(1)), 0);
    let drained = |fleet: &Fleet, worker: &str| fleet.state.get(&Key::Drain(name(worker))).is_some();
    fleet.request("worker/w-1", false, "").expect("the permit is granted");
    assert!(drained(&fleet, "w-1"));
    let at = fleet
        .state
        .permit(&subject("worker/w-1"))
        .and_then(|permit| permit.granted_at_revision)
        .expect("the permit is granted");
    // A worker drained by hand counts against the budget as well.
    fleet.change(Operation::Drain(name("w-3"))).expect("capacity is left");
    fleet.request("worker/w-2", false, "").expect("the request is queued");
    assert_eq!(fleet.wait_reason(SubjectKind::Worker, "w-2"), Some(WaitReason::FleetLimit(2)));
    assert!(!drained(&fleet, "w-2"));
    assert!(fleet.change(Operation::Undrain(name("w-1"))).is_err(), "the drain ends with the permit");
    assert!(
        fleet.change(Operation::CompletePermit(subject("worker/w-1"), at + 1)).is_err(),
        "the revision is that of another grant"
    );
    fleet.change(Operation::CompletePermit(subject("worker/w-1"), at)).expect("the permit ends");
    assert!(
        !drained(&fleet, "w-1") && drained(&fleet, "w-2"),
        "the next permit is granted in the same change"
    );
    // A restore keeps the drain mark of a granted permit.
    let before = Fleet::default().state.snapshot();
    fleet.apply(Action::Restore(before)).expect("a valid backup");
    assert!(drained(&fleet, "w-2") && !drained(&fleet, "w-3"));
}

#[test]
fn a_permit_in_a_followers_copy_applies_only_to_the_granted_incarnation() {
    let mut fleet = Fleet::with(&FOUR_DISPATCHERS);
    fleet.budget(SubjectKind::Dispatcher, Limit::Count(1), None, 0);
    fleet.request("dispatcher/a", false, "").expect("the permit is granted");
    let at = fleet.state.permit(&subject("dispatcher/a")).and_then(|permit| permit.granted_at_revision);
    let mut copy = Follower::default();
    copy.apply_snapshot(Duration::ZERO, fleet.state.snapshot())
        .expect("the snapshot is newer than an empty copy");
    assert_eq!((at.is_some(), copy.permit_granted_revision(&name("a"), IncarnationId(7, 0))), (true, at));
    // The next incarnation, or another dispatcher, may read the same stored copy.
    assert_eq!(copy.permit_granted_revision(&name("a"), IncarnationId(7, 1)), None);
    assert_eq!(copy.permit_granted_revision(&name("b"), IncarnationId(7, 100)), None);
}

#[test]
fn a_permit_is_rebound_to_an_incarnation_with_another_version_except_during_a_halt() {
    let mut fleet = Fleet::with(&FOUR_DISPATCHERS);
    fleet.budget(SubjectKind::Dispatcher, Limit::Count(1), None, 0);
    fleet.request("dispatcher/a", false, "2").expect("the permit is granted");
    let bound =
        |fleet: &Fleet| fleet.state.permit(&subject("dispatcher/a")).and_then(|permit| permit.incarnation_id);
    fleet.change(Operation::Halt(SubjectKind::Dispatcher)).expect("the halt is accepted");
    fleet.join("a", "x", 1, "1", true);
    assert_eq!(bound(&fleet), Some(IncarnationId(7, 0)), "the permit is not rebound during a halt");
    fleet.change(Operation::Resume(SubjectKind::Dispatcher)).expect("the halt ends");
    assert_eq!(bound(&fleet), Some(IncarnationId(7, 1)));
}

#[test]
fn limits_grants_by_machine_type() {
    let mut fleet = Fleet::default();
    for (worker, kind) in [("w-1", "wide"), ("w-2", "wide"), ("w-3", "small"), ("w-4", "small")] {
        let record = Worker { machine_type: kind.parse().expect("a valid text"), ..Worker::default() };
        fleet.change(Operation::PutWorker(name(worker), record)).expect("capacity is left");
    }
    let (most, half) = (Limit::Count(3), Limit::Fraction(0.5));
    let budget = Budget {
        max_unavailable: most,
        max_unavailable_per_zone: None,
        max_unavailable_per_machine_type: Some(half),
        min_available_per_zone: 0,
    };
    fleet.change(Operation::SetBudget(SubjectKind::Worker, budget)).expect("a valid budget");
    for worker in ["w-1", "w-2", "w-3"] {
        fleet.request(&format!("worker/{worker}"), false, "").expect("the request is queued");
    }
    assert_eq!(
        fleet.granted(),
        ["worker/w-1", "worker/w-3"],
        "the second of its machine type waits, and one of another type is granted ahead of it"
    );
    assert_eq!(fleet.wait_reason(SubjectKind::Worker, "w-2"), Some(WaitReason::MachineTypeLimit(1)));
    // 50% of one rounds down to none, so the permit could never be granted.
    let record = Worker { machine_type: "odd".parse().expect("a valid text"), ..Worker::default() };
    fleet.change(Operation::PutWorker(name("w-9"), record)).expect("capacity is left");
    assert!(fleet.request("worker/w-9", false, "").is_err());
}

// ---- Model: all orders of duplicate drivers, lost answers, and processes that crash or are partitioned ----

const MAX_UNAVAILABLE: usize = 1;
const RULES: [&str; 3] = [
    "no permit is granted beyond the budget",
    "no more processes have left with a permit than the budget allows",
    "a subject with a requested permit keeps it until it has returned",
];

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    /// Number of its incarnation, counted from 1.
    incarnation: u64,
    runs: bool,
    joined: bool,
    /// Whether the process has ended because of its permit and has not joined since.
    left_by_permit: bool,
    /// Incarnation to which the permit in its copy was granted. The copy may be outdated.
    seen_permit_of: Option<u64>,
}

#[derive(Clone, Debug)]
struct World {
    state: State,
    processes: Vec<Process>,
    /// Incarnation of each process in the state when a permit was first requested for it.
    requested_in: Vec<Option<u64>>,
    /// Requests that have been delivered, by driver and process.
    delivered: Vec<(usize, usize)>,
    crashes: u32,
    partitions: u32,
    /// Present budget.
    max_unavailable: usize,
    /// Number of budget changes by an operator.
    budget_changes: u32,
    /// Whether a permit was granted beyond the budget.
    over_budget: bool,
}

impl World {
    /// Describes everything that affects later steps. Revisions are left out, so that more states are equal.
    fn text(&self) -> String {
        let members: Vec<_> = self
            .state
            .members()
            .map(|(_, member)| (member.presence, member.info.ready, member.incarnation_id()))
            .collect();
        let mut permits: Vec<_> = self
            .state
            .permits()
            .map(|(subject, permit)| {
                (
                    permit.requested_at_revision,
                    subject.to_string(),
                    permit.granted_at_revision.is_some(),
                    permit.incarnation_id,
                )
            })
            .collect();
        permits.sort();
        let permits: Vec<_> = permits
            .into_iter()
            .map(|(_, who, granted, incarnation_id)| (who, granted, incarnation_id))
            .collect();
        let rest = (
            &self.processes,
            &self.requested_in,
            &self.delivered,
            self.crashes,
            self.partitions,
            self.over_budget,
        );
        let rest = (rest, self.max_unavailable, self.budget_changes);
        format!("{members:?}{permits:?}{rest:?}")
    }

    /// An operator sets the budget to none, or back to its first value.
    fn change_budget(&mut self) {
        (self.max_unavailable, self.budget_changes) =
            (MAX_UNAVAILABLE - self.max_unavailable, self.budget_changes + 1);
        let budget = Budget {
            max_unavailable: Limit::Count(self.max_unavailable as u32),
            max_unavailable_per_zone: None,
            max_unavailable_per_machine_type: None,
            min_available_per_zone: 0,
        };
        let operations = vec![Operation::SetBudget(SubjectKind::Dispatcher, budget)];
        let action = Action::Change { operations, preconditions: Vec::new(), reason: Text::default() };
        self.apply(RequestId(9, u64::from(self.budget_changes)), action);
    }

    fn join(&mut self, i: usize, member: Name, incarnation_id: IncarnationId) {
        let info = MemberInfo {
            role: Role::Dispatcher,
            version: Text::default(),
            address: None,
            zone: "x".parse().expect("a valid text"),
            ready: true,
        };
        self.processes[i].joined = true;
        self.processes[i].left_by_permit = false;
        let id = RequestId(5, self.state.revision() * 10 + i as u64);
        self.apply(id, Action::Join { member, incarnation_id, info });
    }

    /// Applies a command and returns whether it was accepted.
    fn apply(&mut self, id: RequestId, action: Action) -> bool {
        let granted = |state: &State| {
            let granted = state.permits().filter(|(_, permit)| permit.granted_at_revision.is_some());
            granted.map(|(subject, _)| subject.name.clone()).collect::<Vec<Name>>()
        };
        let before = granted(&self.state);
        let answer = self.state.apply(&Command { id, issued_by: name("o"), issued_at_ms: 0, action });
        let newly = granted(&self.state).into_iter().any(|n| !before.contains(&n));
        self.over_budget |= newly
            && self.state.availability(SubjectKind::Dispatcher).unavailable_count() > self.max_unavailable;
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
    /// The request of a driver for a process is delivered, for the first time or again.
    Request(usize, usize),
    /// A process takes the newest state as its copy.
    Update(usize),
    /// A process ends because of a permit in its copy.
    Leave(usize),
    Crash(usize),
    Start(usize),
    Join(usize),
    /// The session of a process expires, whether or not it runs.
    Lose(usize),
    /// An operator sets the budget to none, or back to its first value.
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
        let mut fleet = Fleet::with(&names.iter().map(|n| (n.as_str(), "x")).collect::<Vec<_>>());
        fleet.budget(SubjectKind::Dispatcher, Limit::Count(1), None, 0);
        let process =
            Process { incarnation: 1, runs: true, joined: true, left_by_permit: false, seen_permit_of: None };
        let (processes, requested_in) = (vec![process; self.processes], vec![None; self.processes]);
        let (delivered, crashes, partitions) = (Vec::new(), 0, 0);
        let (max_unavailable, budget_changes, over_budget) = (MAX_UNAVAILABLE, 0, false);
        vec![World {
            state: fleet.state,
            processes,
            requested_in,
            delivered,
            crashes,
            partitions,
            max_unavailable,
            budget_changes,
            over_budget,
        }]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Step>) {
        if world.budget_changes < 2 {
            actions.push(Step::Budget);
        }
        for (i, process) in world.processes.iter().enumerate() {
            actions.extend([Step::Request(0, i), Step::Request(1, i)]);
            match process.runs {
                true => {
                    actions.push(Step::Update(i));
                    if process.seen_permit_of == Some(process.incarnation) {
                        actions.push(Step::Leave(i));
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
            if !process.runs || world.partitions < 1 {
                actions.push(Step::Lose(i));
            }
        }
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut world = world.clone();
        if step == Step::Budget {
            world.change_budget();
            return Some(world);
        }
        let (Step::Request(_, i)
        | Step::Update(i)
        | Step::Leave(i)
        | Step::Crash(i)
        | Step::Start(i)
        | Step::Join(i)
        | Step::Lose(i)) = step
        else {
            return None;
        };
        let member = name(&format!("d{i}"));
        let who = Subject { kind: SubjectKind::Dispatcher, name: member.clone() };
        // The ids that `Fleet::with` gives to the first incarnations.
        let id_of = |incarnation: u64| IncarnationId(7, i as u64 * 100 + incarnation - 1);
        match step {
            Step::Request(driver, _) => {
                let operation =
                    Operation::RequestPermit { subject: who, urgent: false, version: Text::default() };
                let action = Action::Change {
                    operations: vec![operation],
                    preconditions: Vec::new(),
                    reason: Text::default(),
                };
                let id = RequestId(2 + driver as u64, 1_000 + i as u64);
                let incarnation = world.state.member(&member)?.incarnation;
                if !world.delivered.contains(&(driver, i)) {
                    world.delivered.push((driver, i));
                    world.delivered.sort();
                }
                // While the budget is none, the request is rejected as impossible.
                if world.apply(id, action) {
                    world.requested_in[i].get_or_insert(incarnation);
                }
            }
            Step::Update(_) => {
                let permit = world.state.permit(&who).filter(|permit| permit.granted_at_revision.is_some());
                let incarnation_id = permit.and_then(|permit| permit.incarnation_id);
                world.processes[i].seen_permit_of =
                    incarnation_id.map(|IncarnationId(_, number)| number - i as u64 * 100 + 1);
            }
            Step::Leave(_) => {
                world.processes[i].runs = false;
                world.processes[i].left_by_permit = true;
            }
            Step::Crash(_) => {
                world.crashes += 1;
                world.processes[i].runs = false;
            }
            Step::Start(_) => {
                // The new incarnation starts with the stored copy of the old one.
                let seen_permit_of = world.processes[i].seen_permit_of;
                let incarnation = world.processes[i].incarnation + 1;
                world.processes[i] = Process {
                    incarnation,
                    runs: true,
                    joined: false,
                    left_by_permit: world.processes[i].left_by_permit,
                    seen_permit_of,
                };
            }
            Step::Join(_) => world.join(i, member, id_of(world.processes[i].incarnation)),
            Step::Budget => {}
            Step::Lose(_) => {
                let session = world.state.member(&member)?.session;
                world.partitions += u32::from(world.processes[i].runs);
                // The process learns that its session has ended and has to join again.
                world.processes[i].joined = false;
                let id = RequestId(6, world.state.revision() * 10 + i as u64);
                world.apply(id, Action::ExpireSession { member, session });
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(RULES[0], |_, world: &World| !world.over_budget),
            Property::always(RULES[1], |_, world: &World| {
                world.processes.iter().filter(|process| process.left_by_permit).count() <= MAX_UNAVAILABLE
            }),
            Property::always(RULES[2], |_, world: &World| {
                let kept = |(i, requested_in): (usize, &Option<u64>)| {
                    let who = subject(&format!("dispatcher/d{i}"));
                    let has_returned = |incarnation| {
                        world.state.member(&who.name).is_some_and(|member| member.incarnation > incarnation)
                    };
                    requested_in.is_none_or(|incarnation| {
                        world.state.permit(&who).is_some() || has_returned(incarnation)
                    })
                };
                world.requested_in.iter().enumerate().all(kept)
            }),
            Property::sometimes("all processes have left and returned", |_, world: &World| {
                world.processes.iter().all(|process| process.incarnation > 1 && process.joined)
                    && world.state.permits().next().is_none()
            }),
        ]
    }
}

#[test]
fn no_order_of_messages_crashes_and_duplicate_drivers_exceeds_the_budget_or_loses_a_permit() {
    for (processes, depth) in [(2, 12), (3, 8)] {
        let checker =
            PermitModel { processes }.checker().threads(4).target_max_depth(depth).spawn_bfs().join();
        println!(
            "permits of {processes}: {} states, {} unique",
            checker.state_count(),
            checker.unique_state_count()
        );
        // Only the actions of a path are printed; its states are too long.
        for rule in RULES {
            let path = checker.discovery(rule).map(|path| path.into_actions());
            assert_eq!(path, None, "{rule}");
        }
        assert!(checker.unique_state_count() > 1_000);
        if processes == 2 {
            assert!(checker.discovery("all processes have left and returned").is_some());
        }
    }
}
