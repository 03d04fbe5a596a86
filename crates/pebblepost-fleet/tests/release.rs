//! Releases: how far a version gets, what halts it, and the way back.

use pebblepost_fleet::command::{Act, Card, Command, RequestId, Role};
use pebblepost_fleet::doing::Counts;
use pebblepost_fleet::driver::{Driver, Next, Pace};
use pebblepost_fleet::permit::Waits;
use pebblepost_fleet::reckon::Tally;
use pebblepost_fleet::rehearsal::{Never, Play, rehearse};
use pebblepost_fleet::state::State;
use pebblepost_fleet::{Answer, Budget, Kind, Limit, Name, Op, Subject, Text};
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
        let budget =
            Budget { most: Limit::Count(3), most_in_zone: None, most_in_kind: None, least_in_zone: 0 };
        fleet.op(Op::Budget(Kind::Dispatcher, budget)).expect("a sound budget");
        fleet
    }

    fn act(&mut self, act: Act) -> Answer {
        self.next += 1;
        self.state.apply(&Command { id: RequestId(1, self.next), by: name("o"), at_ms: 0, act })
    }

    fn op(&mut self, op: Op) -> Answer {
        self.act(Act::Change { ops: vec![op], expect: Vec::new(), why: text("a test") })
    }

    fn start(&mut self, want: &str, waves: &[Limit]) -> Answer {
        self.op(Op::Release { want: text(want), waves: waves.to_vec(), zones: Vec::new() })
    }

    /// A new life, with a version.
    fn comes_back(&mut self, n: usize, version: &str, ready: bool) {
        self.lives[n] += 1;
        let (version, zone) = (text(version), Text::default());
        let card = Card { role: Role::Dispatcher, version, address: None, zone, ready };
        let (member, life) = (name(&format!("d{n}")), RequestId(n as u64, self.lives[n]));
        self.act(Act::Join { member, life, card }).expect("it may join");
    }

    /// Those whose present life is permitted to end.
    fn going(&self) -> Vec<usize> {
        let bound = |n: &usize| {
            let subject = Subject { kind: Kind::Dispatcher, name: name(&format!("d{n}")) };
            let permit = self.state.permit(&subject);
            permit
                .is_some_and(|p| p.granted.is_some() && p.life == Some(RequestId(*n as u64, self.lives[*n])))
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
        self.state.members().filter(|(_, m)| m.card.version.as_str() == version).count()
    }
}

const WAVES: [Limit; 3] = [Limit::Count(1), Limit::Share(0.25), Limit::Share(1.0)];
const PACE: Pace = Pace {
    pause: Duration::from_secs(10),
    patience: Duration::from_secs(60),
    crashes: 3,
    drop: 0.05,
    sample: 100,
};

/// All are heard, and nobody asks for anything.
fn look(driver: &mut Driver, at: Duration, fleet: &Fleet) -> Next {
    let tallies = fleet.state.members().map(|(name, member)| {
        let (life, version) = (member.life().expect("joined"), member.card.version.clone());
        (name.clone(), Tally { life, version, counts: Counts::default() })
    });
    driver.look(at, &fleet.state.snapshot(), &tallies.collect())
}

#[test]
fn no_wave_begins_before_the_last_one_is_back_was_watched_and_the_driver_says_so() {
    let mut fleet = Fleet::new();
    assert!(fleet.start("2", &[Limit::Share(0.5)]).is_err(), "it would never end");
    fleet.start("2", &WAVES).expect("sound waves");
    let before = fleet.state.clone();
    fleet.start("2", &WAVES).expect("the same release");
    assert_eq!(fleet.state.revision(), before.revision(), "started twice it is one");
    assert!(fleet.start("3", &WAVES).is_err(), "one at a time");
    let mut driver = Driver::new(PACE);
    let second = Duration::from_secs(1);
    // A tenth of the fleet goes, and no more, whoever asks and however often.
    assert_eq!(look(&mut driver, second, &fleet), Next::Wait);
    assert!(fleet.op(Op::Advance(0)).is_err(), "the wave is not back");
    assert_eq!(fleet.all_go("2", true), 1);
    assert_eq!(look(&mut driver, 2 * second, &fleet), Next::Wait, "it is watched");
    let Next::Ask(advance, _) = look(&mut driver, 13 * second, &fleet) else { panic!("it was watched") };
    fleet.op(advance.clone()).expect("the next wave");
    assert_eq!(fleet.all_go("2", true), 1, "a quarter of ten is two");
    // A second driver that comes late with the same says nothing new.
    fleet.op(advance).expect("it is so already");
    assert_eq!((fleet.of("2"), fleet.going().len()), (2, 0));
    fleet.op(Op::Advance(1)).expect("the last wave");
    assert_eq!(fleet.all_go("2", true), 8);
    assert_eq!(look(&mut driver, 20 * second, &fleet), Next::Ask(Op::EndRelease, "all have it".into()));
    fleet.op(Op::EndRelease).expect("all have it");
    assert_eq!(look(&mut driver, 21 * second, &fleet), Next::Over);
}

#[test]
fn a_version_that_is_never_ready_or_crashes_stays_in_its_wave_and_halts_the_release() {
    let second = Duration::from_secs(1);
    let mut fleet = Fleet::new();
    fleet.start("bad", &WAVES).expect("sound waves");
    let mut driver = Driver::new(PACE);
    assert_eq!(fleet.all_go("bad", false), 1);
    assert_eq!(look(&mut driver, second, &fleet), Next::Wait);
    let Next::Ask(halt, why) = look(&mut driver, 62 * second, &fleet) else { panic!("it waits") };
    assert!(why.contains("wave 0 is not back"), "{why}");
    fleet.op(halt).expect("a halt");
    assert_eq!(look(&mut driver, 63 * second, &fleet), Next::Halted);
    assert_eq!((fleet.of("bad"), fleet.going().len()), (1, 0));
    // One that is ready and crashes again and again: three lives that nobody asked for.
    let mut fleet = Fleet::new();
    fleet.start("bad", &WAVES).expect("sound waves");
    let mut driver = Driver::new(PACE);
    fleet.all_go("bad", true);
    let bad = (0..10).find(|n| fleet.lives[*n] == 2).expect("one went");
    assert_eq!(look(&mut driver, second, &fleet), Next::Wait);
    // After each it is back at once: that does not count as watched.
    for crash in 1..3 {
        fleet.comes_back(bad, "bad", true);
        assert_eq!(look(&mut driver, 9 * crash * second, &fleet), Next::Wait);
    }
    fleet.comes_back(bad, "bad", true);
    let Next::Ask(Op::Halt(_), why) = look(&mut driver, 20 * second, &fleet) else { panic!("it goes on") };
    assert!(why.contains("3 crashes"), "{why}");
}

#[test]
fn the_way_back_takes_those_that_have_the_bad_version_and_those_that_are_out_first() {
    let mut fleet = Fleet::new();
    fleet.start("bad", &[Limit::Count(4), Limit::Share(1.0)]).expect("sound waves");
    // One is back and looks well, one is not ready, one is out, and one of the wave still waits.
    let going = fleet.going();
    assert_eq!(going.len(), 3);
    fleet.comes_back(going[0], "bad", true);
    fleet.comes_back(going[1], "bad", false);
    assert_eq!(fleet.going().len(), 2, "the one that was out, and the last of the wave");
    fleet.op(Op::GoBack(text("1"))).expect("a release goes on");
    fleet.op(Op::GoBack(text("1"))).expect("it is so already");
    // The one that came back as the bad version, not ready, is bound anew and goes again.
    assert!(fleet.going().contains(&going[1]), "{:?}", fleet.going());
    // The one that was out is started with the bad version all the same: it goes again as well.
    fleet.comes_back(going[2], "bad", true);
    assert!(fleet.going().contains(&going[2]), "{:?}", fleet.going());
    fleet.all_go("1", true);
    assert_eq!((fleet.of("1"), fleet.state.permits().count()), (10, 0));
    let untouched = (0..10).filter(|n| fleet.lives[*n] == 1).count();
    assert_eq!(untouched, 6, "those that never went are left alone");
    fleet.op(Op::EndRelease).expect("all are back");
}

#[test]
fn a_version_that_serves_less_than_the_old_one_or_nothing_halts_the_release_and_a_slow_day_does_not() {
    // By each second of a watch of ten: how many of ten requests those with the new version answer and serve, and the others.
    let watch = |new: (u64, u64), old: (u64, u64)| {
        let mut fleet = Fleet::new();
        fleet.start("2", &[Limit::Count(2), Limit::Share(1.0)]).expect("sound waves");
        fleet.all_go("2", true);
        let (mut driver, mut last) = (Driver::new(PACE), Next::Wait);
        for second in 0..=31_u64 {
            let tallies = fleet.state.members().map(|(name, member)| {
                let version = member.card.version.clone();
                let (answered, served) = if version.as_str() == "2" { new } else { old };
                // What was before the watch does not count: all had refused everything.
                let counts = Counts { answered: 1_000 + second * answered, served: second * served };
                (name.clone(), Tally { life: member.life().expect("joined"), version, counts })
            });
            let tallies: BTreeMap<Name, Tally> = tallies.collect();
            last = driver.look(Duration::from_secs(second), &fleet.state.snapshot(), &tallies);
            if last != Next::Wait {
                break;
            }
        }
        match last {
            Next::Ask(Op::Halt(_), why) => why,
            Next::Ask(Op::Advance(0), _) => "goes on".to_owned(),
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
    fleet.start("2", &[Limit::Count(2), Limit::Share(1.0)]).expect("sound waves");
    fleet.all_go("2", true);
    let (mut driver, none, state) = (Driver::new(PACE), BTreeMap::new(), fleet.state.snapshot());
    let mut at = |second| driver.look(Duration::from_secs(second), &state, &none);
    assert_eq!((at(0), at(12), at(29)), (Next::Wait, Next::Wait, Next::Wait));
    let Next::Ask(Op::Halt(_), why) = at(30) else { panic!("it goes on") };
    assert!(why.contains("not all dispatchers"), "{why}");
}

#[test]
fn a_release_is_played_through_before_it_begins_and_what_stands_still_is_said() {
    let mut fleet = Fleet::new();
    let play = |want: &str| Play {
        want: text(want),
        waves: WAVES.to_vec(),
        zones: Vec::new(),
        pause: Duration::from_secs(30),
        restart: Duration::from_secs(10),
    };
    let before = fleet.state.snapshot();
    let waves = rehearse(&before, &name("o"), &play("2")).expect("it ends");
    // One; two of ten less that one; the other eight, three at a time.
    let told: Vec<(f64, f64, usize, usize)> =
        waves.iter().map(|w| (w.from_s, w.back_s, w.goes.len(), w.most_out)).collect();
    assert_eq!(told, [(0.0, 10.0, 1, 1), (40.0, 50.0, 1, 1), (80.0, 110.0, 8, 3)]);
    assert_eq!(fleet.state.snapshot(), before, "nothing has begun");
    // One that is lost does not come back by itself: with it the last wave stands still, and it is named.
    let session = fleet.state.member(&name("d9")).expect("a member").session;
    fleet.act(Act::Expire { member: name("d9"), session }).expect("it is there");
    let Err(Never::StandsStill { wave, why, .. }) = rehearse(&fleet.state.snapshot(), &name("o"), &play("2"))
    else {
        panic!("it ends")
    };
    assert!(wave == 3 && why.contains("d9"), "wave {wave}: {why}");
    // What would be refused is refused here.
    fleet.op(Op::Unbudget(Kind::Dispatcher)).expect("a budget");
    let Err(Never::StandsStill { why, .. }) = rehearse(&fleet.state.snapshot(), &name("o"), &play("2"))
    else {
        panic!("it ends")
    };
    assert!(why.contains("no budget"), "{why}");
    let none = State::default().snapshot();
    assert!(matches!(rehearse(&none, &name("o"), &play("2")), Err(Never::Refused(_))));
}

#[test]
fn zones_go_in_the_order_named_and_none_begins_before_the_one_before_it_is_done() {
    let mut state = State::default();
    let mut number = 0;
    let mut act = |state: &mut State, act: Act| {
        number += 1;
        state.apply(&Command { id: RequestId(1, number), by: name("o"), at_ms: 0, act })
    };
    let change = |op| Act::Change { ops: vec![op], expect: Vec::new(), why: Text::default() };
    let joins = |n: u64, life, version: &str| {
        let zone = text(["x", "y", "z"][n as usize % 3]);
        let card = Card { role: Role::Dispatcher, version: text(version), address: None, zone, ready: true };
        Act::Join { member: name(&format!("d{n}")), life: RequestId(n, life), card }
    };
    for n in 0..6 {
        act(&mut state, joins(n, 1, "1")).expect("it may join");
    }
    let budget = Budget { most: Limit::Count(3), most_in_zone: None, most_in_kind: None, least_in_zone: 0 };
    act(&mut state, change(Op::Budget(Kind::Dispatcher, budget))).expect("a sound budget");
    let release = |zones: &[&str]| {
        let zones = zones.iter().map(|z| text(z)).collect();
        change(Op::Release { want: text("2"), waves: vec![Limit::Share(1.0)], zones })
    };
    assert!(act(&mut state, release(&["nowhere"])).is_err(), "no dispatcher is there");
    act(&mut state, release(&["z", "x"])).expect("a sound release");
    let going = |state: &State| -> Vec<u64> {
        let granted = state.permits().filter(|(_, p)| p.granted.is_some());
        let mut all: Vec<u64> = granted.filter_map(|(_, p)| p.life).map(|life| life.0).collect();
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
    let tight = Budget { most_in_zone: Some(Limit::Count(1)), ..budget };
    act(&mut state, change(Op::Budget(Kind::Dispatcher, tight))).expect("a sound budget");
    act(&mut state, release(&["z"])).expect("a sound release");
    assert_eq!(going(&state), [2]);
    assert_eq!(state.roll(Kind::Dispatcher).fits(&name("d0")), Err(Waits::Turn));
}
