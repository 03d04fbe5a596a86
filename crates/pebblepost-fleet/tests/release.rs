//! Tests of releases: the limits of waves, the reasons to halt, rollbacks and the simulation.

use pebblepost_fleet::availability::WaitReason;
use pebblepost_fleet::heartbeat::RequestCounts;
use pebblepost_fleet::leader::IncarnationRequests;
use pebblepost_fleet::release_driver::{NextStep, ReleaseDriver, ReleasePolicy};
use pebblepost_fleet::simulation::{ReleasePlan, SimulationError, simulate};
use pebblepost_fleet::value::{MemberInfo, Role};
use pebblepost_fleet::{
    Action, Budget, Command, CommandResult, IncarnationId, Limit, Name, Operation, RequestId, State, Subject,
    SubjectKind, Text,
};
use std::collections::BTreeMap;
use std::time::Duration;

fn name(text: &str) -> Name {
    text.parse().expect("a valid name")
}

fn text(text: &str) -> Text {
    text.parse().expect("a valid text")
}

/// A fleet of ten dispatchers, of which three may be unavailable.
struct Fleet {
    state: State,
    last_request: u64,
    /// Number of the present incarnation of each dispatcher.
    incarnations: Vec<u64>,
}

impl Fleet {
    fn new() -> Self {
        let mut fleet = Self { state: State::default(), last_request: 0, incarnations: vec![0; 10] };
        (0..10).for_each(|n| fleet.rejoin(n, "1", true));
        let budget = Budget {
            max_unavailable: Limit::Count(3),
            max_unavailable_per_zone: None,
            max_unavailable_per_machine_type: None,
            min_available_per_zone: 0,
        };
        fleet.change(Operation::SetBudget(SubjectKind::Dispatcher, budget)).expect("a valid budget");
        fleet
    }

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
        self.apply(Action::Change {
            operations: vec![operation],
            preconditions: Vec::new(),
            reason: text("a test"),
        })
    }

    fn start(&mut self, version: &str, waves: &[Limit]) -> CommandResult {
        self.change(Operation::BeginRelease {
            version: text(version),
            waves: waves.to_vec(),
            zone_order: Vec::new(),
        })
    }

    /// Joins a dispatcher as a new incarnation with a version.
    fn rejoin(&mut self, n: usize, version: &str, ready: bool) {
        self.incarnations[n] += 1;
        let (version, zone) = (text(version), Text::default());
        let info = MemberInfo { role: Role::Dispatcher, version, address: None, zone, ready };
        let (member, incarnation) = (name(&format!("d{n}")), IncarnationId(n as u64, self.incarnations[n]));
        self.apply(Action::Join { member, incarnation_id: incarnation, info }).expect("the join is accepted");
    }

    /// Returns the dispatchers whose present incarnation has a granted permit.
    fn leaving(&self) -> Vec<usize> {
        let bound = |n: &usize| {
            let subject = Subject { kind: SubjectKind::Dispatcher, name: name(&format!("d{n}")) };
            let permit = self.state.permit(&subject);
            permit.is_some_and(|permit| {
                permit.granted_at_revision.is_some()
                    && permit.incarnation_id == Some(IncarnationId(*n as u64, self.incarnations[*n]))
            })
        };
        (0..10).filter(bound).collect()
    }

    /// Lets dispatchers with a granted permit return with the version until no granted permit is left.
    /// Returns how many returned.
    fn run_wave(&mut self, version: &str, ready: bool) -> usize {
        let mut gone = 0;
        while let [first, ..] = self.leaving()[..] {
            assert!(self.leaving().len() <= 3, "beyond the budget: {:?}", self.leaving());
            self.rejoin(first, version, ready);
            gone += 1;
        }
        gone
    }

    fn count_with(&self, version: &str) -> usize {
        self.state.members().filter(|(_, member)| member.info.version.as_str() == version).count()
    }
}

const WAVES: [Limit; 3] = [Limit::Count(1), Limit::Fraction(0.25), Limit::Fraction(1.0)];
const POLICY: ReleasePolicy = ReleasePolicy {
    observation_time: Duration::from_secs(10),
    wave_timeout: Duration::from_secs(60),
    max_crashes: 3,
    max_success_rate_drop: 0.05,
    min_answers: 100,
};

/// Returns the next step if all dispatchers have reported and there are no requests.
fn next_step(driver: &mut ReleaseDriver, at: Duration, fleet: &Fleet) -> NextStep {
    let requests = fleet.state.members().map(|(name, member)| {
        let (incarnation, version) =
            (member.incarnation_id().expect("the member has joined"), member.info.version.clone());
        (
            name.clone(),
            IncarnationRequests { incarnation_id: incarnation, version, requests: RequestCounts::default() },
        )
    });
    driver.next_step(at, &fleet.state.snapshot(), &requests.collect())
}

#[test]
fn a_wave_begins_only_after_the_previous_one_is_complete_and_has_been_observed() {
    let mut fleet = Fleet::new();
    assert!(
        fleet.start("2", &[Limit::Fraction(0.5)]).is_err(),
        "the last wave does not reach all dispatchers"
    );
    fleet.start("2", &WAVES).expect("valid waves");
    let before = fleet.state.clone();
    fleet.start("2", &WAVES).expect("the same release is accepted again");
    assert_eq!(fleet.state.revision(), before.revision(), "the repeated start has no effect");
    assert!(fleet.start("3", &WAVES).is_err(), "another release is in progress");
    let mut driver = ReleaseDriver::new(POLICY);
    let second = Duration::from_secs(1);
    // In the first wave only one dispatcher gets a permit.
    assert_eq!(next_step(&mut driver, second, &fleet), NextStep::Wait);
    assert!(fleet.change(Operation::AdvanceWave(0)).is_err(), "the wave is not complete");
    assert_eq!(fleet.run_wave("2", true), 1);
    assert_eq!(next_step(&mut driver, 2 * second, &fleet), NextStep::Wait, "the wave is still observed");
    let NextStep::Propose { operation: advance, reason: _ } = next_step(&mut driver, 13 * second, &fleet)
    else {
        panic!("the wave has been observed and should advance")
    };
    fleet.change(advance.clone()).expect("the wave advances");
    assert_eq!(fleet.run_wave("2", true), 1, "25% of ten is two, one of which is from the first wave");
    // The same proposal of a delayed second driver changes nothing.
    fleet.change(advance).expect("the command is accepted and has no effect");
    assert_eq!((fleet.count_with("2"), fleet.leaving().len()), (2, 0));
    fleet.change(Operation::AdvanceWave(1)).expect("the wave advances");
    assert_eq!(fleet.run_wave("2", true), 8);
    assert_eq!(
        next_step(&mut driver, 20 * second, &fleet),
        NextStep::Propose { operation: Operation::EndRelease, reason: "all have it".into() }
    );
    fleet.change(Operation::EndRelease).expect("the release ends");
    assert_eq!(next_step(&mut driver, 21 * second, &fleet), NextStep::Finished);
}

#[test]
fn a_version_that_is_never_ready_or_crashes_stays_in_its_wave_and_halts_the_release() {
    let second = Duration::from_secs(1);
    let mut fleet = Fleet::new();
    fleet.start("bad", &WAVES).expect("valid waves");
    let mut driver = ReleaseDriver::new(POLICY);
    assert_eq!(fleet.run_wave("bad", false), 1);
    assert_eq!(next_step(&mut driver, second, &fleet), NextStep::Wait);
    let NextStep::Propose { operation: halt, reason } = next_step(&mut driver, 62 * second, &fleet) else {
        panic!("the release should halt")
    };
    assert!(reason.contains("wave 0 is not back"), "{reason}");
    fleet.change(halt).expect("the halt is accepted");
    assert_eq!(next_step(&mut driver, 63 * second, &fleet), NextStep::Halted);
    assert_eq!((fleet.count_with("bad"), fleet.leaving().len()), (1, 0));
    // A version that becomes ready and then crashes repeatedly: three incarnations without a permit.
    let mut fleet = Fleet::new();
    fleet.start("bad", &WAVES).expect("valid waves");
    let mut driver = ReleaseDriver::new(POLICY);
    fleet.run_wave("bad", true);
    let bad = (0..10).find(|n| fleet.incarnations[*n] == 2).expect("one dispatcher has restarted");
    assert_eq!(next_step(&mut driver, second, &fleet), NextStep::Wait);
    // The dispatcher returns at once after each crash, which restarts the observation.
    for crash in 1..3 {
        fleet.rejoin(bad, "bad", true);
        assert_eq!(next_step(&mut driver, 9 * crash * second, &fleet), NextStep::Wait);
    }
    fleet.rejoin(bad, "bad", true);
    let NextStep::Propose { operation: Operation::Halt(_), reason } =
        next_step(&mut driver, 20 * second, &fleet)
    else {
        panic!("the release should halt")
    };
    assert!(reason.contains("3 crashes"), "{reason}");
}

#[test]
fn a_rollback_covers_dispatchers_with_the_bad_version_and_unavailable_ones_go_first() {
    let mut fleet = Fleet::new();
    fleet.start("bad", &[Limit::Count(4), Limit::Fraction(1.0)]).expect("valid waves");
    // Of the wave one dispatcher has returned ready, one is not ready, one is restarting, and one still
    // waits.
    let leaving = fleet.leaving();
    assert_eq!(leaving.len(), 3);
    fleet.rejoin(leaving[0], "bad", true);
    fleet.rejoin(leaving[1], "bad", false);
    assert_eq!(fleet.leaving().len(), 2, "the restarting dispatcher, and the last one of the wave");
    fleet.change(Operation::RollBack(text("1"))).expect("a release is in progress");
    fleet.change(Operation::RollBack(text("1"))).expect("the command is accepted and has no effect");
    // The permit of the dispatcher that returned unready with the bad version is rebound, so it restarts
    // again.
    assert!(fleet.leaving().contains(&leaving[1]), "{:?}", fleet.leaving());
    // The restarting dispatcher still returns with the bad version, and has to restart again as well.
    fleet.rejoin(leaving[2], "bad", true);
    assert!(fleet.leaving().contains(&leaving[2]), "{:?}", fleet.leaving());
    fleet.run_wave("1", true);
    assert_eq!((fleet.count_with("1"), fleet.state.permits().count()), (10, 0));
    let untouched = (0..10).filter(|n| fleet.incarnations[*n] == 1).count();
    assert_eq!(untouched, 6, "dispatchers that kept the old version are not restarted");
    fleet.change(Operation::EndRelease).expect("the release ends");
}

#[test]
fn a_lower_success_rate_than_the_old_versions_halts_the_release() {
    // Runs the driver with the given answered and succeeded requests per second of the new and the old
    // version, until it no longer waits. A complete wave is observed for 10 s, or up to 30 s while answers
    // are missing.
    let observe = |new: (u64, u64), old: (u64, u64)| {
        let mut fleet = Fleet::new();
        fleet.start("2", &[Limit::Count(2), Limit::Fraction(1.0)]).expect("valid waves");
        fleet.run_wave("2", true);
        let (mut driver, mut last) = (ReleaseDriver::new(POLICY), NextStep::Wait);
        for second in 0..=31_u64 {
            let requests = fleet.state.members().map(|(name, member)| {
                let version = member.info.version.clone();
                let (answered, served) = if version.as_str() == "2" { new } else { old };
                // The 1,000 requests before the observation all failed; they must not count.
                let counts =
                    RequestCounts { answered: 1_000 + second * answered, succeeded: second * served };
                (
                    name.clone(),
                    IncarnationRequests {
                        incarnation_id: member.incarnation_id().expect("the member has joined"),
                        version,
                        requests: counts,
                    },
                )
            });
            let requests: BTreeMap<Name, IncarnationRequests> = requests.collect();
            last = driver.next_step(Duration::from_secs(second), &fleet.state.snapshot(), &requests);
            if last != NextStep::Wait {
                break;
            }
        }
        match last {
            NextStep::Propose { operation: Operation::Halt(_), reason } => reason,
            NextStep::Propose { operation: Operation::AdvanceWave(0), reason: _ } => "advances".to_owned(),
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(
        observe((100, 80), (100, 98)),
        "the new version serves 0.800 of its requests, the old one 0.980"
    );
    assert_eq!(observe((100, 95), (100, 98)), "advances");
    assert_eq!(observe((100, 60), (100, 62)), "advances", "both versions fail alike");
    assert_eq!(observe((1, 0), (100, 98)), "advances", "60 answers are fewer than the minimum");
    assert!(
        observe((2, 1), (100, 98)).contains("serves 0.500"),
        "the observation is extended until there are enough answers"
    );
    assert!(observe((0, 0), (100, 98)).contains("answers nothing"));
    assert_eq!(observe((0, 0), (1, 1)), "advances", "the old version has too few requests as well");
    // Missing reports extend the observation, because the Raft leader may be new, and then halt the release.
    let mut fleet = Fleet::new();
    fleet.start("2", &[Limit::Count(2), Limit::Fraction(1.0)]).expect("valid waves");
    fleet.run_wave("2", true);
    let (mut driver, no_reports, state) =
        (ReleaseDriver::new(POLICY), BTreeMap::new(), fleet.state.snapshot());
    let mut at = |second| driver.next_step(Duration::from_secs(second), &state, &no_reports);
    assert_eq!((at(0), at(12), at(29)), (NextStep::Wait, NextStep::Wait, NextStep::Wait));
    let NextStep::Propose { operation: Operation::Halt(_), reason } = at(30) else {
        panic!("the release should halt")
    };
    assert!(reason.contains("not all dispatchers"), "{reason}");
}

#[test]
fn a_simulation_reports_the_waves_of_a_release_or_why_it_stalls() {
    let mut fleet = Fleet::new();
    let plan = |version: &str| ReleasePlan {
        version: text(version),
        waves: WAVES.to_vec(),
        zone_order: Vec::new(),
        observation_time: Duration::from_secs(30),
        restart_time: Duration::from_secs(10),
    };
    let before = fleet.state.snapshot();
    let waves = simulate(&before, &name("o"), &plan("2")).expect("the release ends");
    // One dispatcher; one more, which makes two of ten; then the other eight, three at a time.
    let summary: Vec<(f64, f64, usize, usize)> = waves
        .iter()
        .map(|wave| (wave.started_at_s, wave.completed_at_s, wave.dispatchers.len(), wave.max_unavailable))
        .collect();
    assert_eq!(summary, [(0.0, 10.0, 1, 1), (40.0, 50.0, 1, 1), (80.0, 110.0, 8, 3)]);
    assert_eq!(fleet.state.snapshot(), before, "the simulation does not change the state");
    // A lost dispatcher does not return by itself, so the last wave stalls and the reason names it.
    let session = fleet.state.member(&name("d9")).expect("a member").session;
    fleet.apply(Action::ExpireSession { member: name("d9"), session }).expect("the member is present");
    let Err(SimulationError::Stalled { wave, reason, .. }) =
        simulate(&fleet.state.snapshot(), &name("o"), &plan("2"))
    else {
        panic!("the release should stall")
    };
    assert!(wave == 3 && reason.contains("d9"), "wave {wave}: {reason}");
    // A release without a budget stalls at once.
    fleet.change(Operation::RemoveBudget(SubjectKind::Dispatcher)).expect("a budget");
    let Err(SimulationError::Stalled { reason, .. }) =
        simulate(&fleet.state.snapshot(), &name("o"), &plan("2"))
    else {
        panic!("the release should stall")
    };
    assert!(reason.contains("no budget"), "{reason}");
    let empty = State::default().snapshot();
    assert!(matches!(simulate(&empty, &name("o"), &plan("2")), Err(SimulationError::Rejected(_))));
}

#[test]
fn zones_are_released_one_after_the_other_in_the_given_order() {
    let mut state = State::default();
    let mut number = 0;
    let mut act = |state: &mut State, action: Action| {
        number += 1;
        state.apply(&Command { id: RequestId(1, number), issued_by: name("o"), issued_at_ms: 0, action })
    };
    let change = |operation| Action::Change {
        operations: vec![operation],
        preconditions: Vec::new(),
        reason: Text::default(),
    };
    let joins = |n: u64, incarnation, version: &str| {
        let zone = text(["x", "y", "z"][n as usize % 3]);
        let info =
            MemberInfo { role: Role::Dispatcher, version: text(version), address: None, zone, ready: true };
        Action::Join { member: name(&format!("d{n}")), incarnation_id: IncarnationId(n, incarnation), info }
    };
    for n in 0..6 {
        act(&mut state, joins(n, 1, "1")).expect("the join is accepted");
    }
    let budget = Budget {
        max_unavailable: Limit::Count(3),
        max_unavailable_per_zone: None,
        max_unavailable_per_machine_type: None,
        min_available_per_zone: 0,
    };
    act(&mut state, change(Operation::SetBudget(SubjectKind::Dispatcher, budget))).expect("a valid budget");
    let release = |zones: &[&str]| {
        let zones = zones.iter().map(|zone| text(zone)).collect();
        change(Operation::BeginRelease {
            version: text("2"),
            waves: vec![Limit::Fraction(1.0)],
            zone_order: zones,
        })
    };
    assert!(act(&mut state, release(&["nowhere"])).is_err(), "the zone has no dispatcher");
    act(&mut state, release(&["z", "x"])).expect("a valid release");
    let leaving = |state: &State| -> Vec<u64> {
        let granted = state.permits().filter(|(_, permit)| permit.granted_at_revision.is_some());
        let mut all: Vec<u64> = granted
            .filter_map(|(_, permit)| permit.incarnation_id)
            .map(|incarnation| incarnation.0)
            .collect();
        all.sort_unstable();
        all
    };
    // Zone z has d2 and d5. Zone x follows, and y comes last because it is not listed.
    assert_eq!(leaving(&state), [0, 2, 5], "x begins once all of z have permits");
    act(&mut state, joins(2, 2, "2")).expect("the join is accepted");
    assert_eq!(leaving(&state), [0, 3, 5]);
    act(&mut state, joins(0, 2, "2")).expect("the join is accepted");
    assert_eq!(leaving(&state), [1, 3, 5], "y begins after x");
    // A waiting dispatcher of z delays all other zones, and the wait reason says so.
    let mut state = State::default();
    for n in 0..6 {
        act(&mut state, joins(n, 11, "1")).expect("the join is accepted");
    }
    let tight = Budget { max_unavailable_per_zone: Some(Limit::Count(1)), ..budget };
    act(&mut state, change(Operation::SetBudget(SubjectKind::Dispatcher, tight))).expect("a valid budget");
    act(&mut state, release(&["z"])).expect("a valid release");
    assert_eq!(leaving(&state), [2]);
    assert_eq!(
        state.availability(SubjectKind::Dispatcher).check_grant(&name("d0")),
        Err(WaitReason::ZoneOrder)
    );
}
