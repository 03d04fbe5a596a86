//! Releases: how far a version gets, what halts it, and the way back.

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
    text.parse().expect("a sound name")
}

fn text(text: &str) -> Text {
    text.parse().expect("a sound text")
}

/// Ten dispatchers, of which three may be out.
struct Fleet {
    state: State,
    next: u64,
    /// The life of each.
    lives: Vec<u64>,
}

impl Fleet {
    fn new() -> Self {
        let mut fleet = Self { state: State::default(), next: 0, lives: vec![0; 10] };
        (0..10).for_each(|n| fleet.comes_back(n, "1", true));
        let budget = Budget {
            max_unavailable: Limit::Count(3),
            max_unavailable_per_zone: None,
            max_unavailable_per_machine_type: None,
            min_available_per_zone: 0,
        };
        fleet.op(Operation::SetBudget(SubjectKind::Dispatcher, budget)).expect("a sound budget");
        fleet
    }

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
        self.act(Action::Change { operations: vec![op], preconditions: Vec::new(), reason: text("a test") })
    }

    fn start(&mut self, want: &str, waves: &[Limit]) -> CommandResult {
        self.op(Operation::BeginRelease {
            version: text(want),
            waves: waves.to_vec(),
            zone_order: Vec::new(),
        })
    }

    /// A new life, with a version.
    fn comes_back(&mut self, n: usize, version: &str, ready: bool) {
        self.lives[n] += 1;
        let (version, zone) = (text(version), Text::default());
        let card = MemberInfo { role: Role::Dispatcher, version, address: None, zone, ready };
        let (member, life) = (name(&format!("d{n}")), IncarnationId(n as u64, self.lives[n]));
        self.act(Action::Join { member, incarnation_id: life, info: card }).expect("it may join");
    }

    /// Those whose present life is permitted to end.
    fn going(&self) -> Vec<usize> {
        let bound = |n: &usize| {
            let subject = Subject { kind: SubjectKind::Dispatcher, name: name(&format!("d{n}")) };
            let permit = self.state.permit(&subject);
            permit.is_some_and(|p| {
                p.granted_at_revision.is_some()
                    && p.incarnation_id == Some(IncarnationId(*n as u64, self.lives[*n]))
            })
        };
        (0..10).filter(bound).collect()
    }

    /// All that may go do so, and come back as this version, until nobody goes any more.
    fn all_go(&mut self, version: &str, ready: bool) -> usize {
        let mut gone = 0;
        while let [first, ..] = self.going()[..] {
            assert!(self.going().len() <= 3, "over the budget: {:?}", self.going());
            self.comes_back(first, version, ready);
            gone += 1;
        }
        gone
    }

    fn of(&self, version: &str) -> usize {
        self.state.members().filter(|(_, m)| m.info.version.as_str() == version).count()
    }
}

const WAVES: [Limit; 3] = [Limit::Count(1), Limit::Fraction(0.25), Limit::Fraction(1.0)];
const PACE: ReleasePolicy = ReleasePolicy {
    observation_time: Duration::from_secs(10),
    wave_timeout: Duration::from_secs(60),
    max_crashes: 3,
    max_success_rate_drop: 0.05,
    min_answers: 100,
};

/// All are heard, and nobody asks for anything.
fn look(driver: &mut ReleaseDriver, at: Duration, fleet: &Fleet) -> NextStep {
    let tallies = fleet.state.members().map(|(name, member)| {
        let (life, version) = (member.incarnation_id().expect("joined"), member.info.version.clone());
        (
            name.clone(),
            IncarnationRequests { incarnation_id: life, version, requests: RequestCounts::default() },
        )
    });
    driver.next_step(at, &fleet.state.snapshot(), &tallies.collect())
}

#[test]
fn no_wave_begins_before_the_last_one_is_back_was_watched_and_the_driver_says_so() {
    let mut fleet = Fleet::new();
    assert!(fleet.start("2", &[Limit::Fraction(0.5)]).is_err(), "it would never end");
    fleet.start("2", &WAVES).expect("sound waves");
    let before = fleet.state.clone();
    fleet.start("2", &WAVES).expect("the same release");
    assert_eq!(fleet.state.revision(), before.revision(), "started twice it is one");
    assert!(fleet.start("3", &WAVES).is_err(), "one at a time");
    let mut driver = ReleaseDriver::new(PACE);
    let second = Duration::from_secs(1);
    // A tenth of the fleet goes, and no more, whoever asks and however often.
    assert_eq!(look(&mut driver, second, &fleet), NextStep::Wait);
    assert!(fleet.op(Operation::AdvanceWave(0)).is_err(), "the wave is not back");
    assert_eq!(fleet.all_go("2", true), 1);
    assert_eq!(look(&mut driver, 2 * second, &fleet), NextStep::Wait, "it is watched");
    let NextStep::Propose { operation: advance, reason: _ } = look(&mut driver, 13 * second, &fleet) else {
        panic!("it was watched")
    };
    fleet.op(advance.clone()).expect("the next wave");
    assert_eq!(fleet.all_go("2", true), 1, "a quarter of ten is two");
    // A second driver that comes late with the same says nothing new.
    fleet.op(advance).expect("it is so already");
    assert_eq!((fleet.of("2"), fleet.going().len()), (2, 0));
    fleet.op(Operation::AdvanceWave(1)).expect("the last wave");
    assert_eq!(fleet.all_go("2", true), 8);
    assert_eq!(
        look(&mut driver, 20 * second, &fleet),
        NextStep::Propose { operation: Operation::EndRelease, reason: "all have it".into() }
    );
    fleet.op(Operation::EndRelease).expect("all have it");
    assert_eq!(look(&mut driver, 21 * second, &fleet), NextStep::Finished);
}

#[test]
fn a_version_that_is_never_ready_or_crashes_stays_in_its_wave_and_halts_the_release() {
    let second = Duration::from_secs(1);
    let mut fleet = Fleet::new();
    fleet.start("bad", &WAVES).expect("sound waves");
    let mut driver = ReleaseDriver::new(PACE);
    assert_eq!(fleet.all_go("bad", false), 1);
    assert_eq!(look(&mut driver, second, &fleet), NextStep::Wait);
    let NextStep::Propose { operation: halt, reason: why } = look(&mut driver, 62 * second, &fleet) else {
        panic!("it waits")
    };
    assert!(why.contains("wave 0 is not back"), "{why}");
    fleet.op(halt).expect("a halt");
    assert_eq!(look(&mut driver, 63 * second, &fleet), NextStep::Halted);
    assert_eq!((fleet.of("bad"), fleet.going().len()), (1, 0));
    // One that is ready and crashes again and again: three lives that nobody asked for.
    let mut fleet = Fleet::new();
    fleet.start("bad", &WAVES).expect("sound waves");
    let mut driver = ReleaseDriver::new(PACE);
    fleet.all_go("bad", true);
    let bad = (0..10).find(|n| fleet.lives[*n] == 2).expect("one went");
    assert_eq!(look(&mut driver, second, &fleet), NextStep::Wait);
    // After each it is back at once: that does not count as watched.
    for crash in 1..3 {
        fleet.comes_back(bad, "bad", true);
        assert_eq!(look(&mut driver, 9 * crash * second, &fleet), NextStep::Wait);
    }
    fleet.comes_back(bad, "bad", true);
    let NextStep::Propose { operation: Operation::Halt(_), reason: why } =
        look(&mut driver, 20 * second, &fleet)
    else {
        panic!("it goes on")
    };
    assert!(why.contains("3 crashes"), "{why}");
}

#[test]
fn the_way_back_takes_those_that_have_the_bad_version_and_those_that_are_out_first() {
    let mut fleet = Fleet::new();
    fleet.start("bad", &[Limit::Count(4), Limit::Fraction(1.0)]).expect("sound waves");
    // One is back and looks well, one is not ready, one is out, and one of the wave still waits.
    let going = fleet.going();
    assert_eq!(going.len(), 3);
    fleet.comes_back(going[0], "bad", true);
    fleet.comes_back(going[1], "bad", false);
    assert_eq!(fleet.going().len(), 2, "the one that was out, and the last of the wave");
    fleet.op(Operation::RollBack(text("1"))).expect("a release goes on");
    fleet.op(Operation::RollBack(text("1"))).expect("it is so already");
    // The one that came back as the bad version, not ready, is bound anew and goes again.
    assert!(fleet.going().contains(&going[1]), "{:?}", fleet.going());
    // The one that was out is started with the bad version all the same: it goes again as well.
    fleet.comes_back(going[2], "bad", true);
    assert!(fleet.going().contains(&going[2]), "{:?}", fleet.going());
    fleet.all_go("1", true);
    assert_eq!((fleet.of("1"), fleet.state.permits().count()), (10, 0));
    let untouched = (0..10).filter(|n| fleet.lives[*n] == 1).count();
    assert_eq!(untouched, 6, "those that never went are left alone");
    fleet.op(Operation::EndRelease).expect("all are back");
}

#[test]
fn a_version_that_serves_less_than_the_old_one_or_nothing_halts_the_release_and_a_slow_day_does_not() {
    // By each second of a watch of ten: how many of ten requests those with the new version answer and serve, and the others.
    let watch = |new: (u64, u64), old: (u64, u64)| {
        let mut fleet = Fleet::new();
        fleet.start("2", &[Limit::Count(2), Limit::Fraction(1.0)]).expect("sound waves");
        fleet.all_go("2", true);
        let (mut driver, mut last) = (ReleaseDriver::new(PACE), NextStep::Wait);
        for second in 0..=31_u64 {
            let tallies = fleet.state.members().map(|(name, member)| {
                let version = member.info.version.clone();
                let (answered, served) = if version.as_str() == "2" { new } else { old };
                // What was before the watch does not count: all had refused everything.
                let counts =
                    RequestCounts { answered: 1_000 + second * answered, succeeded: second * served };
                (
                    name.clone(),
                    IncarnationRequests {
                        incarnation_id: member.incarnation_id().expect("joined"),
                        version,
                        requests: counts,
                    },
                )
            });
            let tallies: BTreeMap<Name, IncarnationRequests> = tallies.collect();
            last = driver.next_step(Duration::from_secs(second), &fleet.state.snapshot(), &tallies);
            if last != NextStep::Wait {
                break;
            }
        }
        match last {
            NextStep::Propose { operation: Operation::Halt(_), reason: why } => why,
            NextStep::Propose { operation: Operation::AdvanceWave(0), reason: _ } => "goes on".to_owned(),
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(
        watch((100, 80), (100, 98)),
        "the new version serves 0.800 of its requests, the old one 0.980"
    );
    assert_eq!(watch((100, 95), (100, 98)), "goes on");
    assert_eq!(watch((100, 60), (100, 62)), "goes on", "a day that is bad for all is no sign");
    assert_eq!(watch((1, 0), (100, 98)), "goes on", "60 answers tell nothing");
    assert!(watch((2, 1), (100, 98)).contains("serves 0.500"), "they are waited for");
    assert!(watch((0, 0), (100, 98)).contains("answers nothing"));
    assert_eq!(watch((0, 0), (1, 1)), "goes on", "nobody asks for anything");
    // Of whom nothing is heard nothing is known: that is waited for, as the leader of the keepers may be new, and halts then.
    let mut fleet = Fleet::new();
    fleet.start("2", &[Limit::Count(2), Limit::Fraction(1.0)]).expect("sound waves");
    fleet.all_go("2", true);
    let (mut driver, none, state) = (ReleaseDriver::new(PACE), BTreeMap::new(), fleet.state.snapshot());
    let mut at = |second| driver.next_step(Duration::from_secs(second), &state, &none);
    assert_eq!((at(0), at(12), at(29)), (NextStep::Wait, NextStep::Wait, NextStep::Wait));
    let NextStep::Propose { operation: Operation::Halt(_), reason: why } = at(30) else {
        panic!("it goes on")
    };
    assert!(why.contains("not all dispatchers"), "{why}");
}

#[test]
fn a_release_is_played_through_before_it_begins_and_what_stands_still_is_said() {
    let mut fleet = Fleet::new();
    let play = |want: &str| ReleasePlan {
        version: text(want),
        waves: WAVES.to_vec(),
        zone_order: Vec::new(),
        observation_time: Duration::from_secs(30),
        restart_time: Duration::from_secs(10),
    };
    let before = fleet.state.snapshot();
    let waves = simulate(&before, &name("o"), &play("2")).expect("it ends");
    // One; two of ten less that one; the other eight, three at a time.
    let told: Vec<(f64, f64, usize, usize)> = waves
        .iter()
        .map(|w| (w.started_at_s, w.completed_at_s, w.dispatchers.len(), w.max_unavailable))
        .collect();
    assert_eq!(told, [(0.0, 10.0, 1, 1), (40.0, 50.0, 1, 1), (80.0, 110.0, 8, 3)]);
    assert_eq!(fleet.state.snapshot(), before, "nothing has begun");
    // One that is lost does not come back by itself: with it the last wave stands still, and it is named.
    let session = fleet.state.member(&name("d9")).expect("a member").session;
    fleet.act(Action::ExpireSession { member: name("d9"), session }).expect("it is there");
    let Err(SimulationError::Stalled { wave, reason: why, .. }) =
        simulate(&fleet.state.snapshot(), &name("o"), &play("2"))
    else {
        panic!("it ends")
    };
    assert!(wave == 3 && why.contains("d9"), "wave {wave}: {why}");
    // What would be refused is refused here.
    fleet.op(Operation::RemoveBudget(SubjectKind::Dispatcher)).expect("a budget");
    let Err(SimulationError::Stalled { reason: why, .. }) =
        simulate(&fleet.state.snapshot(), &name("o"), &play("2"))
    else {
        panic!("it ends")
    };
    assert!(why.contains("no budget"), "{why}");
    let none = State::default().snapshot();
    assert!(matches!(simulate(&none, &name("o"), &play("2")), Err(SimulationError::Rejected(_))));
}

#[test]
fn zones_go_in_the_order_named_and_none_begins_before_the_one_before_it_is_done() {
    let mut state = State::default();
    let mut number = 0;
    let mut act = |state: &mut State, act: Action| {
        number += 1;
        state.apply(&Command { id: RequestId(1, number), issued_by: name("o"), issued_at_ms: 0, action: act })
    };
    let change =
        |op| Action::Change { operations: vec![op], preconditions: Vec::new(), reason: Text::default() };
    let joins = |n: u64, life, version: &str| {
        let zone = text(["x", "y", "z"][n as usize % 3]);
        let card =
            MemberInfo { role: Role::Dispatcher, version: text(version), address: None, zone, ready: true };
        Action::Join { member: name(&format!("d{n}")), incarnation_id: IncarnationId(n, life), info: card }
    };
    for n in 0..6 {
        act(&mut state, joins(n, 1, "1")).expect("it may join");
    }
    let budget = Budget {
        max_unavailable: Limit::Count(3),
        max_unavailable_per_zone: None,
        max_unavailable_per_machine_type: None,
        min_available_per_zone: 0,
    };
    act(&mut state, change(Operation::SetBudget(SubjectKind::Dispatcher, budget))).expect("a sound budget");
    let release = |zones: &[&str]| {
        let zones = zones.iter().map(|z| text(z)).collect();
        change(Operation::BeginRelease {
            version: text("2"),
            waves: vec![Limit::Fraction(1.0)],
            zone_order: zones,
        })
    };
    assert!(act(&mut state, release(&["nowhere"])).is_err(), "no dispatcher is there");
    act(&mut state, release(&["z", "x"])).expect("a sound release");
    let going = |state: &State| -> Vec<u64> {
        let granted = state.permits().filter(|(_, p)| p.granted_at_revision.is_some());
        let mut all: Vec<u64> = granted.filter_map(|(_, p)| p.incarnation_id).map(|life| life.0).collect();
        all.sort_unstable();
        all
    };
    // z has d2 and d5, then comes x, whatever room the budget has; y was not named and is last.
    assert_eq!(going(&state), [0, 2, 5], "once all of z go, x begins");
    act(&mut state, joins(2, 2, "2")).expect("it may join");
    assert_eq!(going(&state), [0, 3, 5]);
    act(&mut state, joins(0, 2, "2")).expect("it may join");
    assert_eq!(going(&state), [1, 3, 5], "then y");
    // One of z that waits holds all others up, and these are told so.
    let mut state = State::default();
    for n in 0..6 {
        act(&mut state, joins(n, 11, "1")).expect("it may join");
    }
    let tight = Budget { max_unavailable_per_zone: Some(Limit::Count(1)), ..budget };
    act(&mut state, change(Operation::SetBudget(SubjectKind::Dispatcher, tight))).expect("a sound budget");
    act(&mut state, release(&["z"])).expect("a sound release");
    assert_eq!(going(&state), [2]);
    assert_eq!(state.availability(SubjectKind::Dispatcher).check(&name("d0")), Err(WaitReason::ZoneOrder));
}
